package agent

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

// record is one request that must not run twice: its answer as far as it has
// come, for the first caller and for repeats.
type record struct {
	body   uint64 // digest of the request body
	window time.Duration

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change
	answer   *wire.Answer
	buf      []byte // answer bytes from base on
	base     int    // bytes already dropped
	read     int    // bytes that the first caller has taken
	unread   bool   // the first caller is gone
	ended    time.Time
	err      error // io.EOF after a whole answer
	answered bool  // the answer began before err
}

func newRecord(digest uint64, window time.Duration) *record {
	return &record{body: digest, window: window, changed: make(chan struct{})}
}

// update changes the record and wakes all who wait for it.
func (r *record) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *record) begin(a *wire.Answer) {
	r.update(func() { r.answer, r.answered = a, true })
}

func (r *record) end(err error) {
	r.update(func() { r.err, r.ended = err, time.Now() })
}

func (r *record) endedAt() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended, r.err != nil
}

func (r *record) size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.buf)
}

// drop frees the answer; the key stays known.
func (r *record) drop() {
	r.update(func() {
		r.base += len(r.buf)
		r.buf = nil
	})
}

// write appends answer bytes. An answer larger than answerLimit is not kept: it
// waits for its first caller, and later ones can't join.
func (r *record) write(ctx context.Context, p []byte) error {
	for {
		r.mu.Lock()
		if len(r.buf)+len(p) > answerLimit {
			r.trim()
		}
		changed := r.changed
		fits := len(r.buf)+len(p) <= answerLimit
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

// trim drops what nobody needs any more; mu is held.
func (r *record) trim() {
	n := r.read - r.base
	if r.unread {
		n = len(r.buf)
	}
	r.buf = append([]byte(nil), r.buf[n:]...)
	r.base += n
}

// started waits until the answer begins or the request has failed.
func (r *record) started(ctx context.Context) (*wire.Answer, error) {
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
		if err := wait(ctx, changed); err != nil {
			return nil, err
		}
	}
}

// next returns answer bytes from pos on; io.EOF after the last of a whole answer.
func (r *record) next(ctx context.Context, pos int) ([]byte, error) {
	for {
		r.mu.Lock()
		gone := pos < r.base
		var p []byte
		if !gone {
			p = r.buf[pos-r.base:]
		}
		err, changed := r.err, r.changed
		r.mu.Unlock()
		switch {
		case gone:
			return nil, result.New(result.KeyInDoubt, "it ran; its answer is no longer kept")
		case len(p) > 0:
			return p, nil
		case err != nil:
			return nil, err
		}
		if err := wait(ctx, changed); err != nil {
			return nil, err
		}
	}
}

// took books what the first caller has read, so that a large answer can go on.
func (r *record) took(pos int) { r.update(func() { r.read = pos }) }

// leave books that the first caller is gone.
func (r *record) leave() { r.update(func() { r.unread = true }) }

func wait(ctx context.Context, changed <-chan struct{}) error {
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// repeatError says what a repeat may know of a failed first try.
func repeatError(err error) error {
	if err == io.EOF || result.From(err).Run() == result.RunNot {
		return err
	}
	return result.New(result.KeyInDoubt, "an earlier try failed: %w", err)
}
