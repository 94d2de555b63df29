package wire

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/netip"

	"github.com/heatherrail/heatherrail/result"
)

// Network makes connections between processes. With Keys it uses mutual TLS;
// without Keys it uses plain TCP and accepts loopback addresses only.
type Network struct {
	Keys *Keys // nil: plain TCP
}

// Check returns an error if addr is not on loopback and there are no keys.
func (n *Network) Check(addr string) error {
	if n.Keys != nil {
		return nil
	}
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return fmt.Errorf("address %q: %w", addr, err)
	}
	if !ap.Addr().Unmap().IsLoopback() {
		return result.New(result.WirePlain, "%s is not on loopback and there are no keys, see [tls]", addr)
	}
	return nil
}

// Listen opens a listener for connections from other processes.
func (n *Network) Listen(addr string) (net.Listener, error) {
	if err := n.Check(addr); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if n.Keys == nil {
		return ln, nil
	}
	return tls.NewListener(ln, n.Keys.serverConfig()), nil
}

// Dial connects to another process. With keys it returns after the TLS handshake.
func (n *Network) Dial(ctx context.Context, addr string) (net.Conn, error) {
	if err := n.Check(addr); err != nil {
		return nil, err
	}
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	if n.Keys == nil {
		return nc, nil
	}
	tc := tls.Client(nc, n.Keys.clientConfig())
	if err := tc.HandshakeContext(ctx); err != nil {
		_ = nc.Close()
		return nil, fmt.Errorf("handshake with %s: %w", addr, err)
	}
	return tc, nil
}
