package entry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/wire"
)

// maxTries bounds the tries of one request; the retry budget comes on top. The
// entry is the only layer that retries.
const maxTries = 4

// tries is one call on its way through targets.
type tries struct {
	entry       *Entry
	snap        *config.Snapshot
	call        *Call
	policy      *config.Policy
	fingerprint uint64
	homeKey     string
	avoid       map[string]bool
	failures    int
	denied      bool  // by the retry budget
	doubt       error // of the last try that may have run
}

// attempt is a try whose answer has begun.
type attempt struct {
	target string
	stream *wire.Stream
	answer wire.Answer
}

func newTries(e *Entry, snap *config.Snapshot, c *Call, policy *config.Policy) *tries {
	return &tries{
		entry:       e,
		snap:        snap,
		call:        c,
		policy:      policy,
		fingerprint: route.Fingerprint(c.Team, c.Service, c.Body),
		homeKey:     route.DedupKey(c.Team, c.Service, c.Key),
		avoid:       make(map[string]bool),
	}
}

// next tries targets until an answer begins. The error is final.
func (t *tries) next(ctx context.Context, body []byte) (*attempt, error) {
	for {
		a, target, err := t.once(ctx, body)
		if err == nil {
			return a, nil
		}
		t.failed(target, err)
		if !t.again(ctx, target, err) {
			return nil, t.final(err)
		}
	}
}

// once makes one try. target is empty if none was chosen.
func (t *tries) once(ctx context.Context, body []byte) (a *attempt, target string, err error) {
	if ctx.Err() != nil {
		return nil, "", t.unsent(ctx)
	}
	verdict, left := t.entry.out.judge(t.fingerprint)
	if verdict == route.QuarantineReject {
		refusal := result.New(result.CrashSuspect, "it crashed targets and is refused for %s", left.Round(time.Second))
		refusal.RetryAfter = left
		return nil, "", refusal
	}
	t.refresh()
	target, err = t.target(verdict == route.QuarantineRunAlone)
	if err != nil {
		return nil, "", err
	}
	a, err = t.send(ctx, target, body, verdict == route.QuarantineRunAlone)
	return a, target, err
}

// unsent is the result of a request that ended before this try was sent.
func (t *tries) unsent(ctx context.Context) error {
	err := result.From(context.Cause(ctx))
	if t.failures == 0 && err.Code == result.DeadlinePast {
		return result.New(result.DeadlineUnmet, "the deadline passed before the request was sent")
	}
	return err
}

// refresh takes the newest version for a request that must not run twice: its
// home under an older one may not be used any more. Nothing has run under the
// older one, or the book says so.
func (t *tries) refresh() {
	if now := t.entry.current.Load(); !t.call.Repeatable && now != nil && now.Service(t.call.Service) != nil {
		t.snap = now
	}
}

func (t *tries) target(suspect bool) (string, error) {
	e, c := t.entry, t.call
	switch {
	case !c.Repeatable && !e.opts.Off.Home:
		return home(t.homeKey, t.snap.Targets(t.snap.Service(c.Service).Fleet))
	case suspect:
		return e.isolation(t.snap, c, t.avoid)
	}
	return e.choose(t.snap, c, t.avoid)
}

// send sends the call to one target and waits for the start of its answer.
func (t *tries) send(ctx context.Context, target string, body []byte, suspect bool) (*attempt, error) {
	e, c := t.entry, t.call
	l := e.link(target)
	if l == nil {
		return nil, result.New(result.Unreachable, "no link to %s", target)
	}
	if !c.Repeatable && !e.awaitRegistered(ctx) {
		return nil, result.New(result.EntryUnregistered, "entry %s is not on the log yet", e.opts.Settings.Name)
	}
	req := t.request(body, suspect)
	req.AttachOnly = !c.Repeatable && l.leaving()
	booked := place{target: target}
	s, err := l.open(req, func(incarnation uint64) error {
		booked.incarnation = incarnation
		return t.record(booked)
	})
	if err != nil {
		return nil, t.unrecord(booked, err)
	}
	a := &attempt{target: target, stream: s}
	if err := a.awaitAnswer(ctx); err != nil {
		s.Close()
		return nil, t.unrecord(booked, err)
	}
	return a, nil
}

func (t *tries) request(body []byte, suspect bool) *wire.Request {
	c := t.call
	left := time.Until(c.Deadline)
	if t.entry.opts.Off.Deadline {
		left = time.Hour
	}
	return &wire.Request{
		ID:            c.ID,
		Team:          c.Team,
		Service:       c.Service,
		Method:        c.Method,
		Path:          c.Path,
		Headers:       c.Headers,
		Body:          body,
		Key:           c.Key,
		Repeatable:    c.Repeatable,
		Priority:      c.Priority,
		DeadlineMs:    left.Milliseconds(),
		ConfigVersion: t.snap.Version,
		Suspect:       suspect,
		Sched:         c.sched.wire(),
		Fingerprint:   t.fingerprint,
		DedupMs:       t.policy.DedupWindow.Milliseconds(),
		DedupKeys:     t.policy.DedupKeys,
	}
}

func (t *tries) record(p place) error {
	if t.call.Repeatable {
		return nil
	}
	now := time.Now()
	until := now.Add(t.policy.DedupWindow + bookSlack)
	fleet := t.snap.Service(t.call.Service).Fleet
	return t.entry.out.book.record(t.homeKey, fleet, p, t.snap.Version, until, now)
}

// unrecord takes a booked try back if it certainly did not run.
func (t *tries) unrecord(p place, err error) error {
	r := result.From(err)
	if !t.call.Repeatable && p.incarnation != 0 && r.Run() == result.RunNot && r.Code != result.KeyReused {
		t.entry.out.book.erase(t.homeKey, p)
	}
	return err
}

// awaitAnswer waits for the first message of the stream.
func (a *attempt) awaitAnswer(ctx context.Context) error {
	ev, err := a.stream.Recv(ctx)
	switch {
	case errors.Is(err, io.EOF):
		return result.New(result.AnswerBroken, "%s ended the stream without an answer", a.target)
	case err != nil:
		return err
	case ev.Message != wire.MessageAnswer:
		return result.New(result.WireMalformed, "%s sent no answer first", a.target)
	}
	if _, err := a.answer.UnmarshalMsg(ev.Data); err != nil {
		return result.New(result.WireMalformed, "answer: %w", err)
	}
	return nil
}

// failed books a failed try in what the entry remembers.
func (t *tries) failed(target string, err error) {
	t.call.sched.refused(target, err)
	t.failures++
	if result.From(err).Run() == result.RunMaybe {
		t.doubt = err
	}
	if target != "" {
		t.entry.out.ended(target, err)
	}
}

// succeeded books a whole answer.
func (t *tries) succeeded(target string) {
	t.entry.out.ended(target, nil)
	t.entry.out.clear(t.fingerprint)
}

// again tells whether a failed request is tried once more, after its backoff.
func (t *tries) again(ctx context.Context, target string, err error) bool {
	code := result.From(err).Code
	rule := route.RetryRuleFor(code, t.call.Repeatable)
	if rule == route.RetryNever || t.failures >= maxTries || ctx.Err() != nil {
		return false
	}
	if rule == route.RetryBudgeted && !t.entry.out.takeRetry(t.call.Service) {
		t.denied = true
		t.entry.opts.Metrics.Count("retries_denied_total", 1)
		return false
	}
	t.entry.opts.Metrics.Retry(code)
	if target != "" {
		t.avoid[target] = true
	}
	if rule == route.RetryFree {
		return true
	}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	select {
	case <-time.After(route.Backoff(t.failures-1, rng)):
		return true
	case <-ctx.Done():
		return false
	}
}

// final turns the last failure into the caller's result. "Not run" is said only
// if no try of the request may have run, nor any of its key through this entry.
func (t *tries) final(err error) error {
	r := result.From(err)
	if r.Run() != result.RunNot {
		return r
	}
	if t.doubt != nil && !t.entry.opts.Off.Doubt {
		return result.From(t.doubt)
	}
	if !t.call.Repeatable && r.Code != result.KeyReused && t.entry.out.book.has(t.homeKey) {
		return result.New(result.KeyInDoubt, "an earlier try may have run; the last one did not: %w", r)
	}
	if t.denied {
		return result.New(result.RetryExhausted, "%w", r)
	}
	return r
}
