package agent

import (
	"context"
	"errors"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/platform"
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
	since, ours := w.ours(k.home())
	if !ours {
		return nil, result.New(result.StaleVersion, "the key's home has moved")
	}
	if !since.IsZero() && now.Sub(since) > window {
		return nil, nil
	}
	return w.unsettled(req, now, window)
}

// unsettled checks that every entry of the window has attested; mu is held.
func (w *witness) unsettled(req *wire.Request, now time.Time, window time.Duration) (missing []uint64, err error) {
	if w.log != nil && (!w.read || w.rosterAt < req.ConfigVersion) {
		return []uint64{unread}, result.New(result.KeyInDoubt, "the entries that may have sent it are not known yet")
	}
	silent := 0
	for entry, at := range w.roster {
		if now.Sub(at) > window+presenceSlack || w.attested[entry] >= req.ConfigVersion {
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
// since when without a gap; mu is held.
func (w *witness) ours(homeKey string) (since time.Time, ours bool) {
	for i := len(w.homes) - 1; i >= 0; i-- {
		names := w.homes[i].names
		at := route.Home(homeKey, names)
		if at < 0 || names[at] != w.target {
			return since, i < len(w.homes)-1
		}
		since = w.homes[i].since
	}
	return since, true
}

// readRoster reads the presence records that the log got since the last reading.
func (w *witness) readRoster(ctx context.Context, version uint64) error {
	w.logMu.Lock()
	defer w.logMu.Unlock()
	if w.log == nil || w.upToDate(version) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, rosterLimit)
	defer cancel()
	for {
		page, err := w.log.Read(ctx, w.next, rosterPage, rosterWait)
		if errors.Is(err, platform.ErrTrimmed) && page.First > w.next {
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
		w.roster[p.Incarnation] = time.UnixMilli(p.AtMs)
	}
}
