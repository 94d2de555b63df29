package placing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/serving"
)

// A service may have several rank groups. Each runs its own passes on its own map, so each
// has its own limit and room, and may be broken while the others run. Requests for the
// service wait together and go to any of them.

// groupKey names a rank group of a service. Targets of which no group is known yet, as before
// the first report, count as one without a name.
type groupKey struct{ service, name string }

// groupBook is what an entry keeps of a group.
type groupBook struct {
	GroupState
	targets int // that are of it
	breaker breaker
	short   shortGroup
	share   roomShare
	// answered is when the latest request was sent that a rank has begun to answer.
	answered time.Time
	// assumed are the requests of other entries at each target while nothing is
	// reported.
	assumed float64
}

// groupTTL is how long a group is remembered that nobody reports any more.
const groupTTL = time.Minute

// group returns what is known of a group; the lock must be held.
func (b *Tracker) group(k groupKey) *groupBook {
	g := b.groups[k]
	if g == nil {
		g = new(groupBook)
		b.groups[k] = g
	}
	return g
}

// keyOf returns the group of a target. One that no report has named is of no group that is
// known to run, while any is reported; else it belongs to the only group of its service that
// was told of, if there is only one. The lock must be held.
func (b *Tracker) keyOf(t *serving.Target, now time.Time) groupKey {
	if a := b.accounts[t.Run()]; a != nil && a.group != "" {
		return groupKey{service: t.Service, name: a.group}
	}
	k, known := groupKey{service: t.Service}, 0
	for o, g := range b.groups {
		if o.service != t.Service || o.name == "" {
			continue
		}
		if now.Sub(g.ReportedAt) < ReportTTL {
			return groupKey{service: t.Service}
		}
		k = o
		known++
	}
	if known != 1 {
		return groupKey{service: t.Service}
	}
	return k
}

// forgetGroups drops the groups of a service that nobody has told of for long. The lock must
// be held.
func (b *Tracker) forgetGroups(service string, now time.Time) {
	for k, g := range b.groups {
		if k.service == service && k.name != "" && now.Sub(g.ReportedAt) > groupTTL && now.Sub(g.short.told) > groupTTL {
			delete(b.groups, k)
		}
	}
}

// groupLane is the part of a lane that leads to one group.
type groupLane struct {
	TargetPool
	key  groupKey
	most float64 // streams that a target may run, in the mean
}

// lanes divides a lane by the groups of its targets.
func (b *Tracker) lanes(l TargetPool, now time.Time) []groupLane {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgetGroups(l.Service.Name, now)
	for k, g := range b.groups {
		if k.service == l.Service.Name {
			g.targets = 0
		}
	}
	var list []groupLane
	for _, t := range l.Targets {
		key := b.keyOf(t, now)
		at := slices.IndexFunc(list, func(o groupLane) bool { return o.key == key })
		if at < 0 {
			list = append(list, groupLane{TargetPool: l, key: key})
			at = len(list) - 1
			list[at].Targets = nil
		}
		list[at].Targets = append(list[at].Targets, t)
	}
	for i := range list {
		o := &list[i]
		g := b.group(o.key)
		g.targets = len(o.Targets)
		g.short.note(len(o.Targets), now)
		o.Targets = b.withoutSlow(o.Targets, now)
		o.most = b.limitOf(o.key, l, openShare(o.Targets), now)
	}
	list = b.withoutIdle(list, now)
	b.leastUsedFirst(list, now)
	return list
}

// withoutIdle leaves out targets of which no report tells and groups that are told to be
// incomplete, as long as another group runs requests: a service may have engines that are too
// few for one more group and refuse everything, and each refusal takes one of the tries that
// all callers share. Whether they have formed a group is told by their reports. The lock must
// be held.
func (b *Tracker) withoutIdle(list []groupLane, now time.Time) []groupLane {
	runs := func(l groupLane) bool {
		g := b.group(l.key)
		return l.key.name != "" && now.Sub(g.ReportedAt) < ReportTTL && g.Complete
	}
	if !slices.ContainsFunc(list, func(l groupLane) bool { return runs(l) && !b.group(l.key).breaker.broken }) {
		return list
	}
	return slices.DeleteFunc(list, func(l groupLane) bool { return !runs(l) })
}

// leastUsedFirst orders lanes by the part of their room that is taken. The lock must be held.
func (b *Tracker) leastUsedFirst(list []groupLane, now time.Time) {
	if len(list) < 2 {
		return
	}
	used := make(map[groupKey]float64, len(list))
	for _, o := range list {
		sum := 0
		for _, t := range o.Targets {
			sum += b.load(t, now)
		}
		used[o.key] = float64(sum) / math.Max(o.most*float64(openOf(o.Targets)), 1)
	}
	slices.SortStableFunc(list, func(x, y groupLane) int { return cmp.Compare(used[x.key], used[y.key]) })
}

// breaker keeps requests from a group that is broken: every engine refuses then, and each
// refusal is an arrival that the retry budget pays for. Now and then one request is let
// through to see.
type breaker struct {
	broken bool
	next   time.Time // when one may go
}

// Paces of the breaker. A group is back within a second or so of its ranks.
const (
	probePause = 120 * time.Millisecond
	probeLimit = 400 * time.Millisecond // without a result
)

// closed tells whether no request may go now.
func (k *breaker) closed(now time.Time) bool { return k.broken && now.Before(k.next) }

// sent notes that a request was let through.
func (k *breaker) sent(now time.Time) { k.next = now.Add(probeLimit) }

// RecordGroupRefusal notes that a target refused a request because its group is broken.
func (b *Tracker) RecordGroupRefusal(t *serving.Target, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ablate.Off(ablate.Breaker) {
		return
	}
	b.group(b.keyOf(t, now)).breaker = breaker{broken: true, next: now.Add(probePause)}
}

// RecordGroupResponse notes that the group of a target runs requests.
func (b *Tracker) RecordGroupResponse(t *serving.Target, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.group(b.keyOf(t, now)).breaker.broken = false
}

// IsServiceDown tells whether no group of a service runs requests, and for how long all of them
// have lacked engines; 0 if some do not.
func (b *Tracker) IsServiceDown(service string, now time.Time) (broken bool, short time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := true
	for k, g := range b.groups {
		if k.service != service || g.targets == 0 || k.name == "" && b.named(service) {
			continue
		}
		if !g.breaker.broken && !g.incomplete(now) {
			return false, 0
		}
		lasting := g.short.lasting(now)
		if first || lasting < short {
			short = lasting
		}
		first = false
	}
	return !first, short
}

// incomplete tells whether a group is reported to lack ranks.
func (g *groupBook) incomplete(now time.Time) bool {
	return now.Sub(g.ReportedAt) < ReportTTL && !g.Complete
}

// named tells whether any group of a service that has targets has a name. The lock must be
// held.
func (b *Tracker) named(service string) bool {
	for k, g := range b.groups {
		if k.service == service && k.name != "" && g.targets > 0 {
			return true
		}
	}
	return false
}

// SetGroupSize notes how many ranks a group has, whether they run or not.
func (b *Tracker) SetGroupSize(service, group string, ranks int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.group(groupKey{service: service, name: group}).short.size(ranks, now)
}
