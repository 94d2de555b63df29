package route

import (
	"slices"
	"time"
)

// Limits are a team's limits over all entries; zero: none.
type Limits struct {
	Requests float64 // a second
	Tokens   float64 // a second
	InFlight int
}

// HasLimit tells whether there is a limit at all.
func (l Limits) HasLimit() bool { return l.Requests > 0 || l.Tokens > 0 || l.InFlight > 0 }

// DemandPeriod is how often the entries of a team tell each other its demand. For
// one period after demand has moved from one entry to another both may spend it,
// so a team can get up to twice its limit for that long.
const DemandPeriod = time.Second

const (
	demandStep    = 0.5              // weight of the newest period
	demandMemory  = 4 * DemandPeriod // a member not heard for longer has none
	demandChange  = 0.02             // of the limit, that is told at once
	demandRefresh = 2                // periods after which an unchanged demand is told again
	demandLeast   = 0.01             // requests a second; less is none
	shareFloor    = 0.02             // of the sum, for a member without demand: its first request is not refused
	outsideShare  = 0.04             // of a limit, for all entries together that are not members
	burstPeriod   = DemandPeriod     // a bucket holds what its rate gives in this time
)

// bucket is a token bucket whose rate may change at any time. It may go below
// zero: a request larger than the bucket is taken and paid for afterwards.
type bucket struct {
	level float64
	at    time.Duration
	used  bool
}

func (b *bucket) fill(now time.Duration, rate float64) {
	top := max(1, rate*burstPeriod.Seconds())
	if !b.used {
		b.used, b.level, b.at = true, top, now
		return
	}
	b.level = min(top, b.level+rate*(now-b.at).Seconds())
	b.at = now
}

// wait returns how long until the next request may pass; zero: now.
func (b *bucket) wait(need, rate float64) time.Duration {
	need = min(need, max(1, rate*burstPeriod.Seconds()))
	if b.level >= need {
		return 0
	}
	if rate <= 0 {
		return outsideWait
	}
	return seconds((need - b.level) / rate)
}

// outsideWait is told where no wait would help.
const outsideWait = 5 * time.Second

// TeamLimiter keeps one team's limits at one entry. Times grow from any origin.
type TeamLimiter struct {
	requests, tokens bucket
	inFlight         int
	seen             float64 // requests asked for in this period
	demand           float64 // requests a second, smoothed
	told             float64 // demand as last told to the others
	silent           int     // periods since then
	limits           Limits  // as last seen
	heard            map[string]heardDemand
	lastSeen         time.Duration
}

type heardDemand struct {
	demand float64
	at     time.Duration
}

// NewTeamLimiter returns the state of a team that was not seen yet.
func NewTeamLimiter() *TeamLimiter { return &TeamLimiter{heard: make(map[string]heardDemand)} }

// LimitMembership is which part of a team's limits an entry keeps.
type LimitMembership struct {
	Self    string
	Members []string // of the team, in any order
	Entries int      // in all
}

// Admit takes a request with a price in tokens, or returns how long to wait
// before asking again.
func (t *TeamLimiter) Admit(now time.Duration, l Limits, p LimitMembership, price float64) (bool, time.Duration) {
	t.seen++
	t.lastSeen = now
	t.limits = l
	share, slots := t.share(now, l.InFlight, p)
	if l.InFlight > 0 && t.inFlight >= slots {
		return false, DemandPeriod
	}
	t.requests.fill(now, l.Requests*share)
	t.tokens.fill(now, l.Tokens*share)
	wait := time.Duration(0)
	if l.Requests > 0 {
		wait = t.requests.wait(1, l.Requests*share)
	}
	if l.Tokens > 0 {
		wait = max(wait, t.tokens.wait(price, l.Tokens*share))
	}
	if wait > 0 {
		return false, wait
	}
	t.requests.level--
	t.tokens.level -= price
	t.inFlight++
	return true, 0
}

// Release takes the end of an admitted request; extra is what it cost beyond its
// price, and may be negative.
func (t *TeamLimiter) Release(extra float64) {
	t.inFlight--
	t.tokens.level -= extra
}

// EndPeriod ends a period. It returns the demand and whether the other members must be
// told: when it has changed by a part of the limit that matters, and now and then
// while there is any. Most teams ask for a small part of their limits and cost
// nothing.
func (t *TeamLimiter) EndPeriod() (demand float64, tell bool) {
	t.demand += demandStep * (t.seen/DemandPeriod.Seconds() - t.demand)
	t.seen = 0
	t.silent++
	change := t.demand - t.told
	if change < 0 {
		change = -change
	}
	matters := demandChange * t.limits.Requests
	if t.limits.Requests == 0 {
		matters = demandChange * max(t.demand, t.told)
	}
	if change <= matters && (t.told == 0 || t.silent < demandRefresh) {
		return t.told, false
	}
	t.told, t.silent = t.demand, 0
	if t.told < demandLeast {
		t.told = 0
	}
	return t.told, true
}

// RecordDemand takes what another member told.
func (t *TeamLimiter) RecordDemand(now time.Duration, member string, demand float64) {
	t.heard[member] = heardDemand{demand: demand, at: now}
}

// IsIdle tells whether nothing is known of the team that is worth keeping.
func (t *TeamLimiter) IsIdle(now, after time.Duration) bool {
	return t.inFlight == 0 && now-t.lastSeen > after
}

// share returns the part of the rates, and how many requests at once, that this
// entry may give. All members work with what was told, their own told demand
// included, so that their parts add up to the limit.
func (t *TeamLimiter) share(now time.Duration, inFlight int, p LimitMembership) (float64, int) {
	at := slices.Index(p.Members, p.Self)
	if at < 0 {
		part := outsideShare / float64(max(1, p.Entries-len(p.Members)))
		return part, int(part * float64(inFlight))
	}
	demands := make([]float64, len(p.Members))
	for i, m := range p.Members {
		if m == p.Self {
			demands[i] = t.told
		} else if h, ok := t.heard[m]; ok && now-h.at <= demandMemory {
			demands[i] = h.demand
		}
	}
	shares := DemandShares(demands)
	return shares[at], Apportion(inFlight, shares)[at]
}

// DemandShares divides one limit by demand; the parts add up to 1.
func DemandShares(demands []float64) []float64 {
	sum := 0.0
	for _, d := range demands {
		sum += d
	}
	shares := make([]float64, len(demands))
	n := float64(len(demands))
	for i, d := range demands {
		if sum <= 0 {
			shares[i] = 1 / n
			continue
		}
		shares[i] = (d + shareFloor*sum) / (sum * (1 + n*shareFloor))
	}
	return shares
}

// Apportion divides whole places by shares, the rest to the largest remainders;
// the parts add up to n.
func Apportion(n int, shares []float64) []int {
	places := make([]int, len(shares))
	order := make([]int, len(shares))
	left := n
	for i, s := range shares {
		places[i] = int(s * float64(n))
		left -= places[i]
		order[i] = i
	}
	rest := func(i int) float64 { return shares[i]*float64(n) - float64(places[i]) }
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case rest(a) > rest(b):
			return -1
		case rest(a) < rest(b):
			return 1
		}
		return a - b
	})
	for k := range max(0, left) {
		places[order[k%len(order)]]++
	}
	return places
}
