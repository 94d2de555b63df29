package control

import (
	"maps"
	"slices"
	"time"
)

// LeaseTiming holds the durations of leases.
type LeaseTiming struct {
	TTL       time.Duration // validity of a claim or renewal
	Margin    time.Duration // a claimant waits this long beyond the TTL; longer than two clocks can drift apart within one TTL
	RankDelay time.Duration // a claimant waits this long for each claimant that ranks before it
}

// DefaultLeaseTiming makes holders renew every ten seconds. With one record for all
// resources of a holder, 34 holders append 3.4 records a second, and each node reads them
// all.
var DefaultLeaseTiming = LeaseTiming{TTL: 30 * time.Second, Margin: 3 * time.Second, RankDelay: time.Second}

// renewalsPerTTL is the number of renewals within one TTL, so that one lost or slow append
// does not lose the lease.
const renewalsPerTTL = 3

// Claimer decides when one process claims a lease, renews it and may act under it. It has
// no side effects: time and the folded lease table are arguments.
//
// Two processes never act at once. The holder counts the TTL from before it sent the
// batch; claimants count it from when they read the batch, which is later, and add a
// margin. A claim names the fence and term that the claimant saw, so a claim that missed a
// renewal is rejected by the order of the log.
type Claimer struct {
	name        string
	incarnation uint64
	timing      LeaseTiming
	nonce       uint64
	highest     uint64         // highest fencing number observed, also of records that the log has lost
	suspended   bool           // no new claims, see Suspend
	wanted      map[string]int // resource -> rank of this process among the claimants of the resource
	releasing   map[string]bool
	observed    map[string]observedRow
	newest      map[string]LeaseRow  // resource -> latest row observed; the log may have lost it since
	batchSentAt map[uint64]time.Time // nonce -> time just before sending, for each batch that may still be accepted
	lastBatchAt map[string]time.Time // resource -> time of the latest batch with a claim, renewal or release of the resource
}

// observedRow is a row of the lease table and the time it was first read in its present
// state.
type observedRow struct {
	row         LeaseRow
	firstReadAt time.Time
}

// NewClaimer returns a claimer without wanted resources.
func NewClaimer(name string, incarnation uint64, timing LeaseTiming) *Claimer {
	return &Claimer{
		name:        name,
		incarnation: incarnation,
		timing:      timing,
		wanted:      make(map[string]int),
		releasing:   make(map[string]bool),
		observed:    make(map[string]observedRow),
		newest:      make(map[string]LeaseRow),
		batchSentAt: make(map[uint64]time.Time),
		lastBatchAt: make(map[string]time.Time),
	}
}

// Want starts to claim a resource. rank is the place of this process, from 0, among the
// claimants of the resource.
func (c *Claimer) Want(resource string, rank int) {
	c.wanted[resource] = rank
	delete(c.releasing, resource)
}

// Drop stops claiming a resource and releases its lease.
func (c *Claimer) Drop(resource string) {
	delete(c.wanted, resource)
	c.releasing[resource] = true
}

// Suspend stops claims of resources that this process does not hold, or allows them again. While
// it may not know the latest holder, it can't tell from the lease table when that one has stopped.
func (c *Claimer) Suspend(suspended bool) { c.suspended = suspended }

// Idle reports whether there is no resource to claim, renew or release.
func (c *Claimer) Idle() bool { return len(c.wanted)+len(c.releasing) == 0 }

// Observe records the folded lease table as read at now.
func (c *Claimer) Observe(t *LeaseTable, now time.Time) {
	c.highest = max(c.highest, t.highestFence)
	for resource := range c.wanted {
		c.observe(t.Row(resource), resource, now)
	}
	for resource := range c.releasing {
		c.observe(t.Row(resource), resource, now)
	}
	maps.DeleteFunc(c.batchSentAt, func(_ uint64, at time.Time) bool { return now.Sub(at) > c.timing.TTL })
}

func (c *Claimer) observe(row LeaseRow, resource string, now time.Time) {
	if old, ok := c.observed[resource]; !ok || old.row != row {
		c.observed[resource] = observedRow{row: row, firstReadAt: now}
	}
	if !isEarlier(row, c.newest[resource]) {
		c.newest[resource] = row
	}
}

// isEarlier reports whether a row of a resource is earlier than another one.
func isEarlier(row, than LeaseRow) bool {
	return row.Fence < than.Fence || (row.Fence == than.Fence && row.Term < than.Term)
}

// Held returns the lease of a resource if this process may act under it at now.
func (c *Claimer) Held(resource string, now time.Time) (Lease, bool) {
	s := c.observed[resource]
	at, known := c.batchSentAt[s.row.Nonce]
	if _, isWanted := c.wanted[resource]; !isWanted || !known || !c.isHolder(s.row) {
		return Lease{}, false
	}
	l := Lease{Holder: c.name, Resource: resource, Fence: s.row.Fence, Until: at.Add(c.timing.TTL)}
	return l, l.Valid(now)
}

// isHolder reports whether this process holds the lease of a row. A row that is earlier than one
// observed before tells nothing: the log has lost the later one, which may have another holder.
func (c *Claimer) isHolder(row LeaseRow) bool {
	return row.Holder == c.name && row.Incarnation == c.incarnation && !isEarlier(row, c.newest[row.Resource])
}

// DueClaims returns the rows of the resources that this process would claim at now, without those
// that it holds.
func (c *Claimer) DueClaims(now time.Time) []LeaseRow {
	var due []LeaseRow
	for _, resource := range slices.Sorted(maps.Keys(c.wanted)) {
		if s, read := c.observed[resource]; read && !c.isWaiting(resource, now) && !c.isHolder(s.row) && c.canClaim(s, c.wanted[resource], now) {
			due = append(due, s.row)
		}
	}
	return due
}

// isWaiting reports whether the latest batch with a resource is so recent that its outcome may not be
// known yet.
func (c *Claimer) isWaiting(resource string, now time.Time) bool {
	return now.Sub(c.lastBatchAt[resource]) < c.timing.TTL/(2*renewalsPerTTL)
}

// Next returns the batch to append at now, or nil if nothing is due. All claims and
// renewals of the process go into one record: once one of them is due, renewals that are
// not due yet are included.
func (c *Claimer) Next(now time.Time) *LeaseBatch {
	b := &LeaseBatch{Holder: c.name, Incarnation: c.incarnation, TTLMs: c.timing.TTL.Milliseconds(), Highest: c.highest}
	var notDue []LeaseClaim
	for _, resource := range slices.Sorted(maps.Keys(c.wanted)) {
		s, read := c.observed[resource]
		if !read || c.isWaiting(resource, now) {
			continue
		}
		claim := LeaseClaim{Resource: resource, Fence: s.row.Fence, Term: s.row.Term}
		switch {
		case !c.isHolder(s.row) && !c.suspended && c.canClaim(s, c.wanted[resource], now), c.isRenewalDue(s, now):
			b.Claims = append(b.Claims, claim)
		case c.isHolder(s.row) && !c.isLapsed(s.row, now):
			notDue = append(notDue, claim)
		}
	}
	b.Claims = append(b.Claims, c.releaseClaims()...)
	if len(b.Claims) == 0 {
		return nil
	}
	b.Claims = append(b.Claims, notDue...)
	c.nonce++
	b.Nonce = c.nonce
	c.batchSentAt[b.Nonce] = now
	for _, claim := range b.Claims {
		c.lastBatchAt[claim.Resource] = now
	}
	return b
}

// isRenewalDue reports whether a lease of this process has used up 1/renewalsPerTTL of its
// TTL. A lease whose batch is no longer remembered has lapsed; its renewal, which is a new claim,
// succeeds if no other process has claimed the resource.
func (c *Claimer) isRenewalDue(s observedRow, now time.Time) bool {
	if c.isLapsed(s.row, now) {
		return c.isHolder(s.row) && !c.suspended
	}
	return c.isHolder(s.row) && now.Sub(c.batchSentAt[s.row.Nonce]) >= c.timing.TTL/renewalsPerTTL
}

// isLapsed reports whether the TTL of a lease of this process has passed.
func (c *Claimer) isLapsed(row LeaseRow, now time.Time) bool {
	at, known := c.batchSentAt[row.Nonce]
	return !known || now.Sub(at) >= c.timing.TTL
}

func (c *Claimer) releaseClaims() []LeaseClaim {
	var claims []LeaseClaim
	for _, resource := range slices.Sorted(maps.Keys(c.releasing)) {
		s := c.observed[resource]
		if c.isHolder(s.row) {
			claims = append(claims, LeaseClaim{Resource: resource, Fence: s.row.Fence, Term: s.row.Term, Release: true})
			c.newest[resource] = LeaseRow{Resource: resource, Fence: s.row.Fence, Term: s.row.Term + 1} // this process has stopped, whoever reads that first
		}
		delete(c.releasing, resource) // if the release is lost, the lease lapses after its TTL
	}
	return claims
}

// canClaim reports whether this process may claim the resource of a row: its holder must have
// stopped acting by its own clock, and the claimants that rank before this process must have
// had time to claim.
func (c *Claimer) canClaim(s observedRow, rank int, now time.Time) bool {
	wait := time.Duration(rank) * c.timing.RankDelay
	if s.row.Holder != "" {
		wait += time.Duration(s.row.TTLMs)*time.Millisecond + c.timing.Margin
	}
	return now.Sub(s.firstReadAt) >= wait
}
