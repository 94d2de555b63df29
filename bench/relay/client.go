package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	benchKey    = "bench-key"
	readBuffer  = 16 << 10
	requestPath = "/v1/completions"
)

// client is one caller with one connection, to the stand-in itself or to the
// entry: the two differ in the address alone.
type client struct {
	base    time.Time
	addr    string
	nc      net.Conn
	br      *bufio.Reader
	delays  []time.Duration // of events, from the stand-in to here
	starts  []time.Duration // from a request to its first event
	wholes  []time.Duration // from a request to its end
	events  int
	bytes   int64
	scratch []byte
}

func (c *client) connect(ctx context.Context) error {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	c.nc = nc
	c.br = bufio.NewReaderSize(nc, readBuffer)
	return nil
}

// send writes a request.
func (c *client) send(o order) error {
	o.Model, o.Stream = service, true
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	text := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		requestPath, benchKey, len(body), body)
	if _, err := c.nc.Write(text); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	return nil
}

// run sends one order and reads its whole answer.
func (c *client) run(o order) error {
	begun := time.Now()
	if err := c.send(o); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body) // the status alone says enough if it is cut
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	if err := c.read(resp.Body, o, begun); err != nil {
		return err
	}
	c.wholes = append(c.wholes, time.Since(begun))
	return nil
}

var errShort = errors.New("the answer ended early")

// read takes events of a known size apart without allocating.
func (c *client) read(body io.Reader, o order, begun time.Time) error {
	if cap(c.scratch) < o.Bytes {
		c.scratch = make([]byte, o.Bytes)
	}
	event := c.scratch[:o.Bytes]
	for i := range o.Events {
		if _, err := io.ReadFull(body, event); err != nil {
			return fmt.Errorf("event %d: %w", i, err)
		}
		if i == 0 {
			c.starts = append(c.starts, time.Since(begun))
		}
		c.events++
		c.bytes += int64(len(event))
		if o.EveryU > 0 {
			sent, err := strconv.ParseInt(string(event[len(prefix):len(prefix)+stampWidth]), 10, 64)
			if err != nil {
				return fmt.Errorf("event %d: %w", i, err)
			}
			c.delays = append(c.delays, time.Since(c.base)-time.Duration(sent))
		}
	}
	tail, err := io.ReadAll(body)
	if err != nil {
		return fmt.Errorf("end: %w", err)
	}
	if !bytes.Equal(tail, []byte(last)) {
		return errShort
	}
	return nil
}

// forget drops what was measured so far.
func (c *client) forget() {
	c.delays, c.starts, c.wholes = nil, nil, nil
	c.events, c.bytes = 0, 0
}

func (c *client) close() {
	if c.nc != nil {
		_ = c.nc.Close()
	}
}
