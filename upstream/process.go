package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/heatherrail/heatherrail/internal/tcp"
)

// ProcessState is what a new connection shows of the process of a target.
type ProcessState uint8

// States of the process of a target.
const (
	ProcessUnknown ProcessState = iota // the VM of the target does not respond
	ProcessRunning
	ProcessGone // the VM responds, and the process does not
)

// String returns the name used in logs.
func (s ProcessState) String() string { return [...]string{"unknown", "running", "gone"}[s] }

// Time limits of CheckProcess.
const (
	checkDialTimeout = 300 * time.Millisecond // above the longest delay between data centres
	// checkHoldTime is how long a new connection must stay open. A proxy before a target may accept
	// connections while the target is gone, and closes them at once.
	checkHoldTime = 50 * time.Millisecond
)

// CheckProcess opens a connection to the target to find out whether its process still runs, after
// another connection to the target has broken. A usable connection is added to the pool.
func (p *Pool) CheckProcess(ctx context.Context) ProcessState {
	state, _ := p.checkProcess(ctx)
	return state
}

// RefusesConnections reports whether the target's VM responds and no process accepts connections there, after
// another connection to the target has ended. A connection that stays open is added to the pool. One that is
// ended at once may be one too many for a running process, or have been opened to a process that was ending
// and whose listener was still open; the next one tells these apart.
func (p *Pool) RefusesConnections(ctx context.Context) bool {
	state, refused := p.checkProcess(ctx)
	if state == ProcessGone && !refused {
		_, refused = p.checkProcess(ctx)
	}
	return refused
}

// checkProcess does the work of CheckProcess. refused means that the connection was refused.
func (p *Pool) checkProcess(ctx context.Context) (state ProcessState, refused bool) {
	nc, err := p.dial(ctx, checkDialTimeout)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return ProcessGone, true
	case err != nil:
		return ProcessUnknown, false
	}
	c := newConn(nc, p.limit)
	if err := nc.SetReadDeadline(time.Now().Add(checkHoldTime)); err != nil {
		c.abort()
		return ProcessUnknown, false
	}
	_, err = c.br.Peek(1)
	if !IsTimeout(err) {
		c.abort()
		return ProcessGone, false
	}
	if err := nc.SetReadDeadline(time.Time{}); err != nil {
		c.abort()
		return ProcessRunning, false
	}
	p.release(c, defaultIdleTime)
	return ProcessRunning, false
}

// dial opens a connection and counts it.
func (p *Pool) dial(ctx context.Context, timeout time.Duration) (net.Conn, error) {
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	return tcp.Dial(ctx, p.addr, timeout)
}

// IsTimeout reports whether a request or a response failed because the VM of the target stopped
// responding, rather than by the end of a connection.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, syscall.ETIMEDOUT)
}
