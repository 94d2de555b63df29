package route

import (
	"container/heap"
	"time"
)

// FairQueue orders waiting requests: between teams by weighted shares of cost
// (start-time fair queueing), strictly by priority within a team. A share that a
// team leaves idle goes to the others; it gets back at most fairCredit of it.
// It keeps state only for teams that wait or are ahead of their share. Times are
// durations from any one origin.
type FairQueue struct {
	teams  map[string]*fairTeam
	heads  fairTeams // teams with waiting requests
	now    float64   // virtual time: start tag of the latest request taken
	length int
	price  float64
	order  uint64
}

// fairCredit is how many tokens a team may be behind its share. Without it a team
// within its share would wait after each of its long answers as if it had too
// much; with it a team that was idle goes first for at most these tokens.
const fairCredit = 4000.0

type fairTeam struct {
	name   string
	start  float64 // virtual time at which its next request is due
	items  fairItems
	index  int     // in heads, -1 if nothing waits
	price  float64 // waiting
	weight float64

	since  time.Duration // start of the window in which served counts
	served float64
	rate   float64 // price a second while it waits; 0: unknown
}

// rateWindow is how long a team must have waited before its rate is believed.
const rateWindow = time.Second

// serve counts what a waiting team got. Its rate is its share of the target: what
// others will send meanwhile can't be known, what the team got can.
func (t *fairTeam) serve(now time.Duration, price float64) {
	t.served += price
	d := now - t.since
	if d < rateWindow {
		return
	}
	rate := t.served / d.Seconds()
	if t.rate > 0 {
		rate = (rate + t.rate) / 2
	}
	t.rate, t.since, t.served = rate, now, 0
}

// FairItem is one waiting request. It belongs to the caller.
type FairItem struct {
	Team      string
	Weight    float64
	Priority  int8
	TokenCost float64 // estimated cost in tokens
	Value     any

	order uint64
	index int // in its team, -1 if it does not wait
}

// NewFairQueue returns an empty queue.
func NewFairQueue() *FairQueue {
	return &FairQueue{teams: make(map[string]*fairTeam)}
}

// Len returns how many requests wait.
func (q *FairQueue) Len() int { return q.length }

// QueuedCost returns the cost of all waiting requests.
func (q *FairQueue) QueuedCost() float64 { return q.price }

// Push adds a request.
func (q *FairQueue) Push(now time.Duration, it *FairItem) {
	t := q.team(it.Team)
	t.weight = max(1, it.Weight)
	q.order++
	it.order = q.order
	heap.Push(&t.items, it)
	t.price += it.TokenCost
	q.price += it.TokenCost
	q.length++
	if t.index < 0 {
		t.start = max(t.start, q.earliest(t.weight))
		t.since, t.served, t.rate = now, 0, 0
		heap.Push(&q.heads, t)
	}
}

// earliest returns the start tag of a team that has used nothing lately.
func (q *FairQueue) earliest(weight float64) float64 {
	return q.now - fairCredit/max(1, weight)
}

// Pop takes the next request, nil if none waits.
func (q *FairQueue) Pop(now time.Duration) *FairItem {
	if len(q.heads) == 0 {
		return nil
	}
	t := q.heads[0]
	it := heap.Pop(&t.items).(*FairItem)
	q.took(t, it)
	t.serve(now, it.TokenCost)
	q.now = max(q.now, t.start)
	t.start += it.TokenCost / t.weight
	q.settle(t)
	return it
}

// HeadIsUnderserved tells whether the next request is of a team that has had less than its
// share, while another waits or has waited with more.
func (q *FairQueue) HeadIsUnderserved() bool {
	return len(q.heads) > 0 && q.heads[0].start < q.now
}

// WouldBeNext tells whether a new request of a team would be the next one, with a
// right to what is kept for teams that have had less than their share.
func (q *FairQueue) WouldBeNext(team string, weight float64) bool {
	if q.length == 0 {
		return true
	}
	t := q.teams[team]
	return (t == nil || t.index < 0) && q.IsUnderserved(team, weight) && q.due(team, weight) < q.heads[0].start
}

// IsUnderserved tells whether a team has had less than its share.
func (q *FairQueue) IsUnderserved(team string, weight float64) bool {
	return q.due(team, weight) < q.now
}

// due returns the start tag of a team's next request.
func (q *FairQueue) due(team string, weight float64) float64 {
	due := q.earliest(weight)
	if t := q.teams[team]; t != nil {
		due = max(due, t.start)
	}
	return due
}

// Remove takes a request out that no longer wants to wait; false: it did not wait.
func (q *FairQueue) Remove(it *FairItem) bool {
	t := q.teams[it.Team]
	if t == nil || it.index < 0 || it.index >= len(t.items) || t.items[it.index] != it {
		return false
	}
	heap.Remove(&t.items, it.index)
	q.took(t, it)
	q.settle(t)
	return true
}

// Charge corrects a team's share once the true cost of a request is known;
// extra may be negative.
func (q *FairQueue) Charge(team string, weight, extra float64) {
	if t := q.teams[team]; t != nil || extra > 0 {
		t = q.team(team)
		t.start = max(t.start, q.earliest(weight)) + extra/max(1, weight)
		q.settle(t)
	}
}

// WaitSeconds returns how many seconds a new request of a team would wait here if the
// target serves speed in price a second. A team that has waited for a while goes
// by what it got; else its own waiting requests are before it and, for each other
// team, the smaller of what it has waiting and what its weight entitles it to
// meanwhile.
func (q *FairQueue) WaitSeconds(team string, weight float64, priority int8, speed float64) float64 {
	own, due := 0.0, q.earliest(weight)
	if t := q.teams[team]; t != nil {
		due = max(due, t.start)
		own = t.before(priority)
		if t.index >= 0 && t.rate > 0 {
			return own / min(t.rate, speed)
		}
	}
	due += own / max(1, weight)
	sum := own
	for _, t := range q.heads {
		if t.name != team && t.start < due {
			sum += min(t.price, (due-t.start)*t.weight)
		}
	}
	return sum / speed
}

// before returns the cost of a team's waiting requests of at least a priority.
func (t *fairTeam) before(priority int8) float64 {
	sum := 0.0
	for _, it := range t.items {
		if it.Priority >= priority {
			sum += it.TokenCost
		}
	}
	return sum
}

// EvictIdleTeams drops the state of teams that neither wait nor are ahead of their
// share. Call it now and then; its cost is the number of teams held.
func (q *FairQueue) EvictIdleTeams() {
	for name, t := range q.teams {
		if t.index < 0 && t.start <= q.earliest(t.weight) {
			delete(q.teams, name)
		}
	}
}

// TeamCount returns how many teams have state here.
func (q *FairQueue) TeamCount() int { return len(q.teams) }

func (q *FairQueue) team(name string) *fairTeam {
	t := q.teams[name]
	if t == nil {
		t = &fairTeam{name: name, start: q.now - fairCredit, index: -1}
		q.teams[name] = t
	}
	return t
}

func (q *FairQueue) took(t *fairTeam, it *FairItem) {
	t.price -= it.TokenCost
	q.price -= it.TokenCost
	q.length--
	if q.length == 0 {
		q.price = 0 // rounding errors don't add up
	}
}

// settle puts a team where its start and its waiting requests say.
func (q *FairQueue) settle(t *fairTeam) {
	switch {
	case t.index >= 0 && len(t.items) == 0:
		heap.Remove(&q.heads, t.index)
		t.price = 0
	case t.index >= 0:
		heap.Fix(&q.heads, t.index)
	}
}

type fairTeams []*fairTeam

func (h fairTeams) Len() int { return len(h) }
func (h fairTeams) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].name < h[j].name
}
func (h fairTeams) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *fairTeams) Push(x any) {
	t := x.(*fairTeam)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *fairTeams) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}

type fairItems []*FairItem

func (h fairItems) Len() int { return len(h) }
func (h fairItems) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority > h[j].Priority
	}
	return h[i].order < h[j].order
}
func (h fairItems) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *fairItems) Push(x any) {
	it := x.(*FairItem)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *fairItems) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.index = -1
	return it
}
