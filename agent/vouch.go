package agent

import (
	"context"
	"errors"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/wire"
)

const (
	rosterPage  = 1024
	rosterWait  = time.Millisecond
	rosterLimit = 500 * time.Millisecond // for one reading of the log
)

// vouch returns nil if the key of req, unknown here, certainly ran nowhere else.
// It waits a moment for entries that are about to attest.
func (w *witness) vouch(ctx context.Context, req *wire.Request) error {
	limit := min(settleWait, time.Duration(req.DeadlineMs)*time.Millisecond/2)
	deadline := w.now().Add(limit)
	for {
		missing, err := w.check(req)
		if err == nil || len(missing) == 0 {
			return err
		}
		if !w.now().Before(deadline) {
			w.giveUp(missing)
			return err
		}
		if logErr := w.readRoster(ctx, req.ConfigVersion); logErr != nil {
			return result.New(result.KeyInDoubt, "the entries that may have sent it are not known: %w", logErr)
		}
		select {
		case <-time.After(settlePoll):
		case <-ctx.Done():
			return result.From(context.Cause(ctx))
		}
	}
}

// unread stands for the roster among the missing entries.
const unread uint64 = 0

// check returns nil if the key may run. missing lists the entries that are worth
// waiting for.
func (w *witness) check(req *wire.Request) (missing []uint64, err error) {
	k := keyOf(req)
	window := time.Duration(req.DedupMs)*time.Millisecond + dispatchSlack
	now := w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.trusting {
		return nil, nil
	}
	if at, ok := w.doubts[route.KeyHash(k.home())]; ok && now.Sub(at) <= window {
		return nil, result.New(result.KeyInDoubt, "it was sent to an earlier home or incarnation")
	}
	since, from, ours := w.ours(k.home())
	if !ours {
		return nil, result.New(result.StaleVersion, "the key's home has moved")
	}
	if from > 0 && now.Sub(since) > window {
		return nil, nil
	}
	return w.unsettled(max(from, 1), now, window)
}

// unsettled checks that every entry of the window has attested under version from
// or a later one, since which the key has been at home here; mu is held.
func (w *witness) unsettled(from uint64, now time.Time, window time.Duration) (missing []uint64, err error) {
	if w.log != nil && (!w.read || w.rosterAt < from) {
		return []uint64{unread}, result.New(result.KeyInDoubt, "the entries that may have sent it are not known yet")
	}
	silent := 0
	for entry, at := range w.roster {
		if now.Sub(at) > window+presenceSlack || w.attested[entry] >= from {
			continue
		}
		silent++
		if !w.absent[entry] {
			missing = append(missing, entry)
		}
	}
	if silent == 0 {
		return nil, nil
	}
	return missing, result.New(result.KeyInDoubt, "%d entries that may have sent it do not answer", silent)
}

// giveUp remembers entries that did not attest in time, so that later requests
// are answered at once until they do.
func (w *witness) giveUp(missing []uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, entry := range missing {
		if entry != unread {
			w.absent[entry] = true
		}
	}
}

// ours tells whether the agent is the key's home under the newest version, and
// since when and from which version on without a gap; mu is held.
func (w *witness) ours(homeKey string) (since time.Time, from uint64, ours bool) {
	if len(w.homes) == 0 {
		return since, 0, true // no entry has attested yet, so nothing will run
	}
	for i := len(w.homes) - 1; i >= 0; i-- {
		names := w.homes[i].names
		at := route.HomeIndex(homeKey, names)
		if at < 0 || names[at] != w.target {
			break
		}
		since, from, ours = w.homes[i].since, w.homes[i].from, true
	}
	return since, from, ours
}

// readRoster reads the presence records that the log got since the last reading.
func (w *witness) readRoster(ctx context.Context, version uint64) error {
	select {
	case w.reading <- struct{}{}:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	defer func() { <-w.reading }()
	if w.log == nil || w.upToDate(version) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, rosterLimit)
	defer cancel()
	if err := w.announce(ctx); err != nil {
		return err
	}
	for {
		page, err := w.log.Read(ctx, w.next, rosterPage, rosterWait)
		if errors.Is(err, outside.ErrTrimmed) && page.First > w.next {
			w.next = page.First
			continue
		}
		if err != nil {
			return err
		}
		w.enter(page.Records)
		w.next = page.Next
		if len(page.Records) == 0 {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.read, w.rosterAt = true, version
	return nil
}

func (w *witness) upToDate(version uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.read && w.rosterAt >= version
}

func (w *witness) enter(records [][]byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, raw := range records {
		p, err := config.ReadPresence(raw)
		if err != nil || p == nil {
			continue // what it means is the fold's matter
		}
		if p.Role == config.PresenceEntry {
			w.enterEntry(p)
		}
	}
}

// enterEntry takes an entry's presence; one that is gone has left its book. mu is
// held.
func (w *witness) enterEntry(p *config.Presence) {
	for _, d := range p.Dispatched {
		if d.Target != w.target || d.Incarnation != w.inc {
			w.doubts[d.Key] = p.At()
		}
	}
	if p.Gone {
		delete(w.roster, p.Incarnation)
		return
	}
	w.roster[p.Incarnation] = p.At()
}

// announce puts this agent on the log, once; the reader's token is held.
func (w *witness) announce(ctx context.Context) error {
	if w.present {
		return nil
	}
	if err := w.appendPresence(ctx); err != nil {
		return err
	}
	w.present = true
	return nil
}

func (w *witness) appendPresence(ctx context.Context) error {
	p := config.Presence{Role: config.PresenceAgent, Name: w.target, Incarnation: w.inc, AtMs: w.now().UnixMilli()}
	raw, err := p.Encode()
	if err != nil {
		return err
	}
	_, err = w.log.Append(ctx, [][]byte{raw})
	return err
}

// presenceEvery keeps the agent's presence inside the log's retention.
const presenceEvery = 10 * time.Minute

// announce keeps this agent on the log and its roster as new as the versions it
// hears of.
//
// Failure: the roster is first read when a key needs it, and the log is down by
// then. Symptom: an agent that nobody has used since the last change answers "may
// have run" for as long as the outage lasts. Enough, because the roster is read
// when a version is heard; only a version accepted just before an outage is not
// covered, and its keys are in doubt.
func (a *Agent) announce() {
	w := a.witness
	if w.log == nil {
		return
	}
	// An unread roster costs its first request the time of reading.
	_ = w.readRoster(a.ctx, 0)
	ticker := time.NewTicker(presenceEvery)
	defer ticker.Stop()
	for {
		select {
		case <-w.news:
			a.refreshRoster()
		case <-ticker.C:
			ctx, cancel := context.WithTimeout(a.ctx, rosterLimit)
			if err := w.appendPresence(ctx); err != nil {
				a.opts.Metrics.Count("presence_errors_total", 1)
			}
			cancel()
		case <-a.ctx.Done():
			return
		}
	}
}

// rosterBackoff is how long a failed reading of the log waits for the next one.
const rosterBackoff = time.Second

// refreshRoster reads the roster for the newest version; a failure is tried again
// later.
func (a *Agent) refreshRoster() {
	w := a.witness
	if err := w.readRoster(a.ctx, w.newest()); err == nil {
		return
	}
	a.opts.Metrics.Count("roster_errors_total", 1)
	select {
	case <-time.After(rosterBackoff):
	case <-a.ctx.Done():
	}
	select {
	case w.news <- struct{}{}:
	default:
	}
}
