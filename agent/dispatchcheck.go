package agent

import (
	"context"
	"errors"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/control"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/wire"
)

const (
	entryListPage    = 1024
	entryListTimeout = 500 * time.Millisecond // limit for reading the log to its end
)

// confirmNotRun returns nil if it is certain that no other target and no earlier incarnation
// of this agent ran req, whose key is not in the deduplication table. It waits up to
// dispatchReportWait for missing dispatch reports.
func (c *dispatchChecker) confirmNotRun(ctx context.Context, req *wire.Request) error {
	limit := min(dispatchReportWait, time.Duration(req.DeadlineMs)*time.Millisecond/2)
	deadline := c.now().Add(limit)
	for {
		missing, err := c.checkKey(req)
		if err == nil || len(missing) == 0 {
			return err
		}
		if !c.now().Before(deadline) {
			c.markUnresponsive(missing)
			return err
		}
		if logErr := c.readEntries(ctx, req.ConfigVersion); logErr != nil {
			return result.New(result.KeyUncertain, "entries that may have dispatched the request cannot be read: %w", logErr)
		}
		select {
		case <-time.After(dispatchReportPoll):
		case <-ctx.Done():
			return result.From(context.Cause(ctx))
		}
	}
}

// entryListUnread, in a list of missing entries, means that the entry list has not been read
// from the log. No entry has incarnation 0.
const entryListUnread uint64 = 0

// checkKey returns nil if the request may run. missing lists the entries whose dispatch
// reports are worth waiting for.
func (c *dispatchChecker) checkKey(req *wire.Request) (missing []uint64, err error) {
	k := dedupKeyOf(req)
	window := time.Duration(req.DedupMs)*time.Millisecond + dispatchSlack
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.skipCheck {
		return nil, nil
	}
	if at, ok := c.uncertainKeys[route.KeyHash(k.homeKey())]; ok && now.Sub(at) <= window {
		return nil, result.New(result.KeyUncertain, "request was dispatched to an earlier home or incarnation")
	}
	since, from, isHome := c.homeSince(k.homeKey())
	if !isHome {
		return nil, result.New(result.StaleVersion, "home of the key has moved")
	}
	if from > 0 && from <= c.ambiguousTo {
		return nil, result.New(result.KeyUncertain, "two configurations have version %d", from)
	}
	if from > 0 && now.Sub(since) > window {
		return nil, nil
	}
	return c.checkEntries(max(from, 1), now, window)
}

// checkEntries checks that every entry whose latest presence is within the window has sent a
// dispatch report for the version from or a later one. This agent has been the home of the
// key (the only one that may run it) since that version, without a gap. mu is held.
func (c *dispatchChecker) checkEntries(from uint64, now time.Time, window time.Duration) (missing []uint64, err error) {
	if c.log != nil && (!c.entriesRead || c.entriesVersion < from) {
		return []uint64{entryListUnread}, result.New(result.KeyUncertain, "entries that may have dispatched the request are not known yet")
	}
	unreported := 0
	for entry, at := range c.entries {
		if now.Sub(at) > window+presenceSlack || c.reportedVersion[entry] >= from {
			continue
		}
		unreported++
		if !c.unresponsive[entry] {
			missing = append(missing, entry)
		}
	}
	if unreported == 0 {
		return nil, nil
	}
	return missing, result.New(result.KeyUncertain, "%d entries that may have dispatched the request have sent no dispatch report", unreported)
}

// markUnresponsive marks entries that sent no dispatch report in time. Later requests do
// not wait for them until a report arrives.
func (c *dispatchChecker) markUnresponsive(missing []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, entry := range missing {
		if entry != entryListUnread {
			c.unresponsive[entry] = true
		}
	}
}

// homeSince reports whether the agent is the home of the key under the newest version, and
// since which time and version it has been so without a gap; mu is held.
func (c *dispatchChecker) homeSince(homeKey string) (since time.Time, from uint64, isHome bool) {
	if len(c.homeHistory) == 0 {
		return since, 0, true // no entry has sent a dispatch report yet: checkEntries refuses the key if any entry is listed
	}
	for i := len(c.homeHistory) - 1; i >= 0; i-- {
		names := c.homeHistory[i].names
		at := route.HomeIndex(homeKey, names)
		if at < 0 || names[at] != c.target {
			break
		}
		since, from, isHome = c.homeHistory[i].since, c.homeHistory[i].from, true
	}
	return since, from, isHome
}

// readEntries reads the presence records that were appended to the log since the last
// reading.
func (c *dispatchChecker) readEntries(ctx context.Context, version uint64) error {
	select {
	case c.readToken <- struct{}{}:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	defer func() { <-c.readToken }()
	if c.log == nil || c.isEntryListCurrent(version) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, entryListTimeout)
	defer cancel()
	recoveries := c.startReading()
	if err := c.announceAgent(ctx); err != nil {
		return err
	}
	if err := c.readPresences(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entriesRead, c.entriesVersion, c.readRecoveries = true, max(version, c.entriesVersion), recoveries
	return nil
}

// startReading returns the losses of the log that are known. After a new one, the presence of this
// agent must be written again. readToken is held.
func (c *dispatchChecker) startReading() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.recoveries > c.readRecoveries {
		c.announced = false
	}
	return c.recoveries
}

// readPresences reads the log to its end. If the log has lost records that were read, it begins
// anew; entries that were found before stay known. readToken is held.
func (c *dispatchChecker) readPresences(ctx context.Context) error {
	for {
		page, err := control.ReadAfter(ctx, c.log, c.readTo, entryListPage)
		switch {
		case errors.Is(err, control.ErrLogChanged):
			c.readTo, c.announced = config.Position{}, false
			if err := c.announceAgent(ctx); err != nil {
				return err
			}
			continue
		case errors.Is(err, outside.ErrTrimmed) && page.First >= c.readTo.Next && page.First > 0:
			c.readTo = config.Position{Next: page.First}
			continue
		case err != nil:
			return err
		}
		c.applyPresences(page.Records)
		for _, raw := range page.Records {
			c.readTo = c.readTo.After(config.RecordMark(raw))
		}
		if len(page.Records) == 0 {
			return nil
		}
	}
}

func (c *dispatchChecker) isEntryListCurrent(version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entriesRead && c.entriesVersion >= version && c.readRecoveries == c.recoveries
}

func (c *dispatchChecker) applyPresences(records [][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, raw := range records {
		p, err := config.ReadPresence(raw)
		if err != nil || p == nil {
			continue // other records are handled by the configuration fold
		}
		if p.Role == config.PresenceEntry {
			c.applyEntryPresence(p)
		}
	}
}

// applyEntryPresence applies an entry's presence record. The last records of an entry that
// stops list the keys that it dispatched. mu is held.
func (c *dispatchChecker) applyEntryPresence(p *config.Presence) {
	for _, d := range p.Dispatched {
		if d.Target != c.target || d.Incarnation != c.incarnation {
			c.uncertainKeys[d.Key] = p.At()
		}
	}
	if p.Gone {
		delete(c.entries, p.Incarnation)
		return
	}
	c.entries[p.Incarnation] = p.At()
}

// announceAgent appends this agent's presence to the log once; readToken is held.
func (c *dispatchChecker) announceAgent(ctx context.Context) error {
	if c.announced {
		return nil
	}
	if err := c.appendPresence(ctx); err != nil {
		return err
	}
	c.announced = true
	return nil
}

func (c *dispatchChecker) appendPresence(ctx context.Context) error {
	p := config.Presence{Role: config.PresenceAgent, Name: c.target, Incarnation: c.incarnation, AtMs: c.now().UnixMilli()}
	raw, err := p.Encode()
	if err != nil {
		return err
	}
	_, err = c.log.Append(ctx, [][]byte{raw})
	return err
}

// presenceInterval is the interval at which the agent renews its presence record, so that the
// record stays within the retention of the log.
const presenceInterval = 10 * time.Minute

// maintainPresence keeps the presence of this agent on the log, and its entry list as
// recent as the newest version received.
//
// If the entry list were first read when a key needs it, and the log were down by then, an
// agent without requests since the last change would answer "may have run" for the whole
// outage. Therefore the list is read as soon as a version is received. One case is not
// covered: if a version is accepted just before an outage, the keys of requests under this
// version stay uncertain.
func (a *Agent) maintainPresence() {
	c := a.dispatches
	if c.log == nil {
		return
	}
	// If this first reading of the entry list fails, the first request with a key waits for the
	// next reading.
	_ = c.readEntries(a.ctx, 0)
	ticker := time.NewTicker(presenceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.newVersion:
			a.refreshEntryList()
		case <-ticker.C:
			ctx, cancel := context.WithTimeout(a.ctx, entryListTimeout)
			if err := c.appendPresence(ctx); err != nil {
				a.opts.Metrics.Count("presence_errors_total", 1)
			}
			cancel()
		case <-a.ctx.Done():
			return
		}
	}
}

// entryListRetryDelay is the pause after a failed reading of the log.
const entryListRetryDelay = time.Second

// refreshEntryList reads the entry list for the newest version. After a failure it
// schedules another reading.
func (a *Agent) refreshEntryList() {
	c := a.dispatches
	if err := c.readEntries(a.ctx, c.newestVersion()); err == nil {
		return
	}
	a.opts.Metrics.Count("roster_errors_total", 1)
	select {
	case <-time.After(entryListRetryDelay):
	case <-a.ctx.Done():
	}
	select {
	case c.newVersion <- struct{}{}:
	default:
	}
}
