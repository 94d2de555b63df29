package group

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/serving"
)

// Policy is a placement policy.
type Policy string

// Placement policies. All except PolicyOracle know the requests of other entries only from the
// latest load report.
const (
	PolicyRandom      Policy = "random"
	PolicyLeast       Policy = "least outstanding" // without limit and queue
	PolicyHeatherrail Policy = "heatherrail"
	PolicyOracle      Policy = "oracle" // heatherrail as a single entry with the current load of each rank
)

// Policies are the policies that are compared.
var Policies = []Policy{PolicyRandom, PolicyLeast, PolicyHeatherrail, PolicyOracle}

// Intervals of load reports and load queries, and the split of the first-event timeout.
const (
	reportInterval = 100 * time.Millisecond // between load reports of the leader
	pollInterval   = 184 * time.Millisecond // between load queries of an entry; the value for 46 entries, used for all shapes
	// firstEventShare is the share of the first-event timeout that is reserved for the
	// engine; the rest is the maximum time in the queue.
	firstEventShare = 0.25
)

// entry places requests on the ranks of the group.
type entry struct {
	sim            *simulation
	tracker        *placing.Tracker
	queue          placing.AdmissionQueue
	queued         []queuedJob         // in order of arrival
	reportedCounts placing.QueueCounts // queue counts that the entry sent with its latest load query
}

// queuedJob is a request in the admission queue.
type queuedJob struct {
	waiter *placing.Waiter
	job    *job
}

func newEntry(sim *simulation, n int) *entry {
	return &entry{sim: sim, tracker: placing.NewTracker(fmt.Sprint(n), fmt.Sprint(n%3), rand.New(rand.NewPCG(sim.seed, uint64(n))))}
}

// targetPool returns the pool of all targets of the group.
func (e *entry) targetPool() placing.TargetPool {
	return placing.TargetPool{Service: &e.sim.service, EventGapObjective: e.sim.shape.EventGapObjective, Targets: e.sim.targets, EntryCount: len(e.sim.entries)}
}

// place dispatches a request at once, or adds it to the admission queue if the policy uses
// one.
func (e *entry) place(j *job) {
	now := e.sim.clock.now
	size := placing.Size{PromptTokens: j.prompt, OutputTokens: j.decodeLeft}
	switch e.sim.policy {
	case PolicyRandom:
		e.dispatch(e.sim.targets[e.sim.rng.IntN(len(e.sim.targets))], j, size, true)
		return
	case PolicyLeast:
		e.dispatch(e.tracker.Place(e.sim.targets, func(*serving.Target) bool { return false }, now), j, size, true)
		return
	}
	r := &j.request
	*r = placing.Request{
		Arrived:          now,
		LatencyObjective: e.sim.shape.LatencyObjective,
		MaxWait:          time.Duration(float64(e.sim.shape.FirstEventTimeout) * (1 - firstEventShare)),
		Size:             size,
	}
	waiter, _, ok := e.queue.Enqueue(r, now)
	if !ok {
		j.finish(rejected, now)
		return
	}
	e.queued = append(e.queued, queuedJob{waiter: waiter, job: j})
	e.sim.clock.after(r.MaxWait, func() {
		if e.queue.Remove(waiter) {
			e.queued = slices.DeleteFunc(e.queued, func(o queuedJob) bool { return o.job == j })
			j.finish(rejectedAfterWait, e.sim.clock.now)
		}
	})
	e.admitWaiting()
}

// usesQueue reports whether the policy has an admission queue.
func (e *entry) usesQueue() bool {
	return e.sim.policy == PolicyHeatherrail || e.sim.policy == PolicyOracle
}

// admitWaiting dispatches the requests that the admission queue admits now.
func (e *entry) admitWaiting() {
	if e.sim.pattern.Outage.contains(e.sim.clock.now.Sub(e.sim.group.startedAt)) {
		return
	}
	placing.Admit(&e.queue, e.tracker, e.targetPool(), e.sim.clock.now)
	var remaining []queuedJob
	var targets []*serving.Target
	var jobs []*job
	for _, q := range e.queued {
		select {
		case t := <-q.waiter.Granted():
			targets, jobs = append(targets, t), append(jobs, q.job)
		default:
			remaining = append(remaining, q)
		}
	}
	e.queued = remaining
	for i, j := range jobs {
		e.dispatch(targets[i], j, placing.Size{PromptTokens: j.prompt}, false)
	}
}

// dispatch sends a request to a target. If startAttempt is true, dispatch also counts the attempt in
// the tracker. For requests from the admission queue, the tracker has already counted it.
func (e *entry) dispatch(t *serving.Target, j *job, size placing.Size, startAttempt bool) {
	if startAttempt {
		e.tracker.StartAttempt(t, size)
	}
	state := e.tracker.TargetState(t)
	ended := false
	j.onEnd = func() {
		if ended {
			return
		}
		ended = true
		e.tracker.RecordResponseStart(state, size)
		e.tracker.EndAttempt(state, &j.request, e.sim.clock.now)
		if e.usesQueue() {
			e.admitWaiting()
		}
	}
	e.sim.group.enqueue(e.sim.rankOf[t.ID], j)
}

// applyReport simulates one load query of the entry. The query sends the queue counts of the entry to
// the leader. The answer is the latest load report, and the tracker applies it.
func (e *entry) applyReport() {
	e.reportedCounts = e.queue.QueueCounts(e.sim.clock.now)
	if e.sim.lastReport.state.ReportedAt.IsZero() {
		return
	}
	e.tracker.ApplyLoadReport(e.sim.service.Name, e.sim.targets, e.sim.lastReport.loads, e.sim.lastReport.state)
	if e.usesQueue() {
		e.admitWaiting()
	}
}
