package group

import (
	"container/heap"
	"time"
)

// clock runs what is due in the order of virtual time.
type clock struct {
	now   time.Time
	queue dueQueue
	n     int
}

type due struct {
	at  time.Time
	n   int // order among those of one instant
	run func()
}

type dueQueue []due

// Len implements heap.Interface.
func (q dueQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q dueQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].n < q[j].n
	}
	return q[i].at.Before(q[j].at)
}

// Swap implements heap.Interface.
func (q dueQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *dueQueue) Push(x any) { *q = append(*q, x.(due)) }

// Pop implements heap.Interface.
func (q *dueQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// after runs f once some time has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.n++
	heap.Push(&c.queue, due{at: c.now.Add(d), n: c.n, run: f})
}

// runUntil runs all that is due before an instant.
func (c *clock) runUntil(end time.Time) {
	for len(c.queue) > 0 && c.queue[0].at.Before(end) {
		next := heap.Pop(&c.queue).(due)
		c.now = next.at
		next.run()
	}
	c.now = end
}
