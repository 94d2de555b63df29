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
		offset, err := e.appendPresence(&config.Presence{})
		if err == nil && e.outcomes.presenceOffset.Load() == 0 {
			err = e.readAgentPresences(offset)
		}
		if err != nil {
			e.opts.Metrics.Count("presence_errors_total", 1)
			e.sleep(presenceBackoff)
			continue
		}
		e.outcomes.presenceOffset.CompareAndSwap(0, offset+1)
		e.sleep(presenceInterval)
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
// An agent that registers later finds this entry's record and waits for its dispatch report.
//
// Without this reading, while a VM is replaced and the old one still runs, an entry that starts
// with an old VM list could let two agents of one target serve the same keys. Reading the records
// is enough, because the entry connects to no incarnation older than one it has read.
func (e *Entry) readAgentPresences(until uint64) error {
	for at := (config.Position{}); at.Next <= until; {
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
			return nil
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
			}
		}
	}
	return nil
}

// Registered reports whether agents can find this entry on the log and the entry knows every
// configuration version accepted before its presence record. Without the second condition, an
// entry that starts late could dispatch under a superseded version after the agents of the next
// version have read from the log which entries may dispatch.
func (e *Entry) Registered() bool {
	offset := e.outcomes.presenceOffset.Load()
	return offset > 0 && e.outcomes.appliedOffset.Load() >= offset
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
	if e.outcomes.presenceOffset.Load() == 0 {
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
