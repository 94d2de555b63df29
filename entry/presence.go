package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/control"
	"github.com/heatherrail/heatherrail/outside"
)

const (
	presenceInterval         = 2 * time.Minute
	presenceBackoff          = 500 * time.Millisecond
	presenceTimeout          = 2 * time.Second // timeout of one call of the log service
	presencePageRecords      = 1024
	maxKeysPerShutdownRecord = 16384
)

// announcePresence keeps a presence record of this entry on the log. The entry dispatches no
// non-repeatable request before the first record is written. A later record that fails does no
// harm, because the log is not trimmed during an outage either.
func (e *Entry) announcePresence() {
	for e.ctx.Err() == nil {
		losses := e.outcomes.folded.Load().losses
		offset, err := e.appendPresence(&config.Presence{})
		if reg := e.outcomes.registered.Load(); err == nil && (reg == nil || reg.losses != losses.Count) {
			if err = e.readAgentPresences(offset, losses); err == nil {
				e.outcomes.registered.Store(&registration{offset: offset + 1, losses: losses.Count})
			}
		}
		if err != nil {
			e.opts.Metrics.Count("presence_errors_total", 1)
			e.sleep(presenceBackoff)
			continue
		}
		select {
		case <-time.After(presenceInterval):
		case <-e.outcomes.logLost:
		case <-e.ctx.Done():
		}
	}
}

// recordFolded records up to which record the log was folded. After a loss of records this entry is
// not registered until its presence is on the log again.
func (e *Entry) recordFolded(next uint64, losses control.LogLosses) {
	old := e.outcomes.folded.Swap(&foldedLog{next: next, losses: losses})
	if losses.Count != old.losses.Count {
		select {
		case e.outcomes.logLost <- struct{}{}:
		default: // already signalled
		}
	}
	if losses.Recoveries != old.losses.Recoveries {
		e.requestNotify()
	}
}

// appendPresence completes a presence record and appends it to the log. It returns the offset.
func (e *Entry) appendPresence(p *config.Presence) (uint64, error) {
	p.Role, p.Name, p.Incarnation = config.PresenceEntry, e.opts.Settings.Name, e.opts.Incarnation
	p.AtMs = time.Now().UnixMilli()
	raw, err := p.Encode()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(e.ctx, presenceTimeout)
	defer cancel()
	e.opts.Metrics.Count("log_appends_presence_total", 1)
	return e.opts.Log.Append(ctx, [][]byte{raw})
}

// readAgentPresences reads the agents that were on the log before this entry's presence record.
// An agent that registers later finds this entry's record and waits for its dispatch report. After
// a loss, it reads the records that may be new, and writes those of agents that the log has lost.
//
// Without this reading, while a VM is replaced and the old one still runs, an entry that starts
// with an old VM list could let two agents of one target serve the same keys. Reading the records
// is enough, because the entry connects to no incarnation older than one it has read.
func (e *Entry) readAgentPresences(until uint64, losses control.LogLosses) error {
	var lost map[string]seenAgent
	if losses.Count > 0 {
		lost = e.outcomes.agentsSince(losses.Since)
	}
	for at := losses.From; at.Next <= until; {
		ctx, cancel := context.WithTimeout(e.ctx, presenceTimeout)
		page, err := control.ReadAfter(ctx, e.opts.Log, at, presencePageRecords)
		cancel()
		if errors.Is(err, outside.ErrTrimmed) && page.First > at.Next {
			at = config.Position{Next: page.First}
			continue
		}
		if err != nil {
			return fmt.Errorf("read presence records: %w", err)
		}
		if len(page.Records) == 0 {
			break
		}
		// Registered returns false until the configuration versions among these
		// records are folded. An entry that follows peers would get them later.
		if err := e.node.FoldRecords(at, page.Records); err != nil {
			return err
		}
		for _, raw := range page.Records {
			at = at.After(config.RecordMark(raw))
			if p, err := config.ReadPresence(raw); err == nil && p != nil && p.Role == config.PresenceAgent {
				e.outcomes.acceptAgent(p.Name, p.Incarnation, p.At())
				if p.Incarnation >= lost[p.Name].incarnation {
					delete(lost, p.Name)
				}
			}
		}
	}
	return e.appendAgentPresences(lost)
}

// appendAgentPresences writes the presence records of agents that the log has lost. An agent that
// has ended can't write its own again, and an older one of the target may still run.
func (e *Entry) appendAgentPresences(lost map[string]seenAgent) error {
	var records [][]byte
	for target, seen := range lost {
		p := config.Presence{Role: config.PresenceAgent, Name: target, Incarnation: seen.incarnation, AtMs: seen.seenAt.UnixMilli()}
		raw, err := p.Encode()
		if err != nil {
			return err
		}
		records = append(records, raw)
	}
	if len(records) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(e.ctx, presenceTimeout)
	defer cancel()
	e.opts.Metrics.Count("log_appends_presence_total", 1)
	_, err := e.opts.Log.Append(ctx, records)
	return err
}

// Registered reports whether agents can find this entry on the log and the entry knows every
// configuration version accepted before its presence record. Without the second condition, an
// entry that starts late could dispatch under a superseded version after the agents of the next
// version have read from the log which entries may dispatch.
func (e *Entry) Registered() bool {
	reg, folded := e.outcomes.registered.Load(), e.outcomes.folded.Load()
	return reg != nil && reg.losses == folded.losses.Count && folded.next >= reg.offset
}

const (
	registrationWait         = 250 * time.Millisecond
	registrationPollInterval = 2 * time.Millisecond
)

// awaitRegistered waits briefly until the entry is registered. It returns false if that does not
// happen in time. Right after a start the presence record is being written, and the wait costs
// the caller less than a rejection.
func (e *Entry) awaitRegistered(ctx context.Context) bool {
	for deadline := time.Now().Add(registrationWait); !e.Registered(); {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return false
		}
		time.Sleep(registrationPollInterval)
	}
	return true
}

// writeShutdownRecords closes the dispatch log and writes its records to the log service. Agents
// that start later then do not wait for a dispatch report, which the stopped entry cannot send.
func (e *Entry) writeShutdownRecords() {
	remaining := e.outcomes.dispatchLog.close()
	if e.outcomes.registered.Load() == nil {
		return
	}
	for {
		part := remaining[:min(len(remaining), maxKeysPerShutdownRecord)]
		remaining = remaining[len(part):]
		p := &config.Presence{Gone: len(remaining) == 0, Dispatched: part}
		if _, err := e.appendPresence(p); err != nil {
			e.log.Error(err, "shutdown record not written; requests may fail with key_in_doubt for the deduplication window")
			return
		}
		if p.Gone {
			return
		}
	}
}
