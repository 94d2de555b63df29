package fake

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/outside"
)

// Plain is a stand-in for a plain service that stores log entries. POST adds an entry. The
// response to every request contains the number of entries.
type Plain struct {
	Name string

	mu     sync.Mutex
	runs   []Run
	delay  time.Duration
	down   bool
	active int           // calls in progress
	resume chan struct{} // non-nil while stalled; closed at the end of the stall
	rest   restState     // has its own lock
}

// NewPlain returns a stand-in without entries.
func NewPlain(name string) *Plain { return &Plain{Name: name} }

// Kill makes the service refuse connections until Restart.
func (p *Plain) Kill() { p.update(func() { p.down = true }) }

// Restart ends the effect of Kill. The entries remain, as in a database.
func (p *Plain) Restart() { p.update(func() { p.down = false }) }

// SetDelay delays each call by d.
func (p *Plain) SetDelay(d time.Duration) { p.update(func() { p.delay = d }) }

// Stall blocks all calls if on is true, and resumes the calls otherwise.
func (p *Plain) Stall(on bool) {
	p.update(func() {
		switch {
		case on && p.resume == nil:
			p.resume = make(chan struct{})
		case !on && p.resume != nil:
			close(p.resume)
			p.resume = nil
		}
	})
}

// SetRest makes the service reject calls and ask for rest in each reply; 0 ends it.
func (p *Plain) SetRest(rest time.Duration) { p.rest.set(rest) }

// Rests returns the rests that the service has asked for.
func (p *Plain) Rests() []Rest { return p.rest.all() }

// Active returns the number of calls in progress.
func (p *Plain) Active() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active
}

// update calls change, which changes the state, while it holds the lock.
func (p *Plain) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// Runs returns the entries that were added so far.
func (p *Plain) Runs() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Run(nil), p.runs...)
}

// Run implements outside.Backend.
func (p *Plain) Run(ctx context.Context, call *outside.Call) (*outside.Reply, error) {
	p.mu.Lock()
	down := p.down
	p.mu.Unlock()
	if down {
		return nil, &outside.SendError{MayHaveRun: false, Err: errEngineDown}
	}
	if reply := p.rest.reject(); reply != nil {
		return reply, nil
	}
	p.update(func() { p.active++ })
	defer p.update(func() { p.active-- })
	if err := p.awaitTurn(ctx); err != nil {
		return nil, &outside.SendError{MayHaveRun: true, Err: err}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if call.Method == http.MethodPost {
		p.runs = append(p.runs, Run{Key: outside.Header(call.Headers, "Idempotency-Key"), Body: string(call.Body), Finished: true})
	}
	return jsonReply(http.StatusOK, map[string]string{
		"service": p.Name,
		"entries": fmt.Sprint(len(p.runs)),
		"path":    call.Path,
	}), nil
}

// awaitTurn blocks a call during a stall and then for the delay, or until ctx ends.
func (p *Plain) awaitTurn(ctx context.Context) error {
	p.mu.Lock()
	delay, resume := p.delay, p.resume
	p.mu.Unlock()
	if resume != nil {
		select {
		case <-resume:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	if delay == 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
