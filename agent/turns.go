package agent

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/settings"
	"github.com/heatherrail/heatherrail/wire"
)

// turns is the queue before the backend. As a outside.Backend it stands where
// every request passes, so what it counts is exact.
type turns struct {
	backend outside.Backend
	start   time.Time
	refused func(entry string) // the entry's picture of this target is wrong

	mu   sync.Mutex
	gate *route.AdmissionQueue
}

func newTurns(b outside.Backend, s settings.Agent, refused func(entry string)) *turns {
	slots := s.Slots
	if slots == 0 {
		slots = s.Queue
	}
	return &turns{backend: b, start: time.Now(), refused: refused, gate: route.NewAdmissionQueue(slots, s.Queue)}
}

// turn is one request's place.
type turn struct {
	turns *turns
	job   route.Job
	ready chan struct{} // closed when it may run
	once  sync.Once
}

// Run implements outside.Backend. What it refuses itself was not sent.
func (t *turns) Run(ctx context.Context, call *outside.Call) (*outside.Reply, error) {
	turn, err := t.take(ctx, &call.Sched)
	if err != nil {
		return nil, &outside.SendError{MayHaveRun: false, Err: err}
	}
	reply, err := t.backend.Run(ctx, call)
	if err != nil {
		turn.end(false)
		return nil, err
	}
	reply.Body = &countedBody{ReadCloser: reply.Body, turn: turn}
	return reply, nil
}

func (t *turns) now() time.Duration { return time.Since(t.start) }

// take waits for the request's turn.
func (t *turns) take(ctx context.Context, s *outside.Sched) (*turn, error) {
	turn := &turn{turns: t, ready: make(chan struct{})}
	turn.job = route.Job{
		Cost: route.Cost{Prompt: float64(s.Prompt), Decode: float64(s.Decode)},
		Peer: s.Entry,
	}
	turn.job.Team, turn.job.Weight, turn.job.Priority = s.Team, float64(s.Weight), s.Priority
	turn.job.UserData = turn
	offer := route.AdmissionBounds{MaxWait: s.MaxWait}
	if deadline, ok := ctx.Deadline(); ok {
		offer.TimeLeft = time.Until(deadline)
	}
	t.mu.Lock()
	said, wait := t.gate.Offer(t.now(), &turn.job, offer)
	t.pull()
	t.mu.Unlock()
	if said != route.Admitted {
		t.refused(s.Entry)
		return nil, refusal(said, wait, offer)
	}
	select {
	case <-turn.ready:
		if turn.job.Expired {
			return nil, result.New(result.DeadlineUnmet, "the deadline can't be met any more")
		}
		return turn, nil
	case <-ctx.Done():
	}
	t.mu.Lock()
	waited := t.gate.Remove(&turn.job)
	t.mu.Unlock()
	if !waited && !turn.job.Expired {
		turn.end(false) // it began just now
	}
	if context.Cause(ctx) != nil && result.From(context.Cause(ctx)).Code == result.DeadlinePast {
		return nil, result.New(result.DeadlineUnmet, "the deadline passed in the target's queue")
	}
	return nil, context.Cause(ctx)
}

func refusal(said route.Admission, wait time.Duration, o route.AdmissionBounds) error {
	switch said {
	case route.RejectedWait:
		err := result.New(result.WaitTooLong, "wait of %s, up to %s is taken", wait.Round(time.Millisecond), o.MaxWait)
		err.RetryAfter = wait
		return err
	case route.RejectedDeadline:
		err := result.New(result.DeadlineUnmet, "wait of %s, deadline in %s", wait.Round(time.Millisecond), o.TimeLeft.Round(time.Millisecond))
		err.RetryAfter = wait
		return err
	default:
		err := result.New(result.TargetBusy, "the queue is full, wait of %s", wait.Round(time.Millisecond))
		err.RetryAfter = wait
		return err
	}
}

// pull lets waiting requests run while there are free slots. Called with mu.
func (t *turns) pull() {
	for j := t.gate.Next(t.now()); j != nil; j = t.gate.Next(t.now()) {
		close(j.UserData.(*turn).ready)
	}
}

// account returns the load as told to one entry.
func (t *turns) account(entry string) route.LoadReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gate.LoadReport(entry)
}

func (t *turn) tokens(piece []byte) {
	n, streamed := route.EstimateTokens(piece)
	t.turns.mu.Lock()
	defer t.turns.mu.Unlock()
	t.turns.gate.RecordTokens(t.turns.now(), &t.job, float64(n), streamed)
}

func (t *turn) end(whole bool) {
	t.once.Do(func() {
		t.turns.mu.Lock()
		defer t.turns.mu.Unlock()
		t.turns.gate.Finish(t.turns.now(), &t.job, whole)
		t.turns.pull()
	})
}

// countedBody counts the tokens of an answer as they pass.
type countedBody struct {
	io.ReadCloser
	turn  *turn
	whole bool
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.turn.tokens(p[:n])
	}
	if err == io.EOF {
		b.whole = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	err := b.ReadCloser.Close()
	b.turn.end(b.whole)
	return err
}

func sched(req *wire.Request) outside.Sched {
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
