package tcp

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// StallWatch tells a peer that does not read from one that is unreachable, while data that was written
// to a connection is not acknowledged.
//
// The kernel ends a connection whose peer keeps its receive window closed for the user timeout, also
// if the peer acknowledges each probe of the window. StallWatch extends the user timeout while the
// peer acknowledges, and ends the connection if it does not. The extension also bounds the interval
// between probes, which the kernel would double each time.
type StallWatch struct {
	conn *net.TCPConn
	// onStall is called at each check with the state of the data that is not acknowledged, and at the
	// end with the zero value. The connection is ended if it returns false. It must not use the watch.
	onStall func(Stall) bool

	mu       sync.Mutex
	timer    *time.Timer
	armedAt  time.Time // time since when data has not been acknowledged; zero: the watch is not armed
	acked    uint64    // bytes acknowledged at the latest check
	progress time.Time // time of the latest check that saw more bytes acknowledged
	rearmed  bool      // data may have been written since the latest check
	extended bool      // the connection has another user timeout than userTimeout
	closed   bool
}

// Stall is the state of data that a peer has not acknowledged. The zero value: there is none.
type Stall struct {
	UnsentBytes int           // bytes that the kernel holds because the peer has no room for them
	Since       time.Duration // time since the peer last acknowledged data
}

// Times of a StallWatch.
const (
	firstStallCheck = time.Second // before the user timeout ends the connection
	stallInterval   = 400 * time.Millisecond
	// probeTimeout is how long a peer with a closed window may acknowledge nothing. The kernel sends it
	// a probe at least once per user timeout.
	probeTimeout = userTimeout + userTimeout/2
)

// noTCPInfo is set when the kernel does not report the state of connections. Connections then keep
// the user timeout.
var noTCPInfo atomic.Bool

// NewStallWatch returns a watch of a connection; nil if it is no TCP connection. Its methods may be
// called on nil.
func NewStallWatch(nc net.Conn, onStall func(Stall) bool) *StallWatch {
	conn, ok := nc.(*net.TCPConn)
	if !ok || noTCPInfo.Load() {
		return nil
	}
	return &StallWatch{conn: conn, onStall: onStall}
}

// Arm starts the watch before data is written, unless it runs.
func (w *StallWatch) Arm() {
	if w == nil || noTCPInfo.Load() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.closed:
	case !w.armedAt.IsZero():
		w.rearmed = true
	default:
		w.start()
	}
}

// start begins the checks of data that is about to be written.
func (w *StallWatch) start() {
	w.armedAt = time.Now()
	w.progress = w.armedAt
	if w.timer == nil {
		w.timer = time.AfterFunc(firstStallCheck, w.check)
	} else {
		w.timer.Reset(firstStallCheck)
	}
}

// Stop ends the watch.
func (w *StallWatch) Stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	if w.timer != nil {
		w.timer.Stop()
	}
	w.report(Stall{})
}

// Undelivered reports whether the peer has not acknowledged all data.
func (w *StallWatch) Undelivered() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	armed := !w.armedAt.IsZero() && !w.closed
	w.mu.Unlock()
	if !armed {
		return false
	}
	info, err := connInfo(w.conn)
	return err == nil && isOutstanding(info)
}

// UnsentBytes returns the bytes that the kernel holds because the peer has no room for them; 0 if it does not tell.
func UnsentBytes(nc net.Conn) int {
	conn, ok := nc.(*net.TCPConn)
	if !ok || noTCPInfo.Load() {
		return 0
	}
	info, err := connInfo(conn)
	if err != nil {
		return 0
	}
	return int(info.Notsent_bytes)
}

func (w *StallWatch) report(s Stall) bool { return w.onStall == nil || w.onStall(s) }

func isOutstanding(info *unix.TCPInfo) bool { return info.Unacked > 0 || info.Notsent_bytes > 0 }

// check ends the connection if the peer is unreachable, and extends the user timeout if it is not.
func (w *StallWatch) check() {
	info, err := connInfo(w.conn)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	rearmed := w.rearmed
	w.rearmed = false
	if err != nil || !isOutstanding(info) {
		w.disarm()
		if err == nil && rearmed { // the write may come after the look at the connection
			w.start()
		}
		return
	}
	now := time.Now()
	if info.Bytes_acked != w.acked {
		w.acked, w.progress = info.Bytes_acked, now
	}
	elapsed := now.Sub(w.armedAt)
	silence := min(time.Duration(info.Last_ack_recv)*time.Millisecond, elapsed)
	keep := w.report(Stall{UnsentBytes: int(info.Notsent_bytes), Since: now.Sub(w.progress)})
	if !keep || silence >= silenceLimit(info) {
		Abort(w.conn)
		return
	}
	w.extended = true
	_ = setConnUserTimeout(w.conn, elapsed+userTimeout) // fails only if the connection is closed
	w.timer.Reset(stallInterval)
}

// disarm ends the checks until data is written again.
func (w *StallWatch) disarm() {
	w.armedAt = time.Time{}
	if w.extended {
		w.extended = false
		_ = setConnUserTimeout(w.conn, userTimeout) // fails only if the connection is closed
	}
	w.report(Stall{})
}

// silenceLimit returns how long a live peer may acknowledge nothing.
func silenceLimit(info *unix.TCPInfo) time.Duration {
	if info.Unacked > 0 {
		return userTimeout
	}
	return probeTimeout
}

// Abort resets a connection, so that the kernel discards the data that is on its way.
func Abort(nc net.Conn) {
	if conn, ok := nc.(*net.TCPConn); ok {
		_ = conn.SetLinger(0) // if it fails, the connection is closed without a reset
	}
	_ = nc.Close()
}

// connInfo returns the kernel's state of a connection.
func connInfo(conn *net.TCPConn) (info *unix.TCPInfo, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return nil, err // the connection is closed
	}
	if infoErr != nil {
		noTCPInfo.Store(true)
	}
	return info, infoErr
}

func setConnUserTimeout(conn *net.TCPConn, timeout time.Duration) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeoutOf(raw, timeout)
}

func setUserTimeoutOf(raw syscall.RawConn, timeout time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
