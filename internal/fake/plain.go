package fake

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/outside"
)

// Plain is an ordinary service: POST adds an entry, GET counts them.
type Plain struct {
	Name string

	mu     sync.Mutex
	runs   []Run
	delay  time.Duration
	down   bool
	active int
	resume chan struct{} // not nil while stalled; closed at the end of the stall
}

// NewPlain returns an empty service.
func NewPlain(name string) *Plain { return &Plain{Name: name} }

// Kill makes the service refuse connections until Restart.
func (p *Plain) Kill() { p.set(func() { p.down = true }) }

// Restart brings a killed service back; its entries stay, as in a database.
func (p *Plain) Restart() { p.set(func() { p.down = false }) }

// SetDelay makes each call take at least d.
func (p *Plain) SetDelay(d time.Duration) { p.set(func() { p.delay = d }) }

// Stall holds all calls, or lets them go on.
func (p *Plain) Stall(on bool) {
	p.set(func() {
		switch {
		case on && p.resume == nil:
			p.resume = make(chan struct{})
		case !on && p.resume != nil:
			close(p.resume)
			p.resume = nil
		}
	})
}

// Active returns how many calls are inside.
func (p *Plain) Active() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.active
}

func (p *Plain) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// Runs returns the entries added so far.
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
	p.set(func() { p.active++ })
	defer p.set(func() { p.active-- })
	if err := p.wait(ctx); err != nil {
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

// wait holds a call for the delay and for as long as the service is stalled.
func (p *Plain) wait(ctx context.Context) error {
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
