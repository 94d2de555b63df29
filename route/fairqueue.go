package route

import (
	"container/heap"
	"time"
)

// FairQueue orders queued requests: between teams by weighted shares of cost
// (start-time fair queueing), and strictly by priority within a team. Other teams use
// the share that a team leaves idle; the idle team can regain at most fairCreditTokens
// of that share. State is kept only for teams that have queued requests or are ahead of
// their share. Times are durations since an arbitrary origin.
type FairQueue struct {
	teams       map[string]*teamQueue
	waiting     teamHeap // teams with queued requests
	virtualTime float64  // start tag of the latest request popped
	length      int
	queuedCost  float64
	lastOrder   uint64
}

// fairCreditTokens bounds how many tokens a team's received service may fall behind its
// share. Without this credit a team within its share would wait after each of its long
// answers as if it were over its share. With the credit a team that was idle goes first
// for at most this many tokens.
const fairCreditTokens = 4000.0

// teamQueue holds the queued requests and the share of one team.
type teamQueue struct {
	name       string
	startTag   float64 // virtual time at which the next request of the team is due to start
	items      itemHeap
	heapIndex  int     // index in FairQueue.waiting, -1 if the team has no queued requests
	queuedCost float64 // cost of the queued requests in tokens
	weight     float64

	windowStart time.Duration // start of the window in which servedCost is counted
	servedCost  float64
	costRate    float64 // tokens a second served while the team has queued requests; 0: unknown
}

// rateWindow is how long a team must have had queued requests before its rate counts.
const rateWindow = time.Second

// recordServed counts the cost of a request popped for a team, and updates the team's
// rate. WaitSeconds estimates with this measured rate, because the future requests of other
// teams are unknown.
func (t *teamQueue) recordServed(now time.Duration, cost float64) {
	t.servedCost += cost
	d := now - t.windowStart
	if d < rateWindow {
		return
	}
	rate := t.servedCost / d.Seconds()
	if t.costRate > 0 {
		rate = (rate + t.costRate) / 2
	}
	t.costRate, t.windowStart, t.servedCost = rate, now, 0
}

// FairItem is one queued request. The caller allocates and owns it.
type FairItem struct {
	Team      string
	Weight    float64
	Priority  int8
	TokenCost float64 // estimated cost in tokens
	Value     any

	order uint64
	index int // index in the heap of the team, -1 if the request is not queued
}

// NewFairQueue returns an empty queue.
func NewFairQueue() *FairQueue {
	return &FairQueue{teams: make(map[string]*teamQueue)}
}

// Len returns the number of queued requests.
func (q *FairQueue) Len() int { return q.length }

// QueuedCost returns the cost of all queued requests in tokens.
func (q *FairQueue) QueuedCost() float64 { return q.queuedCost }

// Push queues a request.
func (q *FairQueue) Push(now time.Duration, it *FairItem) {
	t := q.team(it.Team)
	t.weight = max(1, it.Weight)
	q.lastOrder++
	it.order = q.lastOrder
	heap.Push(&t.items, it)
	t.queuedCost += it.TokenCost
	q.queuedCost += it.TokenCost
	q.length++
	if t.heapIndex < 0 {
		t.startTag = max(t.startTag, q.earliestStartTag(t.weight))
		t.windowStart, t.servedCost, t.costRate = now, 0, 0
		heap.Push(&q.waiting, t)
	}
}

// earliestStartTag returns the start tag of a team that has been idle: fairCreditTokens
// behind the virtual time.
func (q *FairQueue) earliestStartTag(weight float64) float64 {
	return q.virtualTime - fairCreditTokens/max(1, weight)
}

// Pop removes and returns the next request, nil if the queue is empty.
func (q *FairQueue) Pop(now time.Duration) *FairItem {
	if len(q.waiting) == 0 {
		return nil
	}
	t := q.waiting[0]
	it := heap.Pop(&t.items).(*FairItem)
	q.countRemoved(t, it)
	t.recordServed(now, it.TokenCost)
	q.virtualTime = max(q.virtualTime, t.startTag)
	t.startTag += it.TokenCost / t.weight
	q.updateHeap(t)
	return it
}

// HeadIsUnderserved reports whether the next request belongs to a team that has received
// less than its share, while another team that has or had queued requests received more.
func (q *FairQueue) HeadIsUnderserved() bool {
	return len(q.waiting) > 0 && q.waiting[0].startTag < q.virtualTime
}

// WouldBeNext reports whether a new request of a team would be the next one and could use
// the capacity that is reserved for underserved teams.
func (q *FairQueue) WouldBeNext(team string, weight float64) bool {
	if q.length == 0 {
		return true
	}
	t := q.teams[team]
	return (t == nil || t.heapIndex < 0) && q.IsUnderserved(team, weight) && q.startTagOf(team, weight) < q.waiting[0].startTag
}

// IsUnderserved reports whether a team has received less than its share.
func (q *FairQueue) IsUnderserved(team string, weight float64) bool {
	return q.startTagOf(team, weight) < q.virtualTime
}

// startTagOf returns the start tag of a team's next request.
func (q *FairQueue) startTagOf(team string, weight float64) float64 {
	startTag := q.earliestStartTag(weight)
	if t := q.teams[team]; t != nil {
		startTag = max(startTag, t.startTag)
	}
	return startTag
}

// Remove removes a queued request. It returns false if the request is not queued.
func (q *FairQueue) Remove(it *FairItem) bool {
	t := q.teams[it.Team]
	if t == nil || it.index < 0 || it.index >= len(t.items) || t.items[it.index] != it {
		return false
	}
	heap.Remove(&t.items, it.index)
	q.countRemoved(t, it)
	q.updateHeap(t)
	return true
}

// Charge corrects the cost that is counted for a team once the true cost of a request
// is known. extra is the true cost minus the estimated cost in tokens and may be
// negative.
func (q *FairQueue) Charge(team string, weight, extra float64) {
	if t := q.teams[team]; t != nil || extra > 0 {
		t = q.team(team)
		t.startTag = max(t.startTag, q.earliestStartTag(weight)) + extra/max(1, weight)
		q.updateHeap(t)
	}
}

// WaitSeconds estimates how many seconds a new request of a team would be queued, if the
// target serves speed tokens a second. If the team's rate is known, the estimate uses that
// rate. Otherwise the request waits for the queued requests of its own team and, for each
// other team, for the smaller of the other team's queued cost and the cost that its weight
// entitles it to in that time.
func (q *FairQueue) WaitSeconds(team string, weight float64, priority int8, speed float64) float64 {
	ownCost, startTag := 0.0, q.earliestStartTag(weight)
	if t := q.teams[team]; t != nil {
		startTag = max(startTag, t.startTag)
		ownCost = t.costAhead(priority)
		if t.heapIndex >= 0 && t.costRate > 0 {
			return ownCost / min(t.costRate, speed)
		}
	}
	startTag += ownCost / max(1, weight)
	sum := ownCost
	for _, t := range q.waiting {
		if t.name != team && t.startTag < startTag {
			sum += min(t.queuedCost, (startTag-t.startTag)*t.weight)
		}
	}
	return sum / speed
}

// costAhead returns the cost of the team's queued requests that have at least the given
// priority.
func (t *teamQueue) costAhead(priority int8) float64 {
	sum := 0.0
	for _, it := range t.items {
		if it.Priority >= priority {
			sum += it.TokenCost
		}
	}
	return sum
}

// EvictIdleTeams drops the state of teams that have no queued requests and are not ahead
// of their share. Call it periodically; it visits all teams with state.
func (q *FairQueue) EvictIdleTeams() {
	for name, t := range q.teams {
		if t.heapIndex < 0 && t.startTag <= q.earliestStartTag(t.weight) {
			delete(q.teams, name)
		}
	}
}

// TeamCount returns the number of teams with state.
func (q *FairQueue) TeamCount() int { return len(q.teams) }

func (q *FairQueue) team(name string) *teamQueue {
	t := q.teams[name]
	if t == nil {
		t = &teamQueue{name: name, startTag: q.virtualTime - fairCreditTokens, heapIndex: -1}
		q.teams[name] = t
	}
	return t
}

// countRemoved updates the totals for a request that left the queue.
func (q *FairQueue) countRemoved(t *teamQueue, it *FairItem) {
	t.queuedCost -= it.TokenCost
	q.queuedCost -= it.TokenCost
	q.length--
	if q.length == 0 {
		q.queuedCost = 0 // so that rounding errors don't accumulate
	}
}

// updateHeap restores the position of a team in the heap after its start tag or its queued
// requests have changed.
func (q *FairQueue) updateHeap(t *teamQueue) {
	switch {
	case t.heapIndex >= 0 && len(t.items) == 0:
		heap.Remove(&q.waiting, t.heapIndex)
		t.queuedCost = 0
	case t.heapIndex >= 0:
		heap.Fix(&q.waiting, t.heapIndex)
	}
}

type teamHeap []*teamQueue

func (h teamHeap) Len() int { return len(h) }
func (h teamHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].name < h[j].name
}
func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) {
	t := x.(*teamQueue)
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.heapIndex = -1
	return t
}

type itemHeap []*FairItem

func (h itemHeap) Len() int { return len(h) }
func (h itemHeap) Less(i, j int) bool {
	if h[i].Priority != h[j].Priority {
		return h[i].Priority > h[j].Priority
	}
	return h[i].order < h[j].order
}
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*FairItem)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.index = -1
	return it
}
