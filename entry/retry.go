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

// maxAttempts bounds the attempts of one request, in addition to the retry budget. The
// entry is the only layer that retries.
const maxAttempts = 4

// retrier runs the attempts of one call.
type retrier struct {
	entry        *Entry
	snap         *config.Snapshot
	call         *Call
	policy       *config.Policy
	fingerprint  uint64
	dedupKey     string
	avoid        map[string]bool // targets that an earlier attempt failed on
	failures     int
	budgetDenied bool  // the retry budget denied a retry
	uncertainErr error // error of the last attempt that may have run
}

// attempt is one attempt of a call at a target, kept from the beginning of the answer on.
type attempt struct {
	target string
	stream *wire.Stream
	answer wire.Answer
}

func newRetrier(e *Entry, snap *config.Snapshot, c *Call, policy *config.Policy) *retrier {
	return &retrier{
		entry:       e,
		snap:        snap,
		call:        c,
		policy:      policy,
		fingerprint: route.Fingerprint(c.Body, c.Team, c.Service),
		dedupKey:    route.DedupKey(c.Team, c.Service, c.Key),
		avoid:       make(map[string]bool),
	}
}

// nextAttempt makes attempts until an answer begins. It returns an error only when no
// further attempt is allowed.
func (t *retrier) nextAttempt(ctx context.Context, body []byte) (*attempt, error) {
	for {
		a, target, err := t.attemptOnce(ctx, body)
		if err == nil {
			return a, nil
		}
		t.recordFailure(target, err)
		if !t.waitForRetry(ctx, target, err) {
			return nil, t.finalError(err)
		}
	}
}

// attemptOnce makes one attempt. The returned target is empty if no target was chosen.
func (t *retrier) attemptOnce(ctx context.Context, body []byte) (a *attempt, target string, err error) {
	if ctx.Err() != nil {
		return nil, "", t.unsentError(ctx)
	}
	action, remaining := t.entry.outcomes.checkQuarantine(t.fingerprint)
	if action == route.QuarantineReject {
		rejection := result.New(result.CrashSuspect, "the request crashed targets and is rejected for %s", remaining.Round(time.Second))
		rejection.RetryAfter = remaining
		return nil, "", rejection
	}
	t.refreshSnapshot()
	target, err = t.selectTarget(action == route.QuarantineRunAlone)
	if err != nil {
		return nil, "", err
	}
	a, err = t.send(ctx, target, body, action == route.QuarantineRunAlone)
	return a, target, err
}

// unsentError returns the error of a call whose context ended before this attempt was
// sent.
func (t *retrier) unsentError(ctx context.Context) error {
	err := result.From(context.Cause(ctx))
	if t.failures == 0 && err.Code == result.DeadlinePast {
		return result.New(result.DeadlineUnmet, "the deadline passed before the request was sent")
	}
	return err
}

// refreshSnapshot switches a non-repeatable request to the newest configuration version,
// because the home target of its key (the only target that may run it) may have changed. This
// is safe: an attempt that may have run under the older version is in the dispatch log.
func (t *retrier) refreshSnapshot() {
	if newest := t.entry.current.Load(); !t.call.Repeatable && newest != nil && newest.Service(t.call.Service) != nil {
		t.snap = newest
	}
}

// selectTarget returns the target of the next attempt: the home target of a
// non-repeatable request, the isolation target of a crash suspect, or the placement
// decision.
func (t *retrier) selectTarget(suspect bool) (string, error) {
	e, c := t.entry, t.call
	switch {
	case !c.Repeatable && !e.opts.Off.Home:
		return homeTarget(t.dedupKey, t.snap.Targets(t.snap.Service(c.Service).Fleet))
	case suspect:
		return e.isolationTarget(t.snap, c, t.avoid)
	}
	return e.chooseTarget(t.snap, c, t.avoid)
}

// send sends the call to one target and waits until its answer begins.
func (t *retrier) send(ctx context.Context, target string, body []byte, suspect bool) (*attempt, error) {
	e, c := t.entry, t.call
	l := e.link(target)
	if l == nil {
		return nil, result.New(result.Unreachable, "no connection to %s", target)
	}
	if !c.Repeatable && !e.awaitRegistered(ctx) {
		return nil, result.New(result.EntryUnregistered, "entry %s has no presence record on the log yet", e.opts.Settings.Name)
	}
	req := t.wireRequest(body, suspect)
	req.AttachOnly = !c.Repeatable && l.isLeaving()
	dest := destination{target: target}
	s, err := l.openRequest(req, func(incarnation uint64) error {
		dest.incarnation = incarnation
		return t.logDispatch(dest)
	})
	if err != nil {
		return nil, t.undoDispatch(dest, err)
	}
	a := &attempt{target: target, stream: s}
	if err := a.awaitAnswer(ctx); err != nil {
		s.Close()
		return nil, t.undoDispatch(dest, err)
	}
	return a, nil
}

func (t *retrier) wireRequest(body []byte, suspect bool) *wire.Request {
	c := t.call
	timeLeft := time.Until(c.Deadline)
	if t.entry.opts.Off.Deadline {
		timeLeft = time.Hour
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
		DeadlineMs:    timeLeft.Milliseconds(),
		ConfigVersion: t.snap.Version,
		Suspect:       suspect,
		Sched:         c.sched.toWire(),
		Fingerprint:   t.fingerprint,
		DedupMs:       t.policy.DedupWindow.Milliseconds(),
		DedupKeys:     t.policy.DedupKeys,
	}
}

// logDispatch adds an attempt of a non-repeatable request to the dispatch log.
func (t *retrier) logDispatch(dest destination) error {
	if t.call.Repeatable {
		return nil
	}
	now := time.Now()
	expiresAt := now.Add(t.policy.DedupWindow + dispatchLogSlack)
	fleet := t.snap.Service(t.call.Service).Fleet
	return t.entry.outcomes.dispatchLog.record(t.dedupKey, fleet, dest, t.snap.Version, expiresAt, now)
}

// undoDispatch removes an attempt from the dispatch log if err shows that it did not run.
// It returns err.
func (t *retrier) undoDispatch(dest destination, err error) error {
	r := result.From(err)
	if !t.call.Repeatable && dest.incarnation != 0 && r.Run() == result.RunNot && r.Code != result.KeyReused {
		t.entry.outcomes.dispatchLog.remove(t.dedupKey, dest)
	}
	return err
}

// awaitAnswer waits for the answer head, which is the first message of the stream.
func (a *attempt) awaitAnswer(ctx context.Context) error {
	ev, err := a.stream.Recv(ctx)
	switch {
	case errors.Is(err, io.EOF):
		return result.New(result.AnswerBroken, "%s ended the stream before the answer began", a.target)
	case err != nil:
		return err
	case ev.Message != wire.MessageAnswer:
		return result.New(result.WireMalformed, "the first message from %s is not an answer", a.target)
	}
	if _, err := a.answer.UnmarshalMsg(ev.Data); err != nil {
		return result.New(result.WireMalformed, "decode answer: %w", err)
	}
	return nil
}

// recordFailure records a failed attempt in the state of the call and for the ejection of its
// target.
func (t *retrier) recordFailure(target string, err error) {
	t.call.sched.recordRejection(target, err)
	t.failures++
	if result.From(err).Run() == result.RunMaybe {
		t.uncertainErr = err
	}
	if target != "" {
		t.entry.outcomes.recordResult(target, err)
	}
}

// recordSuccess records a complete answer of a target.
func (t *retrier) recordSuccess(target string) {
	t.entry.outcomes.recordResult(target, nil)
	t.entry.outcomes.clearQuarantine(t.fingerprint)
}

// waitForRetry reports whether the request may be retried after err. It waits for the
// backoff before it returns true.
func (t *retrier) waitForRetry(ctx context.Context, target string, err error) bool {
	code := result.From(err).Code
	rule := route.RetryRuleFor(code, t.call.Repeatable)
	if rule == route.RetryNever || t.failures >= maxAttempts || ctx.Err() != nil {
		return false
	}
	if rule == route.RetryBudgeted && !t.entry.outcomes.takeRetry(t.call.Service) {
		t.budgetDenied = true
		t.entry.opts.Metrics.Count("retries_denied_total", 1)
		return false
	}
	t.entry.opts.Metrics.CountRetry(code)
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

// finalError converts the last failure to the error for the caller. It reports "not run"
// only if no attempt of this request may have run, and no attempt with its idempotency
// key through this entry either.
func (t *retrier) finalError(err error) error {
	r := result.From(err)
	if r.Run() != result.RunNot {
		return r
	}
	if t.uncertainErr != nil && !t.entry.opts.Off.UncertainOutcome {
		return result.From(t.uncertainErr)
	}
	if !t.call.Repeatable && r.Code != result.KeyReused && t.entry.outcomes.dispatchLog.contains(t.dedupKey) {
		return result.New(result.KeyUncertain, "an earlier attempt may have run; the last one did not: %w", r)
	}
	if t.budgetDenied {
		return result.New(result.RetryExhausted, "%w", r)
	}
	return r
}
