package crowds

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// addresses are those that crowds of connections come from.
var addresses = []string{"127.0.0.11", "127.0.0.12", "127.0.0.13", "127.0.0.14"}

// Silent connections must not keep the descriptors that ordinary callers need, at any port.
func TestSilentConnections(t *testing.T) {
	for name, port := range ports {
		t.Run(name, func(t *testing.T) {
			d := startGateway(t, options{})
			c := newCrowd(t, port(d), addresses...)
			c.come(1500, nil)
			d.expectSurvives(c)
		})
	}
}

// Parts of heads must not keep the descriptors or the memory that ordinary callers need, at any port.
func TestHalfHeads(t *testing.T) {
	for name, port := range ports {
		t.Run(name, func(t *testing.T) {
			d := startGateway(t, options{})
			c := newCrowd(t, port(d), addresses...)
			part := append([]byte("GET /heatherrail/ready HTTP/1.1\r\nHost: h\r\nX-Long: "), bytes.Repeat([]byte("x"), 3<<10)...)
			c.come(1500, func(_ int, cl *client) { cl.send(part) })
			d.expectSurvives(c)
		})
	}
}

// ports are those that a gateway listens on.
var ports = map[string]func(d *deployment) string{
	"callers":   func(d *deployment) string { return d.callers },
	"readiness": func(d *deployment) string { return d.ready },
	"directory": func(d *deployment) string { return d.directory },
	"peers":     func(d *deployment) string { return d.peers },
	"metrics":   func(d *deployment) string { return d.metrics },
}

// A gateway that has run out of descriptors accepts connections again once it has some, and its readiness check says so.
func TestDescriptorsRunOut(t *testing.T) {
	d := startGateway(t, options{})
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	d.limitFiles(len(files) + 20)
	c := newCrowd(t, d.callers, addresses...)
	c.come(100, nil)
	others := make(map[string]*crowd)
	for name, port := range ports {
		others[name] = newCrowd(t, port(d), addresses...)
		others[name].come(20, nil)
	}
	c.leave()
	for _, other := range others {
		other.leave()
	}
	d.expectService("afterwards")
	d.expectWithinLimits()
}

// Connections that send no whole head are closed once the time for it is over, at any port.
func TestSilentConnectionsAreClosed(t *testing.T) {
	d := startGateway(t, options{})
	crowds := make(map[string]*crowd)
	for name, port := range ports {
		c := newCrowd(t, port(d))
		c.come(1, nil)
		c.come(1, func(_ int, cl *client) { cl.send([]byte("GET /")) })
		crowds[name] = c
	}
	for name, c := range crowds {
		t.Run(name, func(t *testing.T) {
			for _, cl := range c.clients {
				_ = cl.SetReadDeadline(time.Now().Add(patience))
				_, err := io.Copy(io.Discard, cl)
				NewWithT(t).Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse(), "the connection is closed")
			}
		})
	}
	d.expectWithinLimits()
}

// Connections that ask and then stay idle must not keep the room of those that come later.
func TestIdleConnections(t *testing.T) {
	d := startGateway(t, options{})
	c := newCrowd(t, d.callers, addresses...)
	c.come(600, func(i int, cl *client) {
		cl.send(head(plainRoute, fmt.Sprintf("i-%d", i), announced(1)), []byte("x"))
		cl.response(answerTimeout)
	})
	d.expectSurvives(c)
}

// Requests that run, from a few addresses, must not take the connections that other callers need.
func TestRunningRequestsFromFewAddresses(t *testing.T) {
	d := startGateway(t, options{})
	d.held.Work.Store(int64(time.Minute))
	c := newCrowd(t, d.callers, addresses...)
	c.come(300, func(i int, cl *client) { cl.send(head(heldRoute, fmt.Sprintf("r-%d", i), announced(1)), []byte("x")) })
	d.expectSurvives(c)
}

// Clients that connect again whenever their connection is closed must not keep out others, whatever they send.
func TestReconnectingConnections(t *testing.T) {
	for name, act := range map[string]func(i int, cl *client){
		"silent":         func(int, *client) {},
		"part of a head": func(_ int, cl *client) { cl.send([]byte("POST /")) },
		"running requests": func(i int, cl *client) {
			cl.send(head(heldRoute, fmt.Sprintf("r-%d-%p", i, cl), announced(1)), []byte("x"))
		},
		"unfinished bodies": func(i int, cl *client) {
			cl.send(head(heldRoute, fmt.Sprintf("u-%d-%p", i, cl), announced(maxBodyBytes)), make([]byte, 512<<10))
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := startGateway(t, options{})
			d.held.Work.Store(int64(time.Minute))
			leave := newCrowd(t, d.callers, addresses...).reconnect(600, act)
			time.Sleep(time.Second) // the crowd takes what it can
			d.expectService("with the crowd there")
			leave()
			d.expectService("afterwards")
			d.expectWithinLimits()
		})
	}
}

// pipelined sends short requests until nothing more is taken, and reads no response.
func pipelined(path string) func(i int, cl *client) {
	requests := bytes.Repeat(fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path), 1000)
	return func(_ int, cl *client) {
		for range 200 {
			if !cl.send(requests) {
				return
			}
		}
	}
}

// Responses of the ports for short requests that are not read stay in the kernel. They count to the memory too.
func TestUnreadResponsesOfPorts(t *testing.T) {
	crowd := 300
	lessMemory := limits{memoryMB: 64, files: many.files}
	for name, path := range map[string]string{"readiness": "/heatherrail/ready", "directory": "/heatherrail/resolve", "metrics": "/metrics"} {
		t.Run("gateway, "+name, func(t *testing.T) {
			d := startGateway(t, options{limits: lessMemory})
			c := newCrowd(t, ports[name](d), addresses...)
			c.come(crowd, pipelined(path))
			d.expectSurvives(c)
		})
	}
	t.Run("entry of our own form", func(t *testing.T) {
		d := startOwn(t)
		c := newCrowd(t, d.callers, addresses...)
		c.come(crowd, pipelined("/readyz"))
		d.expectSurvives(c)
	})
}
