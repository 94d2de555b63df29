package crowds

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// client is one connection of a client that does not behave.
type client struct {
	net.Conn
	responses *bufio.Reader
}

// writeTimeout ends the write of a client that is not read from. It bounds how long a crowd takes, not what is checked.
const writeTimeout = 4 * time.Second

// dial connects from an address; "": any.
func dial(address, from string) (*client, error) {
	d := net.Dialer{Timeout: writeTimeout}
	if from != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	nc, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &client{Conn: nc, responses: bufio.NewReader(nc)}, nil
}

// send writes until an error or the timeout, and returns whether all was written.
func (c *client) send(parts ...[]byte) bool {
	for _, p := range parts {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return false
		}
		if _, err := c.Write(p); err != nil {
			return false
		}
	}
	return true
}

// response reads a response, nil if there is none.
func (c *client) response(timeout time.Duration) *http.Response {
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil
	}
	resp, err := http.ReadResponse(c.responses, nil)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp
}

// head returns the head of a request with some more lines.
func head(path, id string, lines ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Key: %s\r\nX-Deadline-Ms: 20000\r\n", path, host, id, key)
	for _, line := range lines {
		fmt.Fprintf(&b, "%s\r\n", line)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

const chunked = "Transfer-Encoding: chunked"

func announced(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

// chunk returns one chunk of a body.
func chunk(size int) []byte {
	b := fmt.Appendf(nil, "%x\r\n", size)
	b = append(b, make([]byte, size)...)
	return append(b, "\r\n"...)
}

// crowd runs clients side by side and keeps their connections open until the end of the test.
type crowd struct {
	t       *testing.T
	address string
	from    []string // addresses of the clients, by turns; none: any

	mu      sync.Mutex
	clients []*client
}

func newCrowd(t *testing.T, address string, from ...string) *crowd {
	c := &crowd{t: t, address: address, from: from}
	t.Cleanup(c.leave)
	return c
}

// maxConnecting is how many clients of a crowd act at the same moment.
const maxConnecting = 256

// come lets n clients connect and act, and waits for them. A client whose connection is refused or closed is done.
func (c *crowd) come(n int, act func(i int, cl *client)) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxConnecting)
	for i := range n {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			from := ""
			if len(c.from) > 0 {
				from = c.from[i%len(c.from)]
			}
			cl, err := dial(c.address, from)
			if err != nil {
				return
			}
			c.mu.Lock()
			c.clients = append(c.clients, cl)
			c.mu.Unlock()
			if act != nil {
				act(i, cl)
			}
		})
	}
	wait.Wait()
}

// reconnectPause is how long a client waits before it connects again.
const reconnectPause = 20 * time.Millisecond

// reconnect lets n clients connect and act, and again whenever their connection is closed, until the returned function is called.
func (c *crowd) reconnect(n int, act func(i int, cl *client)) (leave func()) {
	var clients sync.WaitGroup
	var left atomic.Bool
	open := make([]atomic.Pointer[client], n)
	for i := range open {
		clients.Go(func() {
			for ; !left.Load(); time.Sleep(reconnectPause) {
				cl, err := dial(c.address, c.from[i%len(c.from)])
				if err != nil {
					continue
				}
				open[i].Store(cl)
				if !left.Load() {
					act(i, cl)
					_, _ = io.Copy(io.Discard, cl) // until the connection is closed
				}
				_ = cl.Close()
			}
		})
	}
	leave = sync.OnceFunc(func() {
		left.Store(true)
		for i := range open {
			if cl := open[i].Load(); cl != nil {
				_ = cl.Close()
			}
		}
		clients.Wait()
	})
	c.t.Cleanup(leave)
	return leave
}

// leave closes the connections of the crowd.
func (c *crowd) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cl := range c.clients {
		_ = cl.Close()
	}
	c.clients = nil
}

// statuses reads a response on each connection and counts the responses by status; 0: none.
func (c *crowd) statuses(timeout time.Duration) map[int]int {
	c.mu.Lock()
	clients := c.clients
	c.mu.Unlock()
	counts := make(map[int]int)
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, cl := range clients {
		wait.Go(func() {
			status := 0
			if resp := cl.response(timeout); resp != nil {
				status = resp.StatusCode
			}
			mu.Lock()
			defer mu.Unlock()
			counts[status]++
		})
	}
	wait.Wait()
	return counts
}

// expectSurvives checks what must hold for each crowd: with the crowd there and after it the process serves ordinary callers, and
// it has stayed within its limits.
func (d *deployment) expectSurvives(c *crowd) {
	d.t.Helper()
	d.expectService("with the crowd there")
	c.leave()
	d.expectService("afterwards")
	d.expectWithinLimits()
}
