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

// Client asks one peer. It connects when first used, and again after a failure.
type Client struct {
	addr string
	mu   sync.Mutex // held for a whole question
	nc   net.Conn
	br   *bufio.Reader
	buf  []byte
}

// NewClient returns a client for the peer at an address.
func NewClient(addr string) *Client { return &Client{addr: addr} }

// Addr returns the peer's address.
func (c *Client) Addr() string { return c.addr }

// Ask sends a question and decodes the answer, both within limit. After a
// failure the connection is closed: an answer that comes late must not be taken
// for that to a later question, and a connection that has gone silent stays so.
func (c *Client) Ask(ctx context.Context, kind Kind, question msgp.Marshaler, answer msgp.Unmarshaler, limit time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.ask(ctx, kind, question, answer, time.Now().Add(limit))
	if err != nil {
		c.drop()
		return fmt.Errorf("ask %s: %w", c.addr, err)
	}
	return nil
}

func (c *Client) ask(ctx context.Context, kind Kind, question msgp.Marshaler, answer msgp.Unmarshaler, deadline time.Time) error {
	if c.nc != nil && !tcp.StillOpen(c.nc) {
		c.drop()
	}
	if c.nc == nil {
		nc, err := tcp.Dial(ctx, c.addr, time.Until(deadline))
		if err != nil {
			return err
		}
		c.nc, c.br = nc, bufio.NewReader(nc)
	}
	if err := c.nc.SetDeadline(deadline); err != nil {
		return err
	}
	frame, err := appendFrame(c.buf[:0], kind, question)
	if err != nil {
		return err
	}
	c.buf = frame
	if _, err := c.nc.Write(frame); err != nil {
		return err
	}
	got, payload, err := readFrame(c.br)
	if err != nil {
		return err
	}
	if got != kind {
		return fmt.Errorf("%w: kind %d in place of %d", ErrFrame, got, kind)
	}
	_, err = answer.UnmarshalMsg(payload)
	return err
}

func (c *Client) drop() {
	if c.nc != nil {
		_ = c.nc.Close()
		c.nc = nil
	}
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop()
}
