package agent

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

// record is one request that must not run twice and its answer so far, for the first
// caller and for repeats.
type record struct {
	bodyDigest uint64 // digest of the request body
	window     time.Duration

	mu         sync.Mutex
	changed    chan struct{} // closed and replaced at each change of the record
	answer     *wire.Answer
	buf        []byte // answer bytes from byte number base on
	base       int    // number of answer bytes already dropped
	consumed   int    // number of answer bytes that the first caller has received
	callerGone bool   // the first caller has disconnected
	finishedAt time.Time
	err        error // how the request ended: io.EOF after a complete answer, nil while it runs
	answered   bool  // the answer had started when the request ended with err
}

func newRecord(digest uint64, window time.Duration) *record {
	return &record{bodyDigest: digest, window: window, changed: make(chan struct{})}
}

// update changes the record and wakes all waiting goroutines.
func (r *record) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *record) startAnswer(a *wire.Answer) {
	r.update(func() { r.answer, r.answered = a, true })
}

func (r *record) finish(err error) {
	r.update(func() { r.err, r.finishedAt = err, time.Now() })
}

func (r *record) endedAt() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finishedAt, r.err != nil
}

func (r *record) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.buf)
}

// dropAnswer frees the answer; the key stays known.
func (r *record) dropAnswer() {
	r.update(func() {
		r.base += len(r.buf)
		r.buf = nil
	})
}

// write appends answer bytes. An answer larger than maxAnswerBytes is not retained:
// writing waits for its first caller, and later callers cannot read it.
func (r *record) write(ctx context.Context, p []byte) error {
	for {
		r.mu.Lock()
		if len(r.buf)+len(p) > maxAnswerBytes {
			r.trimConsumed()
		}
		changed := r.changed
		fits := len(r.buf)+len(p) <= maxAnswerBytes
		r.mu.Unlock()
		if fits {
			r.update(func() { r.buf = append(r.buf, p...) })
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// trimConsumed drops the bytes that no caller needs any more; mu is held.
func (r *record) trimConsumed() {
	n := r.consumed - r.base
	if r.callerGone {
		n = len(r.buf)
	}
	r.buf = append([]byte(nil), r.buf[n:]...)
	r.base += n
}

// waitForAnswer waits until the answer starts or the request has failed.
func (r *record) waitForAnswer(ctx context.Context) (*wire.Answer, error) {
	for {
		r.mu.Lock()
		answer, err, changed := r.answer, r.err, r.changed
		r.mu.Unlock()
		if answer != nil {
			return answer, nil
		}
		if err != nil {
			return nil, err
		}
		if err := waitForChange(ctx, changed); err != nil {
			return nil, err
		}
	}
}

// nextBytes returns answer bytes from pos on, or io.EOF after the last byte of a complete
// answer.
func (r *record) nextBytes(ctx context.Context, pos int) ([]byte, error) {
	for {
		r.mu.Lock()
		dropped := pos < r.base
		var p []byte
		if !dropped {
			p = r.buf[pos-r.base:]
		}
		err, changed := r.err, r.changed
		r.mu.Unlock()
		switch {
		case dropped:
			return nil, result.New(result.KeyUncertain, "request ran, but its answer is no longer kept")
		case len(p) > 0:
			return p, nil
		case err != nil:
			return nil, err
		}
		if err := waitForChange(ctx, changed); err != nil {
			return nil, err
		}
	}
}

// recordConsumed records how far the first caller has read, so that a large answer can
// continue.
func (r *record) recordConsumed(pos int) { r.update(func() { r.consumed = pos }) }

// markCallerGone records that the first caller has disconnected.
func (r *record) markCallerGone() { r.update(func() { r.callerGone = true }) }

func waitForChange(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// repeatError returns the error that a repeat gets when the first attempt failed.
func repeatError(err error) error {
	if err == io.EOF || result.From(err).Run() == result.RunNot {
		return err
	}
	return result.New(result.KeyUncertain, "an earlier attempt failed: %w", err)
}
