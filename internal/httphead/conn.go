package httphead

import (
	"errors"
	"fmt"
	"io"
	"net"
)

// maxHeadBytes limits the head of a response that a Conn holds back until it is checked.
const maxHeadBytes = 16 << 10

// Conn is a connection of an HTTP client that writes a request and then reads its response. It passes the
// head of a response on after it has checked it.
type Conn struct {
	net.Conn
	inBody   bool   // the head of the latest response has been passed on
	held     []byte // bytes that are read and not passed on
	passable int    // length of the part of held that may be passed on
	writeErr error
}

// NewConn returns a Conn that uses nc.
func NewConn(nc net.Conn) *Conn { return &Conn{Conn: nc} }

// Write implements io.Writer. The first write after a response begins the next request.
func (c *Conn) Write(p []byte) (int, error) {
	if c.inBody {
		c.inBody, c.held, c.passable = false, nil, 0
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	for c.passable == 0 && !c.inBody {
		if err := c.readHead(); err != nil {
			return 0, err
		}
	}
	if c.passable > 0 {
		n := copy(p, c.held[:c.passable])
		c.held, c.passable = c.held[n:], c.passable-n
		return n, nil
	}
	n, err := c.Conn.Read(p)
	return n, EndError(err, c.writeErr)
}

// readHead reads until a head is complete. After an interim response another head follows.
func (c *Conn) readHead() error {
	var buf [4 << 10]byte
	for {
		length, status, err := Check(c.held)
		switch {
		case err != nil:
			return err
		case length > 0 && status < 200:
			c.passable = length
			return nil
		case length > 0:
			c.passable, c.inBody = len(c.held), true
			return nil
		case len(c.held) >= maxHeadBytes:
			return invalid("longer than %d bytes", maxHeadBytes)
		}
		n, err := c.Conn.Read(buf[:])
		c.held = append(c.held, buf[:n]...)
		if n == 0 && err != nil {
			if errors.Is(err, io.EOF) && len(c.held) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
}

// EndError returns the error for a read that ended with readErr on a connection on which a write has
// failed with writeErr. The kernel reports a reset once. If the write was told, the connection seems to
// end in the ordinary way, and a body that ends with it would seem whole.
func EndError(readErr, writeErr error) error {
	if writeErr == nil || !errors.Is(readErr, io.EOF) {
		return readErr
	}
	return fmt.Errorf("%w: the connection failed while the request was written: %w", io.ErrUnexpectedEOF, writeErr)
}
