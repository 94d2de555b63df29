package group

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/serving"
)

// Policy is a way to place requests.
type Policy string

// Policies. All but PolicyOracle know of other entries' requests only what was
// reported last.
const (
	PolicyRandom Policy = "random"
	PolicyLeast  Policy = "least outstanding" // no limit and no waiting
	PolicyOurs   Policy = "heatherrail"
	PolicyOracle Policy = "oracle" // heatherrail as one entry that knows all loads as they are
)

// Policies that are compared.
var Policies = []Policy{PolicyRandom, PolicyLeast, PolicyOurs, PolicyOracle}

// Times of what entries do.
const (
	reportEvery = 100 * time.Millisecond // the leader's rounds
	pollEvery   = 184 * time.Millisecond // entries' questions, with 46 of them
	// firstEventShare of a caller's patience is kept for the engine's work.
	firstEventShare = 0.25
)

// entry sends requests.
type entry struct {
	w       *world
	book    *placing.Tracker
	gate    placing.AdmissionQueue
	waiting []waiting           // in the order of arrival
	told    placing.QueueCounts // at the latest question
}

// waiting is a request at the gate.
type waiting struct {
	at  *placing.Waiter
	job *job
}

func newEntry(w *world, n int) *entry {
	return &entry{w: w, book: placing.NewTracker(fmt.Sprint(n), fmt.Sprint(n%3), rand.New(rand.NewPCG(w.seed, uint64(n))))}
}

func (e *entry) lane() placing.TargetPool {
	return placing.TargetPool{Service: &e.w.service, EventGapObjective: e.w.shape.GapAim, Targets: e.w.targets, Entries: len(e.w.entries)}
}

// take places a request, or lets it wait.
func (e *entry) take(j *job) {
	now := e.w.clock.now
	size := placing.Size{PromptTokens: j.prompt, OutputTokens: j.write}
	switch e.w.policy {
	case PolicyRandom:
		e.send(e.w.targets[e.w.rng.IntN(len(e.w.targets))], j, size, true)
		return
	case PolicyLeast:
		e.send(e.book.Place(e.w.targets, func(*serving.Target) bool { return false }, now), j, size, true)
		return
	}
	r := &j.request
	*r = placing.Request{
		Arrived:          now,
		LatencyObjective: e.w.shape.Aim,
		MaxWait:          time.Duration(float64(e.w.shape.Patience) * (1 - firstEventShare)),
		Size:             size,
	}
	waiter, _, ok := e.gate.Enqueue(r, now)
	if !ok {
		j.end(refused, now)
		return
	}
	e.waiting = append(e.waiting, waiting{at: waiter, job: j})
	e.w.clock.after(r.MaxWait, func() {
		if e.gate.Remove(waiter) {
			e.waiting = slices.DeleteFunc(e.waiting, func(o waiting) bool { return o.job == j })
			j.end(refusedLate, e.w.clock.now)
		}
	})
	e.letGo()
}

// gated tells whether requests wait at the gate.
func (e *entry) gated() bool { return e.w.policy == PolicyOurs || e.w.policy == PolicyOracle }

// letGo sends what the gate lets go.
func (e *entry) letGo() {
	if e.w.pattern.Outage.has(e.w.clock.now.Sub(e.w.engines.begun)) {
		return
	}
	placing.Admit(&e.gate, e.book, e.lane(), e.w.clock.now)
	var still []waiting
	var targets []*serving.Target
	var jobs []*job
	for _, o := range e.waiting {
		select {
		case t := <-o.at.Granted():
			targets, jobs = append(targets, t), append(jobs, o.job)
		default:
			still = append(still, o)
		}
	}
	e.waiting = still
	for i, j := range jobs {
		e.send(targets[i], j, placing.Size{PromptTokens: j.prompt}, false)
	}
}

// send sends a request to a target.
func (e *entry) send(t *serving.Target, j *job, size placing.Size, begin bool) {
	if begin {
		e.book.StartAttempt(t, size)
	}
	account := e.book.TargetState(t)
	over := false
	j.left = func() {
		if over {
			return
		}
		over = true
		e.book.RecordResponseStart(account, size)
		e.book.EndAttempt(account, &j.request, e.w.clock.now)
		if e.gated() {
			e.letGo()
		}
	}
	e.w.engines.add(e.w.rankOf[t.ID], j)
}

// poll takes the latest report.
func (e *entry) poll() {
	e.told = e.gate.QueueCounts(e.w.clock.now)
	if e.w.reported.state.ReportedAt.IsZero() {
		return
	}
	e.book.ApplyLoadReport(e.w.service.Name, e.w.targets, e.w.reported.loads, e.w.reported.state)
	if e.gated() {
		e.letGo()
	}
}
