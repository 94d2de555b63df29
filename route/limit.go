package route

import (
	"slices"
	"time"
)

// Limits are a team's limits over all entries; zero means no limit.
type Limits struct {
	Requests float64 // requests a second
	Tokens   float64 // tokens a second
	InFlight int     // concurrent requests
}

// HasLimit reports whether any limit is set.
func (l Limits) HasLimit() bool { return l.Requests > 0 || l.Tokens > 0 || l.InFlight > 0 }

// DemandPeriod is the period at which the members of a team, the entries that keep its
// limits, propagate its demand to each other. For one period after demand has moved from
// one entry to another both entries may admit it, so a team can get up to twice its limit
// for that long.
const DemandPeriod = time.Second

const (
	demandWeight         = 0.5              // weight of the latest period in the smoothed demand
	demandTTL            = 4 * DemandPeriod // after this time without a report the demand of a member counts as none
	minDemandChange      = 0.02             // part of the limit; a smaller change of demand is not propagated at once
	demandRefreshPeriods = 2                // periods after which an unchanged demand is propagated again
	minDemand            = 0.01             // requests a second; less counts as none
	minShare             = 0.02             // part of the total demand that counts for a member without demand, so that its first request is not refused
	nonMemberShare       = 0.04             // part of a limit that all entries which are not members share
	burstPeriod          = DemandPeriod     // a full bucket holds the tokens of this time
)

// tokenBucket is a token bucket whose rate may change at any time. Its level may fall below
// zero: a request larger than the bucket is admitted, and later requests wait for the
// deficit.
type tokenBucket struct {
	level       float64
	filledAt    time.Duration
	initialized bool
}

func (b *tokenBucket) refill(now time.Duration, rate float64) {
	capacity := max(1, rate*burstPeriod.Seconds())
	if !b.initialized {
		b.initialized, b.level, b.filledAt = true, capacity, now
		return
	}
	b.level = min(capacity, b.level+rate*(now-b.filledAt).Seconds())
	b.filledAt = now
}

// waitFor returns the time until the bucket holds enough tokens for a request; zero if
// it holds enough now.
func (b *tokenBucket) waitFor(need, rate float64) time.Duration {
	need = min(need, max(1, rate*burstPeriod.Seconds()))
	if b.level >= need {
		return 0
	}
	if rate <= 0 {
		return nonMemberRetryAfter
	}
	return seconds((need - b.level) / rate)
}

// nonMemberRetryAfter is the retry delay for a rate of zero, at which no wait would
// suffice.
const nonMemberRetryAfter = 5 * time.Second

// TeamLimiter enforces one entry's share of a team's limits. Times are durations since an
// arbitrary origin.
type TeamLimiter struct {
	requests, tokens       tokenBucket
	inFlight               int
	requestsInPeriod       float64                 // requests in this period, refused ones included
	smoothedDemand         float64                 // requests a second
	propagatedDemand       float64                 // requests a second, as last propagated to the other members
	periodsSincePropagated int                     // periods since the last propagation
	limits                 Limits                  // limits of the team as of the latest request
	memberDemands          map[string]memberDemand // by name of the member
	lastRequestAt          time.Duration
}

// memberDemand is the demand that another member has reported.
type memberDemand struct {
	demand     float64 // requests a second
	receivedAt time.Duration
}

// NewTeamLimiter returns the limiter of a team without requests so far.
func NewTeamLimiter() *TeamLimiter { return &TeamLimiter{memberDemands: make(map[string]memberDemand)} }

// LimitMembership determines an entry's share of a team's limits.
type LimitMembership struct {
	Self    string   // name of this entry
	Members []string // names of the team's members, in any order
	Entries int      // number of all entries
}

// Admit admits a request with an estimated cost in tokens, or returns how long to wait
// before the next attempt.
func (t *TeamLimiter) Admit(now time.Duration, l Limits, m LimitMembership, cost float64) (bool, time.Duration) {
	t.requestsInPeriod++
	t.lastRequestAt = now
	t.limits = l
	share, slots := t.share(now, l.InFlight, m)
	if l.InFlight > 0 && t.inFlight >= slots {
		return false, DemandPeriod
	}
	t.requests.refill(now, l.Requests*share)
	t.tokens.refill(now, l.Tokens*share)
	wait := time.Duration(0)
	if l.Requests > 0 {
		wait = t.requests.waitFor(1, l.Requests*share)
	}
	if l.Tokens > 0 {
		wait = max(wait, t.tokens.waitFor(cost, l.Tokens*share))
	}
	if wait > 0 {
		return false, wait
	}
	t.requests.level--
	t.tokens.level -= cost
	t.inFlight++
	return true, 0
}

// Release records the end of an admitted request. extra is its true cost minus the
// estimated cost in tokens, and may be negative.
func (t *TeamLimiter) Release(extra float64) {
	t.inFlight--
	t.tokens.level -= extra
}

// EndPeriod ends a period. It returns the demand in requests a second and whether to
// propagate it to the other members. A change of more than minDemandChange is propagated,
// and a demand above zero is propagated again every demandRefreshPeriods. Most teams use a
// small part of their limits and cause no messages.
func (t *TeamLimiter) EndPeriod() (demand float64, propagate bool) {
	t.smoothedDemand += demandWeight * (t.requestsInPeriod/DemandPeriod.Seconds() - t.smoothedDemand)
	t.requestsInPeriod = 0
	t.periodsSincePropagated++
	change := t.smoothedDemand - t.propagatedDemand
	if change < 0 {
		change = -change
	}
	threshold := minDemandChange * t.limits.Requests
	if t.limits.Requests == 0 {
		threshold = minDemandChange * max(t.smoothedDemand, t.propagatedDemand)
	}
	if change <= threshold && (t.propagatedDemand == 0 || t.periodsSincePropagated < demandRefreshPeriods) {
		return t.propagatedDemand, false
	}
	t.propagatedDemand, t.periodsSincePropagated = t.smoothedDemand, 0
	if t.propagatedDemand < minDemand {
		t.propagatedDemand = 0
	}
	return t.propagatedDemand, true
}

// RecordDemand records the demand that another member has propagated, in requests a second.
func (t *TeamLimiter) RecordDemand(now time.Duration, member string, demand float64) {
	t.memberDemands[member] = memberDemand{demand: demand, receivedAt: now}
}

// IsIdle reports whether the team has no requests in flight and has sent none for longer than
// after, so that its limiter can be dropped.
func (t *TeamLimiter) IsIdle(now, after time.Duration) bool {
	return t.inFlight == 0 && now-t.lastRequestAt > after
}

// share returns this entry's part of the rate limits and its number of concurrent requests.
// Each member uses the propagated demands, also for its own demand, so that the shares of
// all members add up to the limit.
func (t *TeamLimiter) share(now time.Duration, inFlight int, m LimitMembership) (float64, int) {
	index := slices.Index(m.Members, m.Self)
	if index < 0 {
		part := nonMemberShare / float64(max(1, m.Entries-len(m.Members)))
		return part, int(part * float64(inFlight))
	}
	demands := make([]float64, len(m.Members))
	for i, name := range m.Members {
		if name == m.Self {
			demands[i] = t.propagatedDemand
		} else if h, ok := t.memberDemands[name]; ok && now-h.receivedAt <= demandTTL {
			demands[i] = h.demand
		}
	}
	shares := DemandShares(demands)
	return shares[index], Apportion(inFlight, shares)[index]
}

// DemandShares divides a limit in proportion to demands. The shares add up to 1.
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
		shares[i] = (d + minShare*sum) / (sum * (1 + n*minShare))
	}
	return shares
}

// Apportion divides n slots by shares with the largest remainder method. The result adds up
// to n.
func Apportion(n int, shares []float64) []int {
	slots := make([]int, len(shares))
	order := make([]int, len(shares))
	left := n
	for i, s := range shares {
		slots[i] = int(s * float64(n))
		left -= slots[i]
		order[i] = i
	}
	remainder := func(i int) float64 { return shares[i]*float64(n) - float64(slots[i]) }
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case remainder(a) > remainder(b):
			return -1
		case remainder(a) < remainder(b):
			return 1
		}
		return a - b
	})
	for k := range max(0, left) {
		slots[order[k%len(order)]]++
	}
	return slots
}
