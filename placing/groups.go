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
	breaker breaker
	short   shortGroup
	share   roomShare
	// answered is when the latest request was sent that a rank has begun to answer.
	answered time.Time
	// assumed are the requests of other entries at each target while nothing is
	// reported.
	assumed float64
}

// groupLife is how long a group is remembered that nobody reports any more.
const groupLife = time.Minute

// group returns what is known of a group; the lock must be held.
func (b *Book) group(k groupKey) *groupBook {
	g := b.groups[k]
	if g == nil {
		g = new(groupBook)
		b.groups[k] = g
	}
	return g
}

// keyOf returns the group of a target. One that no report has named belongs to the only
// group of its service, if there is only one. The lock must be held.
func (b *Book) keyOf(t *serving.Target) groupKey {
	if a := b.accounts[t.Run()]; a != nil && a.group != "" {
		return groupKey{service: t.Service, name: a.group}
	}
	k, _ := b.only(t.Service)
	return k
}

// only returns the group of a service that has one with a name, and else the one without.
// The lock must be held.
func (b *Book) only(service string) (k groupKey, several bool) {
	k = groupKey{service: service}
	for known := range b.groups {
		switch {
		case known.service != service || known.name == "":
		case k.name != "":
			return groupKey{service: service}, true
		default:
			k = known
		}
	}
	return k, false
}

// forgetGroups drops the groups of a service that nobody has told of for long. The lock must
// be held.
func (b *Book) forgetGroups(service string, now time.Time) {
	for k, g := range b.groups {
		if k.service == service && k.name != "" && now.Sub(g.At) > groupLife && now.Sub(g.short.told) > groupLife {
			delete(b.groups, k)
		}
	}
}

// groupLane is the part of a lane that leads to one group.
type groupLane struct {
	Lane
	key  groupKey
	most float64 // streams that a target may run, in the mean
}

// lanes divides a lane by the groups of its targets.
func (b *Book) lanes(l Lane, now time.Time) []groupLane {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgetGroups(l.Service.Name, now)
	var list []groupLane
	for _, t := range l.Targets {
		key := b.keyOf(t)
		at := slices.IndexFunc(list, func(o groupLane) bool { return o.key == key })
		if at < 0 {
			list = append(list, groupLane{Lane: l, key: key})
			at = len(list) - 1
			list[at].Targets = nil
		}
		list[at].Targets = append(list[at].Targets, t)
	}
	for i := range list {
		o := &list[i]
		b.group(o.key).short.note(len(o.Targets), now)
		o.Targets = b.withoutSlow(o.Targets, now)
		o.most = b.limitOf(o.key, l, now)
	}
	b.leastUsedFirst(list, now)
	return list
}

// leastUsedFirst orders lanes by the part of their room that is taken. The lock must be held.
func (b *Book) leastUsedFirst(list []groupLane, now time.Time) {
	if len(list) < 2 {
		return
	}
	used := make(map[groupKey]float64, len(list))
	for _, o := range list {
		sum := 0
		for _, t := range o.Targets {
			sum += b.load(t, now)
		}
		used[o.key] = float64(sum) / math.Max(o.most*float64(len(o.Targets)), 1)
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

// GroupRefused notes that a target refused a request because its group is broken.
func (b *Book) GroupRefused(t *serving.Target, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ablate.Off(ablate.Breaker) {
		return
	}
	b.group(b.keyOf(t)).breaker = breaker{broken: true, next: now.Add(probePause)}
}

// GroupAnswered notes that the group of a target runs requests.
func (b *Book) GroupAnswered(t *serving.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.group(b.keyOf(t)).breaker.broken = false
}

// Broken tells whether no group of a service runs requests, and for how long all of them
// have lacked engines; 0 if some do not.
func (b *Book) Broken(service string, now time.Time) (broken bool, short time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := true
	only, several := b.only(service)
	for k, g := range b.groups {
		if k.service != service || g.unused() || k.name == "" && (several || only.name != "") {
			continue
		}
		if !g.breaker.broken {
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

// unused tells whether nothing was ever told of a group, nor refused by it.
func (g *groupBook) unused() bool {
	return g.At.IsZero() && g.short.told.IsZero() && !g.breaker.broken
}

// GroupSize notes how many ranks a group has, whether they run or not.
func (b *Book) GroupSize(service, group string, ranks int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.group(groupKey{service: service, name: group}).short.size(ranks, now)
}
