package fake

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/platform"
)

// Plain is an ordinary service: POST adds an entry, GET counts them.
type Plain struct {
	Name string

	mu    sync.Mutex
	runs  []Run
	delay time.Duration
	down  bool
}

// NewPlain returns an empty service.
func NewPlain(name string) *Plain { return &Plain{Name: name} }

// Kill makes the service refuse connections until Restart.
func (p *Plain) Kill() { p.set(func() { p.down = true }) }

// Restart brings a killed service back; its entries stay, as in a database.
func (p *Plain) Restart() { p.set(func() { p.down = false }) }

// SetDelay makes each call take at least d.
func (p *Plain) SetDelay(d time.Duration) { p.set(func() { p.delay = d }) }

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

// Run implements platform.Backend.
func (p *Plain) Run(ctx context.Context, call *platform.Call) (*platform.Reply, error) {
	p.mu.Lock()
	down, delay := p.down, p.delay
	p.mu.Unlock()
	if down {
		return nil, &platform.SendError{Sent: false, Err: errEngineDown}
	}
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, &platform.SendError{Sent: true, Err: context.Cause(ctx)}
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if call.Method == http.MethodPost {
		p.runs = append(p.runs, Run{Key: header(call, "Idempotency-Key"), Body: string(call.Body), Finished: true})
	}
	return jsonReply(http.StatusOK, map[string]string{
		"service": p.Name,
		"entries": fmt.Sprint(len(p.runs)),
		"path":    call.Path,
	}), nil
}
