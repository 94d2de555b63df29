package agent

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/platform"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/settings"
	"github.com/heatherrail/heatherrail/wire"
)

// backendQueue is the target queue before the backend. It implements outside.Backend,
// so every request passes through it and its counts are exact.
type backendQueue struct {
	backend    outside.Backend
	start      time.Time
	onRejected func(entry string) // called with the name of the entry whose request was rejected
	ignoreRest bool               // tests only: send requests to a resting backend

	mu        sync.Mutex
	admission *route.TargetQueue
	restUntil time.Time // end of the rest that the backend has asked for
}

func newBackendQueue(b outside.Backend, s settings.Agent, onRejected func(entry string)) *backendQueue {
	slots := s.Slots
	if slots == 0 {
		slots = s.Queue
	}
	return &backendQueue{backend: b, start: time.Now(), onRejected: onRejected, admission: route.NewTargetQueue(slots, s.Queue)}
}

// queueSlot is one request's place in the queue and on the backend.
type queueSlot struct {
	queue *backendQueue
	job   route.Job
	ready chan struct{} // closed when the request may run
	once  sync.Once
}

// Run implements outside.Backend. A request that the queue rejects was not sent to the
// backend.
func (q *backendQueue) Run(ctx context.Context, call *outside.Call) (*outside.Reply, error) {
	slot, err := q.acquire(ctx, &call.Sched)
	if err != nil {
		return nil, &outside.SendError{MayHaveRun: false, Err: err}
	}
	if err := q.checkRest(time.Now()); err != nil {
		slot.finish(false)
		return nil, &outside.SendError{MayHaveRun: false, Err: err}
	}
	reply, err := q.backend.Run(ctx, call)
	if err != nil {
		slot.finish(false)
		return nil, err
	}
	q.recordRest(reply, time.Now())
	reply.Body = &countedBody{ReadCloser: reply.Body, slot: slot}
	return reply, nil
}

// checkRest returns the error for a request while the backend rests.
func (q *backendQueue) checkRest(now time.Time) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	rest := q.restUntil.Sub(now)
	if rest <= 0 || q.ignoreRest {
		return nil
	}
	err := result.New(result.TargetBusy, "the target has asked for rest, %s are left", rest.Round(time.Millisecond))
	err.RetryAfter = rest
	return err
}

// recordRest records that the backend asks for rest.
func (q *backendQueue) recordRest(reply *outside.Reply, now time.Time) {
	rest := platform.DecodeRest(reply.Status, []byte(outside.Header(reply.Headers, fasthttp.HeaderRetryAfter)))
	if rest == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if until := now.Add(rest); until.After(q.restUntil) {
		q.restUntil = until
	}
}

// endRest forgets the rest of a backend that has ended.
func (q *backendQueue) endRest() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.restUntil = time.Time{}
}

func (q *backendQueue) now() time.Duration { return time.Since(q.start) }

// acquire waits until the request may run.
func (q *backendQueue) acquire(ctx context.Context, s *outside.Sched) (*queueSlot, error) {
	slot := &queueSlot{queue: q, ready: make(chan struct{})}
	slot.job = route.Job{
		Cost: route.Cost{Prompt: float64(s.Prompt), Decode: float64(s.Decode)},
		Peer: s.Entry,
	}
	slot.job.Team, slot.job.Weight, slot.job.Priority = s.Team, float64(s.Weight), s.Priority
	slot.job.UserData = slot
	bounds := route.AdmissionBounds{MaxWait: s.MaxWait}
	if deadline, ok := ctx.Deadline(); ok {
		bounds.TimeLeft = time.Until(deadline)
	}
	q.mu.Lock()
	outcome, wait := q.admission.Offer(q.now(), &slot.job, bounds)
	q.startAdmitted()
	q.mu.Unlock()
	if outcome != route.Admitted {
		q.onRejected(s.Entry)
		return nil, rejectionError(outcome, wait, bounds)
	}
	select {
	case <-slot.ready:
		if slot.job.Expired {
			return nil, result.New(result.DeadlineUnmet, "deadline can no longer be met")
		}
		return slot, nil
	case <-ctx.Done():
	}
	q.mu.Lock()
	waited := q.admission.Remove(&slot.job)
	q.mu.Unlock()
	if !waited && !slot.job.Expired {
		slot.finish(false) // the request was admitted just before the cancellation: free its slot
	}
	if context.Cause(ctx) != nil && result.From(context.Cause(ctx)).Code == result.DeadlinePast {
		return nil, result.New(result.DeadlineUnmet, "deadline passed in the queue of the target")
	}
	return nil, context.Cause(ctx)
}

func rejectionError(outcome route.Admission, wait time.Duration, o route.AdmissionBounds) error {
	switch outcome {
	case route.RejectedWait:
		err := result.New(result.WaitTooLong, "expected wait %s, limit %s", wait.Round(time.Millisecond), o.MaxWait)
		err.RetryAfter = wait
		return err
	case route.RejectedDeadline:
		err := result.New(result.DeadlineUnmet, "expected wait %s, deadline in %s", wait.Round(time.Millisecond), o.TimeLeft.Round(time.Millisecond))
		err.RetryAfter = wait
		return err
	default:
		err := result.New(result.TargetBusy, "queue is full, expected wait %s", wait.Round(time.Millisecond))
		err.RetryAfter = wait
		return err
	}
}

// startAdmitted lets waiting requests run while there are free slots; mu is held.
func (q *backendQueue) startAdmitted() {
	for j := q.admission.Next(q.now()); j != nil; j = q.admission.Next(q.now()) {
		close(j.UserData.(*queueSlot).ready)
	}
}

// loadReport returns the load as reported to one entry.
func (q *backendQueue) loadReport(entry string) route.LoadReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admission.LoadReport(entry)
}

func (s *queueSlot) recordTokens(piece []byte) {
	n, streamed := route.EstimateTokens(piece)
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	s.queue.admission.RecordTokens(s.queue.now(), &s.job, float64(n), streamed)
}

func (s *queueSlot) finish(complete bool) {
	s.once.Do(func() {
		s.queue.mu.Lock()
		defer s.queue.mu.Unlock()
		s.queue.admission.Finish(s.queue.now(), &s.job, complete)
		s.queue.startAdmitted()
	})
}

// countedBody counts the tokens of an answer as it is read.
type countedBody struct {
	io.ReadCloser
	slot     *queueSlot
	complete bool
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.slot.recordTokens(p[:n])
	}
	if err == io.EOF {
		b.complete = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	err := b.ReadCloser.Close()
	b.slot.finish(b.complete)
	return err
}

func backendSched(req *wire.Request) outside.Sched {
	return outside.Sched{
		Entry:    req.Sched.Entry,
		Team:     req.Team,
		Weight:   req.Sched.Weight,
		Priority: req.Priority,
		Prompt:   req.Sched.Prompt,
		Decode:   req.Sched.Decode,
		MaxWait:  time.Duration(req.Sched.MaxWaitMs) * time.Millisecond,
	}
}
