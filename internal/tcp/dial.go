// Package tcp opens and examines the TCP connections between processes.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds within which a silent peer is noticed.
//
// Failure: a VM without power, or behind a partition, answers nothing, and the
// kernel goes on sending for many minutes. Symptom: whoever reads from the
// connection hangs. Probes and the user timeout end the connection within about
// silentAfter, whether there is something to send or not.
const (
	probeIdle   = time.Second
	probeEvery  = 500 * time.Millisecond
	probeCount  = 3
	silentAfter = 2500 * time.Millisecond
)

// Dial connects to an IP number and port.
func Dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: probes,
		Control:         boundSilence,
	}
	return d.DialContext(ctx, "tcp4", addr)
}

// Listen listens on an IP number and port; accepted connections notice silent
// peers as dialled ones do.
func Listen(addr string) (net.Listener, error) {
	l := net.ListenConfig{KeepAliveConfig: probes, Control: boundSilence}
	return l.Listen(context.Background(), "tcp4", addr)
}

var probes = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount}

func boundSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentAfter.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
