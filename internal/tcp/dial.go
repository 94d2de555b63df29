// Package tcp opens TCP connections between processes, with keepalive and a user
// timeout, and checks whether idle connections are still open.
package tcp

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits for the detection of unreachable peers.
//
// A VM without power or behind a partition acknowledges nothing, and by default the
// kernel retransmits for many minutes. Reads from such a connection would hang. Keepalive
// probes end an idle connection, and the user timeout ends a connection with
// unacknowledged data. Both take about userTimeout. The user timeout also ends a
// connection to a peer that lives and does not read: see StallWatch.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	userTimeout       = 2500 * time.Millisecond
)

// Bounds of what the kernel holds of a connection. Its own are some MB. It takes about twice as much with its own overhead.
const (
	ReceiveBufferBytes = 64 << 10 // received and not yet read
	sendBufferBytes    = 64 << 10 // written and not yet acknowledged; less would be a part of one segment on loopback
)

// Dial connects to an IP address and port. The connection fails within about
// userTimeout after the peer becomes unreachable.
func Dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive,
		Control:         setOptions,
	}
	return d.DialContext(ctx, "tcp4", addr)
}

// Listen listens on an IPv4 address and port. Accepted connections detect unreachable
// peers in the same way as connections from Dial.
func Listen(addr string) (net.Listener, error) { return listen("tcp4", addr) }

// ListenAny is Listen for addresses of both IP versions.
func ListenAny(addr string) (net.Listener, error) { return listen("tcp", addr) }

func listen(network, addr string) (net.Listener, error) {
	l := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setOptions}
	return l.Listen(context.Background(), network, addr)
}

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// setOptions sets TCP_USER_TIMEOUT, which bounds how long sent data may stay
// unacknowledged, and the sizes of the kernel's buffers.
func setOptions(_, _ string, raw syscall.RawConn) error {
	if err := setUserTimeoutOf(raw, userTimeout); err != nil {
		return err
	}
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, ReceiveBufferBytes),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes))
	})
	return errors.Join(err, setErr)
}
