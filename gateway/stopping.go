package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
)

// leavingRetryAfter is the Retry-After that a stopping entry gives. It is short, as another entry
// can take the request at once.
const leavingRetryAfter = 20 * time.Millisecond

// stopGate keeps requests that the shutdown of the gateway could cut off from being passed on to a target.
type stopGate struct {
	mu      sync.Mutex
	window  *route.StopWindow                    // nil: the gateway is not stopping
	waiting map[*request]context.CancelCauseFunc // requests that wait for a target
}

// begin sets the window of the shutdown.
func (s *stopGate) begin(w route.StopWindow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window = &w
}

// check refuses a request that may not be passed on any more.
func (s *stopGate) check(r *request) *result.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkLocked(r)
}

func (s *stopGate) checkLocked(r *request) *result.Error {
	if s.window == nil || s.window.Takes(time.Now(), r.deadline) {
		return nil
	}
	return newEntryLeaving()
}

func newEntryLeaving() *result.Error {
	e := result.New(result.EntryLeaving, "entry is shutting down, and the request may last longer")
	e.RetryAfter = leavingRetryAfter
	return e
}

// watch returns a context for the wait of a request for a target. It ends when the request may not be
// passed on any more, with the refusal as its cause. The caller calls done after the wait.
func (s *stopGate) watch(ctx context.Context, r *request) (watched context.Context, done func()) {
	watched, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		s.waiting = make(map[*request]context.CancelCauseFunc)
	}
	s.waiting[r] = cancel
	return watched, func() {
		s.mu.Lock()
		delete(s.waiting, r)
		s.mu.Unlock()
		cancel(nil)
	}
}

// refuseWaiting ends the wait of the requests that may not be passed on any more.
func (s *stopGate) refuseWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r, cancel := range s.waiting {
		if e := s.checkLocked(r); e != nil {
			cancel(e)
		}
	}
}
