package route

import "container/heap"

// FairQueue orders waiting requests: between teams by weighted shares of cost
// (start-time fair queueing), strictly by priority within a team. A share that a
// team leaves idle goes to the others; an idle team gains no credit for later.
// It keeps state only for teams that wait or are ahead of their share.
type FairQueue struct {
	teams  map[string]*fairTeam
	heads  fairTeams // teams with waiting requests
	now    float64   // virtual time: start tag of the latest request taken
	length int
	price  float64
	order  uint64
}

type fairTeam struct {
	name   string
	start  float64 // virtual time at which its next request is due
	items  fairItems
	index  int     // in heads, -1 if nothing waits
	price  float64 // waiting
	weight float64
}

// FairItem is one waiting request. It belongs to the caller.
type FairItem struct {
	Team     string
	Weight   float64
	Priority int8
	Price    float64 // estimated cost in tokens
	Value    any

	order uint64
	index int // in its team, -1 if it does not wait
}

// NewFairQueue returns an empty queue.
func NewFairQueue() *FairQueue {
	return &FairQueue{teams: make(map[string]*fairTeam)}
}

// Len returns how many requests wait.
func (q *FairQueue) Len() int { return q.length }

// Price returns the cost of all waiting requests.
func (q *FairQueue) Price() float64 { return q.price }

// Push adds a request.
func (q *FairQueue) Push(it *FairItem) {
	t := q.team(it.Team)
	t.weight = max(1, it.Weight)
	q.order++
	it.order = q.order
	heap.Push(&t.items, it)
	t.price += it.Price
	q.price += it.Price
	q.length++
	if t.index < 0 {
		t.start = max(t.start, q.now)
		heap.Push(&q.heads, t)
	}
}

// Pop takes the next request, nil if none waits.
func (q *FairQueue) Pop() *FairItem {
	if len(q.heads) == 0 {
		return nil
	}
	t := q.heads[0]
	it := heap.Pop(&t.items).(*FairItem)
	q.took(t, it)
	q.now = max(q.now, t.start)
	t.start += it.Price / t.weight
	q.settle(t)
	return it
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
		t.start = max(t.start, q.now) + extra/max(1, weight)
		q.settle(t)
	}
}

// Ahead returns the cost that would be served before a new request of a team:
// its own waiting requests of at least this priority and, for each other team,
// the smaller of what it has waiting and what its weight entitles it to meanwhile.
func (q *FairQueue) Ahead(team string, weight float64, priority int8) float64 {
	own, due := 0.0, q.now
	if t := q.teams[team]; t != nil {
		due = max(due, t.start)
		for _, it := range t.items {
			if it.Priority >= priority {
				own += it.Price
			}
		}
	}
	due += own / max(1, weight)
	sum := own
	for _, t := range q.heads {
		if t.name != team && t.start < due {
			sum += min(t.price, (due-t.start)*t.weight)
		}
	}
	return sum
}

// Forget drops the state of teams that neither wait nor are ahead of their
// share. Call it now and then; its cost is the number of teams held.
func (q *FairQueue) Forget() {
	for name, t := range q.teams {
		if t.index < 0 && t.start <= q.now {
			delete(q.teams, name)
		}
	}
}

// Teams returns how many teams have state here.
func (q *FairQueue) Teams() int { return len(q.teams) }

func (q *FairQueue) team(name string) *fairTeam {
	t := q.teams[name]
	if t == nil {
		t = &fairTeam{name: name, start: q.now, index: -1}
		q.teams[name] = t
	}
	return t
}

func (q *FairQueue) took(t *fairTeam, it *FairItem) {
	t.price -= it.Price
	q.price -= it.Price
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
