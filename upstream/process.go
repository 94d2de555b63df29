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
	nc, err := p.dial(ctx, checkDialTimeout)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return ProcessGone
	case err != nil:
		return ProcessUnknown
	}
	c := newConn(nc, p.limit)
	if err := nc.SetReadDeadline(time.Now().Add(checkHoldTime)); err != nil {
		c.abort()
		return ProcessUnknown
	}
	_, err = c.br.Peek(1)
	if !IsTimeout(err) {
		c.abort()
		return ProcessGone
	}
	if err := nc.SetReadDeadline(time.Time{}); err != nil {
		c.abort()
		return ProcessRunning
	}
	p.release(c, defaultIdleTime)
	return ProcessRunning
}

// RefusesConnections reports whether the target's VM responds and no process accepts connections there. A
// connection that could be opened is added to the pool.
func (p *Pool) RefusesConnections(ctx context.Context) bool {
	nc, err := p.dial(ctx, checkDialTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	p.release(newConn(nc, p.limit), defaultIdleTime)
	return false
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
