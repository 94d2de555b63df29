package group

import (
	"container/heap"
	"time"
)

// clock runs timers in the order of virtual time.
type clock struct {
	now          time.Time
	queue        timerQueue
	lastSequence int
}

// timer is a function to run at an instant.
type timer struct {
	at       time.Time
	sequence int // order among timers that are due at the same instant
	run      func()
}

type timerQueue []timer

// Len implements heap.Interface.
func (q timerQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q timerQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}

// Swap implements heap.Interface.
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// after schedules f to run when d of virtual time has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.lastSequence++
	heap.Push(&c.queue, timer{at: c.now.Add(d), sequence: c.lastSequence, run: f})
}

// runUntil runs all timers due before end, and advances the clock to end.
func (c *clock) runUntil(end time.Time) {
	for len(c.queue) > 0 && c.queue[0].at.Before(end) {
		next := heap.Pop(&c.queue).(timer)
		c.now = next.at
		next.run()
	}
	c.now = end
}
