package callers

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/heatherrail/heatherrail/internal/tcp"
	"github.com/heatherrail/heatherrail/shedding"
)

// timeMargin is added to the time that a caller may take, for the way of its bytes.
const timeMargin = 500 * time.Millisecond

// awaitRequest waits for the first byte of a request. It returns false if the connection is to be closed.
func (c *Conn) awaitRequest() bool {
	c.betweenRequests, c.endedIdle = false, false
	first := c.currentState() == shedding.Silent
	if !first {
		c.began = time.Now()
	}
	for !c.hasByte() {
		if c.isGone() {
			return false
		}
		c.readLimit = c.began.Add(c.waitLimit(first) + timeMargin)
		if !time.Now().Before(c.readLimit) || !c.applyReadLimit() {
			return false
		}
		err := c.waitReadable()
		if err == nil {
			c.arrived = !c.hasByte()
			break
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
	}
	if !c.beginHead() {
		c.server.reportRefused(c)
		return false
	}
	return true
}

// waitLimit returns how long the caller may be silent before its first request, or later ones.
func (c *Conn) waitLimit(first bool) time.Duration {
	t := c.server.timeouts()
	if first {
		return t.Head
	}
	return t.Idle
}

// waitReadable waits for something to read.
func (c *Conn) waitReadable() error {
	if c.readable != nil {
		return c.readable.Wait()
	}
	n, err := c.Conn.Read(c.readAhead[:])
	if n > 0 {
		c.mu.Lock()
		c.hasReadAhead = true
		c.mu.Unlock()
		return nil
	}
	return err
}

// hasByte reports whether a byte has been read ahead, so that there is no need to wait.
func (c *Conn) hasByte() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasReadAhead
}

// isGone reports whether the caller has disconnected during a request.
func (c *Conn) isGone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readErr != nil
}

// beginHead reserves the memory of a request. It returns false if there is none.
func (c *Conn) beginHead() bool {
	c.began, c.head, c.headWhole, c.key = time.Now(), headSize{}, false, ""
	c.mu.Lock()
	c.state = shedding.Head
	c.mu.Unlock()
	c.readLimit = c.began.Add(c.server.timeouts().Head + timeMargin)
	return c.await(c.holder.Begin(shedding.ActiveBytes, c.began), shedding.ActiveBytes) == nil
}

// run records that the request is whole. It returns ErrNoMemory if the connection gives way to others.
func (c *Conn) run() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.holder.Run(c.key, time.Now()) {
		return ErrNoMemory
	}
	c.state = shedding.Running
	return nil
}

// beginRequest is called when the library has read the first byte of a request.
func (c *Conn) beginRequest() {
	c.betweenRequests = false
	if c.reserved == 0 { // the request has arrived together with an earlier one
		_ = c.beginHead() // if there is no memory, ReadBody refuses the request
	}
}

// endRequest releases what the connection holds for a request.
func (c *Conn) endRequest(next shedding.State) {
	c.request.free()
	c.response.free()
	c.bodyRead = false
	c.recordUnsent()
	c.mu.Lock()
	released := c.reserved + c.behind
	c.reserved, c.behind, c.state = 0, 0, next
	c.mu.Unlock()
	c.holder.End(released, next, time.Now())
	c.betweenRequests = next == shedding.Idle
}

// maxUnchecked is how much may be written to a caller until it is checked whether the caller reads.
const maxUnchecked = 8 << 10

// recordUnsent records what the kernel holds of the responses because the caller does not read, before the memory of the response is
// released. The stall watch records how it changes.
func (c *Conn) recordUnsent() {
	if c.unchecked <= maxUnchecked {
		return
	}
	unsent := tcp.UnsentBytes(c.Conn)
	if unsent == 0 {
		c.unchecked = 0
	}
	c.shed(c.holder.Stalled(unsent, 0, time.Now()))
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.betweenRequests {
		c.endedIdle = true
		return 0, io.EOF
	}
	c.mu.Lock()
	readErr, state := c.readErr, c.state
	if c.hasReadAhead && len(p) > 0 {
		p[0] = c.readAhead[0]
		c.hasReadAhead = false
		c.mu.Unlock()
		return 1, nil
	}
	c.mu.Unlock()
	if readErr != nil {
		return 0, readErr
	}
	if state == shedding.Head && c.headWhole {
		state = shedding.Body
		c.setState(state)
	}
	n, err := c.readSocket(p)
	switch {
	case state == shedding.Head && n > 0:
		if reserveErr := c.reserveHead(p[:n]); reserveErr != nil {
			return 0, reserveErr
		}
	case state == shedding.Head && err != nil && c.head.bytes == 0 && !c.gaveWay.Load():
		return 0, io.EOF // the caller has closed the connection between two requests
	}
	return n, c.readError(err)
}

// readSocket reads until the read limit, which may move meanwhile.
func (c *Conn) readSocket(p []byte) (int, error) {
	for {
		if !c.arrived && !c.applyReadLimit() {
			return 0, os.ErrDeadlineExceeded
		}
		c.arrived = false
		n, err := c.Conn.Read(p)
		if n > 0 || err == nil || !c.mayTakeLonger(err) {
			return n, err
		}
	}
}

// mayTakeLonger reports whether the read limit is later than the one that has ended a read, as the timeouts have changed.
func (c *Conn) mayTakeLonger(err error) bool {
	if c.gaveWay.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	if c.currentState() == shedding.Head {
		c.readLimit = c.began.Add(c.server.timeouts().Head + timeMargin)
	}
	return c.readLimit.IsZero() || time.Now().Before(c.readLimit)
}

// SetReadDeadline implements net.Conn. The library calls it when the head of a request is whole.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.headWhole, c.readLimit = true, t
	return nil
}

// applyReadLimit makes reads end at the read limit. It returns false if the connection reads no more, as it gives way.
func (c *Conn) applyReadLimit() bool {
	if c.readLimit.Equal(c.appliedLimit) {
		return !c.gaveWay.Load()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gaveWay.Load() {
		return false
	}
	c.appliedLimit = c.readLimit
	_ = c.Conn.SetReadDeadline(c.readLimit) // fails only if the connection is closed, and then reads fail too
	return true
}

func (c *Conn) setState(s shedding.State) {
	c.mu.Lock()
	c.state = s
	c.mu.Unlock()
	c.holder.SetState(s, time.Now())
}

func (c *Conn) currentState() shedding.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

func (c *Conn) isIdle() bool {
	s := c.currentState()
	return s == shedding.Idle || s == shedding.Silent
}

func (c *Conn) setCancel(cancel func()) {
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	if cancel != nil && c.gaveWay.Load() {
		cancel()
	}
}

// SetKey sets the key of the request before its body is read. The connections of a key may not take all of the memory.
func (c *Conn) SetKey(key string) { c.key = key }

// Reserve reserves more memory until the response has been written, and waits for it. It returns ErrNoMemory if there is none.
func (c *Conn) Reserve(n int) error { return c.reserve(n) }

// giveWay ends what the connection waits for from its caller, in favour of others. A request that has become whole meanwhile is not
// ended.
func (c *Conn) giveWay(atOnce bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == shedding.Running && !c.holder.HasStalled(time.Now()) {
		c.holder.Stay()
		return
	}
	if c.gaveWay.Swap(true) {
		return
	}
	close(c.leaving)
	if c.server.observer.GaveWay != nil {
		c.server.observer.GaveWay(c.RemoteAddr())
	}
	c.atOnce = atOnce
	switch {
	case c.holder.ReadsNothing(time.Now()):
		tcp.Abort(c.Conn) // its goroutine may be writing
		if c.cancel != nil {
			c.cancel()
		}
	case c.state == shedding.Head, c.state == shedding.Body:
		// These fail only if the connection is closed.
		_ = c.Conn.SetReadDeadline(aLongTimeAgo)
		_ = c.Conn.SetWriteDeadline(time.Now().Add(lastWriteTimeout)) // of responses to earlier requests
	case c.cancel != nil:
		c.cancel()
	case c.state == shedding.Running:
		tcp.Abort(c.Conn)
	default:
		_ = c.Conn.Close() // its goroutine does the rest
	}
}

// refuseBody ends the wait for the rest of a body, so that the request is refused. A request that is whole runs.
func (c *Conn) refuseBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != shedding.Body || c.gaveWay.Swap(true) {
		return
	}
	close(c.leaving)
	_ = c.Conn.SetReadDeadline(aLongTimeAgo) // fails only if the connection is closed
}

// recordStall records that a caller has not read its response. It returns false if the connection is to
// be ended: the caller has read nothing for writeTimeout, or it gives way to others.
func (c *Conn) recordStall(s tcp.Stall) bool {
	unread := 0
	if s != (tcp.Stall{}) {
		unread = max(s.UnsentBytes, 1) // the memory of the response itself is reserved
	}
	return !c.shed(c.holder.Stalled(unread, s.Since, time.Now())) && s.Since < writeTimeout
}

// shed tells connections to give way, and reports whether this one is among them.
func (c *Conn) shed(giveWay []*shedding.Holder) (itself bool) {
	for _, h := range giveWay {
		if h == c.holder {
			itself = true
		} else {
			go h.Owner.(*Conn).giveWay(false) // not here: a stall watch that calls is locked
		}
	}
	return itself
}

// closeNow closes the connection without waiting for its caller.
func (c *Conn) closeNow() {
	c.closeOnce.Do(func() {
		c.endRequest(shedding.Closing)
		c.finish()
	})
}

// finish closes the descriptor and gives back what the connection holds.
func (c *Conn) finish() {
	c.stall.Stop()
	_ = c.Conn.Close() // an error at this point has no consequence
	c.holder.Close()
	c.server.remove(c)
	close(c.closed)
}
