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

// client is a caller with one connection, either directly to the stand-in or to the entry.
type client struct {
	base            time.Time
	addr            string
	nc              net.Conn
	br              *bufio.Reader
	eventDelays     []time.Duration // time that each event took from the stand-in to the client
	firstEventTimes []time.Duration // from sending a request to its first event
	totalTimes      []time.Duration // from sending a request to the end of its answer
	events          int
	bytes           int64
	scratch         []byte
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

// send writes a request to the connection.
func (c *client) send(request streamRequest) error {
	request.Model, request.Stream = serviceName, true
	body, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	text := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		requestPath, benchKey, len(body), body)
	if _, err := c.nc.Write(text); err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	return nil
}

// run sends a request and reads its whole answer.
func (c *client) run(request streamRequest) error {
	start := time.Now()
	if err := c.send(request); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body) // if the body is truncated, the status alone is reported
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	if err := c.readEvents(resp.Body, request, start); err != nil {
		return err
	}
	c.totalTimes = append(c.totalTimes, time.Since(start))
	return nil
}

var errTruncated = errors.New("answer truncated: no [DONE] event at its end")

// readEvents reads events of a known size without allocating, and records their times.
func (c *client) readEvents(body io.Reader, request streamRequest, start time.Time) error {
	if cap(c.scratch) < request.Bytes {
		c.scratch = make([]byte, request.Bytes)
	}
	event := c.scratch[:request.Bytes]
	for i := range request.Events {
		if _, err := io.ReadFull(body, event); err != nil {
			return fmt.Errorf("event %d: %w", i, err)
		}
		if i == 0 {
			c.firstEventTimes = append(c.firstEventTimes, time.Since(start))
		}
		c.events++
		c.bytes += int64(len(event))
		if request.EventIntervalUS > 0 {
			sentAt, err := strconv.ParseInt(string(event[len(eventPrefix):len(eventPrefix)+stampWidth]), 10, 64)
			if err != nil {
				return fmt.Errorf("event %d: %w", i, err)
			}
			c.eventDelays = append(c.eventDelays, time.Since(c.base)-time.Duration(sentAt))
		}
	}
	tail, err := io.ReadAll(body)
	if err != nil {
		return fmt.Errorf("read end of answer: %w", err)
	}
	if !bytes.Equal(tail, []byte(doneEvent)) {
		return errTruncated
	}
	return nil
}

// resetMeasurements discards the measurements so far.
func (c *client) resetMeasurements() {
	c.eventDelays, c.firstEventTimes, c.totalTimes = nil, nil, nil
	c.events, c.bytes = 0, 0
}

func (c *client) close() {
	if c.nc != nil {
		_ = c.nc.Close()
	}
}
