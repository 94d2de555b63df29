package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/outside"
)

const (
	presenceEvery   = 2 * time.Minute
	presenceBackoff = 500 * time.Millisecond
	presenceLimit   = 2 * time.Second // for one call of the log
	presencePage    = 1024
	farewellKeys    = 16384 // booked keys in one farewell record
)

// announce keeps a presence record of this entry on the log. The first one must
// be there before anything that must not run twice is dispatched; a later one
// that fails costs nothing, as an outage of the log trims nothing either.
func (e *Entry) announce() {
	for e.ctx.Err() == nil {
		offset, err := e.appendPresence(&config.Presence{})
		if err == nil && e.out.presentAt.Load() == 0 {
			err = e.learnAgents(offset)
		}
		if err != nil {
			e.opts.Metrics.Count("presence_errors_total", 1)
			e.sleep(presenceBackoff)
			continue
		}
		e.out.presentAt.CompareAndSwap(0, offset+1)
		e.sleep(presenceEvery)
	}
}

func (e *Entry) appendPresence(p *config.Presence) (uint64, error) {
	p.Role, p.Name, p.Incarnation = config.PresenceEntry, e.opts.Settings.Name, e.opts.Incarnation
	p.AtMs = time.Now().UnixMilli()
	raw, err := p.Encode()
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(e.ctx, presenceLimit)
	defer cancel()
	e.opts.Metrics.Count("log_appends_presence_total", 1)
	return e.opts.Log.Append(ctx, [][]byte{raw})
}

// learnAgents reads which agents were announced before this entry was. An agent
// that comes later finds this entry on the log and waits for its attestation.
//
// Failure: a VM is replaced while the old one still runs, and this entry starts
// with an old VM list. Symptom: two agents of one target serve the same keys.
// Enough, because the entry links to no incarnation older than it has read of.
func (e *Entry) learnAgents(until uint64) error {
	for next := uint64(0); next <= until; {
		ctx, cancel := context.WithTimeout(e.ctx, presenceLimit)
		page, err := e.opts.Log.Read(ctx, next, presencePage, 0)
		cancel()
		if errors.Is(err, outside.ErrTrimmed) && page.First > next {
			next = page.First
			continue
		}
		if err != nil {
			return fmt.Errorf("read presences: %w", err)
		}
		if len(page.Records) == 0 {
			return nil
		}
		next = page.Next
		// The versions among them are what Registered waits for; a follower of
		// peers would get them later.
		if err := e.node.Take(next-uint64(len(page.Records)), page.Records); err != nil {
			return err
		}
		for _, raw := range page.Records {
			if p, err := config.ReadPresence(raw); err == nil && p != nil && p.Role == config.PresenceAgent {
				e.out.supersede(p.Name, p.Incarnation, p.At())
			}
		}
	}
	return nil
}

// Registered tells whether agents can learn of this entry from the log, and
// whether the entry knows every version that was accepted before its presence.
// Without the second an entry that starts late could still dispatch under a
// version whose successor's agents have already counted the entries.
func (e *Entry) Registered() bool {
	at := e.out.presentAt.Load()
	return at > 0 && e.out.foldedTo.Load() >= at
}

const (
	registerWait = 250 * time.Millisecond
	registerPoll = 2 * time.Millisecond
)

// awaitRegistered waits a moment for an entry that has just started: its presence
// is on the way, and a refusal would cost the caller more.
func (e *Entry) awaitRegistered(ctx context.Context) bool {
	for until := time.Now().Add(registerWait); !e.Registered(); {
		if ctx.Err() != nil || time.Now().After(until) {
			return false
		}
		time.Sleep(registerPoll)
	}
	return true
}

// farewell closes the book and leaves it on the log, so that agents which start
// later need not count this entry among those that can't be asked.
func (e *Entry) farewell() {
	rest := e.out.book.close()
	if e.out.presentAt.Load() == 0 {
		return
	}
	for {
		part := rest[:min(len(rest), farewellKeys)]
		rest = rest[len(part):]
		p := &config.Presence{Gone: len(rest) == 0, Dispatched: part}
		if _, err := e.appendPresence(p); err != nil {
			e.log.Error(err, "farewell not written; keys may be in doubt for the dedup window")
			return
		}
		if p.Gone {
			return
		}
	}
}
