package control

import (
	"maps"
	"slices"
	"time"
)

// LeaseTiming are the spans of leases.
type LeaseTiming struct {
	TTL       time.Duration // how long a claim or renewal holds
	Margin    time.Duration // more than clocks drift apart within a span
	RankDelay time.Duration // a claimant waits this long for each one that ranks before it
}

// DefaultLeaseTiming renews every ten seconds: with one record for all resources of
// a holder, 34 holders append 3.4 times a second, and each node reads as much.
var DefaultLeaseTiming = LeaseTiming{TTL: 30 * time.Second, Margin: 3 * time.Second, RankDelay: time.Second}

// renewals is how many times a holder renews within a span, so that one lost or
// slow append does not lose the lease.
const renewals = 3

// Claimer decides when one process claims, renews and may act. It is pure: time
// and the folded table are arguments.
//
// Two may not act at once: the holder counts its span from before it sent the
// batch; others count from when they read it, which is later, and add a margin. A
// claim names the fence and term it saw, so one that missed a renewal loses by the
// log's order.
type Claimer struct {
	name        string
	incarnation uint64
	timing      LeaseTiming
	nonce       uint64
	want        map[string]int // resource to rank among claimants
	release     map[string]bool
	seen        map[string]sighting
	sent        map[uint64]time.Time // begin of each batch that may still be accepted
	tries       map[string]time.Time // latest batch that named a resource
}

// sighting is when a row was first read in its present state.
type sighting struct {
	row LeaseRow
	at  time.Time
}

// NewClaimer returns a claimer that wants nothing.
func NewClaimer(name string, incarnation uint64, timing LeaseTiming) *Claimer {
	return &Claimer{
		name:        name,
		incarnation: incarnation,
		timing:      timing,
		want:        make(map[string]int),
		release:     make(map[string]bool),
		seen:        make(map[string]sighting),
		sent:        make(map[uint64]time.Time),
		tries:       make(map[string]time.Time),
	}
}

// Want asks for a resource; rank is the place among those who may claim it.
func (c *Claimer) Want(resource string, rank int) {
	c.want[resource] = rank
	delete(c.release, resource)
}

// Drop gives a resource up.
func (c *Claimer) Drop(resource string) {
	delete(c.want, resource)
	c.release[resource] = true
}

// Idle reports that nothing is wanted or to be released.
func (c *Claimer) Idle() bool { return len(c.want)+len(c.release) == 0 }

// Observe takes the folded table as read at now.
func (c *Claimer) Observe(t *LeaseTable, now time.Time) {
	for resource := range c.want {
		c.observe(t.Row(resource), resource, now)
	}
	for resource := range c.release {
		c.observe(t.Row(resource), resource, now)
	}
	maps.DeleteFunc(c.sent, func(_ uint64, at time.Time) bool { return now.Sub(at) > c.timing.TTL })
}

func (c *Claimer) observe(row LeaseRow, resource string, now time.Time) {
	if old, ok := c.seen[resource]; !ok || old.row != row {
		c.seen[resource] = sighting{row: row, at: now}
	}
}

// Held returns the lease if this process may act at now.
func (c *Claimer) Held(resource string, now time.Time) (Lease, bool) {
	s := c.seen[resource]
	at, known := c.sent[s.row.Nonce]
	if _, wanted := c.want[resource]; !wanted || !known || !c.mine(s.row) {
		return Lease{}, false
	}
	l := Lease{Holder: c.name, Resource: resource, Fence: s.row.Fence, Until: at.Add(c.timing.TTL)}
	return l, l.Valid(now)
}

func (c *Claimer) mine(row LeaseRow) bool {
	return row.Holder == c.name && row.Incarnation == c.incarnation
}

// Next returns the batch to append at now, nil if there is nothing to do. All
// claims and renewals of the process go into one record: a renewal that falls due
// soon joins one that is due.
func (c *Claimer) Next(now time.Time) *LeaseBatch {
	b := &LeaseBatch{Holder: c.name, Incarnation: c.incarnation, TTLMs: c.timing.TTL.Milliseconds()}
	var early []LeaseClaim
	for _, resource := range slices.Sorted(maps.Keys(c.want)) {
		s, read := c.seen[resource]
		if !read || now.Sub(c.tries[resource]) < c.timing.TTL/(2*renewals) {
			continue
		}
		claim := LeaseClaim{Resource: resource, Fence: s.row.Fence, Term: s.row.Term}
		switch {
		case !c.mine(s.row) && c.lapsed(s, c.want[resource], now), c.renewalDue(s, now):
			b.Claims = append(b.Claims, claim)
		case c.mine(s.row):
			early = append(early, claim)
		}
	}
	b.Claims = append(b.Claims, c.releases()...)
	if len(b.Claims) == 0 {
		return nil
	}
	b.Claims = append(b.Claims, early...)
	c.nonce++
	b.Nonce = c.nonce
	c.sent[b.Nonce] = now
	for _, claim := range b.Claims {
		c.tries[claim.Resource] = now
	}
	return b
}

// renewalDue reports whether a lease of this process has used up a third of its
// span. One whose batch is forgotten lapsed; if nobody else took it, the log
// gives it back.
func (c *Claimer) renewalDue(s sighting, now time.Time) bool {
	at, known := c.sent[s.row.Nonce]
	return c.mine(s.row) && (!known || now.Sub(at) >= c.timing.TTL/renewals)
}

func (c *Claimer) releases() []LeaseClaim {
	var claims []LeaseClaim
	for _, resource := range slices.Sorted(maps.Keys(c.release)) {
		s := c.seen[resource]
		if c.mine(s.row) {
			claims = append(claims, LeaseClaim{Resource: resource, Fence: s.row.Fence, Term: s.row.Term, Release: true})
		}
		delete(c.release, resource) // a release that is lost runs out by itself
	}
	return claims
}

// lapsed reports whether the holder of a row must have stopped by its own clock.
func (c *Claimer) lapsed(s sighting, rank int, now time.Time) bool {
	wait := time.Duration(rank) * c.timing.RankDelay
	if s.row.Holder != "" {
		wait += time.Duration(s.row.TTLMs)*time.Millisecond + c.timing.Margin
	}
	return now.Sub(s.at) >= wait
}
