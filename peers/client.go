package peers

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/internal/tcp"
)

// Client sends requests to one peer. It connects at its first request, and again after a
// failure.
type Client struct {
	addr string
	mu   sync.Mutex // held from the sending of a request until its response arrives
	conn net.Conn
	br   *bufio.Reader
	buf  []byte
}

// NewClient returns a client for the peer at an address.
func NewClient(addr string) *Client { return &Client{addr: addr} }

// Addr returns the peer's address.
func (c *Client) Addr() string { return c.addr }

// Ask sends a request and decodes the response, both within timeout. After a failure it closes
// the connection: a late response must not be taken for the response to the next request, and a
// connection that has stopped responding must not be used again.
func (c *Client) Ask(ctx context.Context, kind Kind, request msgp.Marshaler, response msgp.Unmarshaler, timeout time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.exchange(ctx, kind, request, response, time.Now().Add(timeout))
	if err != nil {
		c.closeConn()
		return fmt.Errorf("request to peer %s: %w", c.addr, err)
	}
	return nil
}

func (c *Client) exchange(ctx context.Context, kind Kind, request msgp.Marshaler, response msgp.Unmarshaler, deadline time.Time) error {
	if c.conn != nil && !tcp.StillOpen(c.conn) {
		c.closeConn()
	}
	if c.conn == nil {
		conn, err := tcp.Dial(ctx, c.addr, time.Until(deadline))
		if err != nil {
			return err
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	if err := c.conn.SetDeadline(deadline); err != nil {
		return err
	}
	frame, err := appendFrame(c.buf[:0], kind, request)
	if err != nil {
		return err
	}
	c.buf = frame
	if _, err := c.conn.Write(frame); err != nil {
		return err
	}
	responseKind, payload, err := readFrame(c.br, reserveNothing)
	if err != nil {
		return err
	}
	if responseKind != kind {
		return fmt.Errorf("%w: response of kind %d to a request of kind %d", ErrFrame, responseKind, kind)
	}
	_, err = response.UnmarshalMsg(payload)
	return err
}

func (c *Client) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeConn()
}
