package crowds

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/platform/standin"
)

// smallest are the limits of the smallest machine of the users' sheets that runs a gateway.
var smallest = limits{memoryMB: 136, files: 2870}

// answered sends a request with a body on a connection of its own and reports whether it is answered whole.
func (d *deployment) answered(body io.Reader, length int64) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.callers+plainRoute+"x", body)
	if err != nil {
		return false
	}
	req.Host, req.ContentLength = host, length
	req.Header.Set("X-Request-Id", fmt.Sprintf("inside-%d", d.requests.Add(1)))
	req.Header.Set("X-Key", key)
	req.Header.Set("X-Deadline-Ms", "20000")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

const unknownLength = -1

// A body of the configured limit is served in calm, whole or in chunks; one byte more is not.
func TestBodyAtTheLimit(t *testing.T) {
	for name, c := range map[string]struct {
		limits limits
		bytes  int
	}{
		"smallest machine":                   {smallest, maxBodyBytes},
		"lowered limits":                     {lowered, maxBodyBytes},
		"limit of 20 MB on a larger machine": {limits{memoryMB: 536, files: 8192}, 20 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := startGateway(t, options{limits: c.limits, maxBodyBytes: c.bytes})
			for range 3 {
				g.Expect(d.answered(bytes.NewReader(make([]byte, c.bytes)), int64(c.bytes))).To(BeTrue(), "with a length")
				g.Expect(d.answered(bytes.NewReader(make([]byte, c.bytes)), unknownLength)).To(BeTrue(), "in chunks")
			}
			ran, longest := d.plain.Executions()
			g.Expect(longest).To(Equal(c.bytes))
			g.Expect(d.answered(bytes.NewReader(make([]byte, c.bytes+1)), int64(c.bytes+1))).To(BeFalse())
			g.Expect(d.answered(bytes.NewReader(make([]byte, c.bytes+1)), unknownLength)).To(BeFalse())
			after, _ := d.plain.Executions()
			g.Expect(after).To(Equal(ran), "requests over the limit do not run")
			d.expectWithinLimits()
		})
	}
}

// A head of the configured limit is served.
func TestHeadAtTheLimit(t *testing.T) {
	g := NewWithT(t)
	d := startGateway(t, options{limits: smallest})
	c := newCrowd(t, d.callers)
	lines := "X-Long: " + strings.Repeat("x", maxHeadBytes-256)
	c.come(1, func(_ int, cl *client) { cl.send(head(plainRoute, "long", lines, announced(1)), []byte("x")) })
	g.Expect(c.statuses(answerTimeout)).To(Equal(map[int]int{http.StatusOK: 1}))
	d.expectWithinLimits()
}

// A client that takes long for its head, or for its body, is served while it stays inside header-timeout-ms and its deadline.
func TestSlowClientInsideItsTimes(t *testing.T) {
	const slow = 11 * time.Second
	d := startGateway(t, options{headerTimeout: 15 * time.Second})
	c := newCrowd(t, d.callers)
	c.come(2, func(i int, cl *client) {
		h := head(plainRoute, fmt.Sprintf("slow-%d", i), announced(64))
		request := append(h, make([]byte, 64)...)
		first := len(h) / 2
		if i == 1 {
			first = len(h)
		}
		cl.send(request[:first])
		time.Sleep(slow)
		cl.send(request[first:])
	})
	NewWithT(t).Expect(c.statuses(answerTimeout)).To(Equal(map[int]int{http.StatusOK: 2}))
	d.expectWithinLimits()
}

// A request that stops within its body is refused as not run once its deadline has passed, and not held for longer.
func TestUnfinishedBodyIsRefusedAtItsDeadline(t *testing.T) {
	g := NewWithT(t)
	d := startGateway(t, options{})
	c := newCrowd(t, d.callers)
	request := bytes.Replace(head(heldRoute, "late", announced(64)), []byte("X-Deadline-Ms: 20000"), []byte("X-Deadline-Ms: 1000"), 1)
	c.come(1, func(_ int, cl *client) { cl.send(request, []byte("x")) })
	for status := range c.statuses(answerTimeout) {
		g.Expect(refusals).To(HaveKey(status))
	}
	d.expectNothingRan()
	d.expectWithinLimits()
}

// Requests that need no body to be refused are answered on their head.
func TestRefusedOnTheHead(t *testing.T) {
	d := startGateway(t, options{})
	for name, c := range map[string]struct {
		head   []byte
		status int
	}{
		"no route":           {head("/nowhere/", "n-1", chunked), http.StatusNotFound},
		"unknown key":        {bytes.Replace(head(heldRoute, "n-2", chunked), []byte("X-Key: key"), []byte("X-Key: no"), 1), http.StatusUnauthorized},
		"announced too much": {append(head(heldRoute, "n-3", announced(maxBodyBytes+1)), 'x'), http.StatusRequestEntityTooLarge},
		"expect continue":    {head(heldRoute, "n-4", announced(maxBodyBytes+1), "Expect: 100-continue"), http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			crowd := newCrowd(t, d.callers)
			crowd.come(1, func(_ int, cl *client) { cl.send(c.head) })
			NewWithT(t).Expect(crowd.statuses(answerTimeout)).To(Equal(map[int]int{c.status: 1}))
		})
	}
	d.expectNothingRan()
	d.expectWithinLimits()
}

// An ordinary client may wait for the interim response before it sends its body.
func TestExpectContinueIsServed(t *testing.T) {
	g := NewWithT(t)
	d := startGateway(t, options{})
	cl, err := dial(d.callers, "")
	g.Expect(err).NotTo(HaveOccurred())
	defer cl.Close()
	g.Expect(cl.send(head(plainRoute, "c-1", announced(3), "Expect: 100-continue"))).To(BeTrue())
	interim, err := cl.responses.ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(interim).To(HavePrefix("HTTP/1.1 100"))
	_, err = cl.responses.ReadString('\n')
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cl.send([]byte("abc"))).To(BeTrue())
	g.Expect(cl.response(answerTimeout)).To(HaveField("StatusCode", http.StatusOK))
	_, longest := d.plain.Executions()
	g.Expect(longest).To(Equal(3))
}

// Ordinary callers are served by connections that they keep, while a crowd of bodies without end comes and goes.
func TestKeptConnectionsBesideACrowd(t *testing.T) {
	g := NewWithT(t)
	d := startGateway(t, options{})
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	defer transport.CloseIdleConnections()
	ask := func(i int) standin.Response {
		return standin.Send(transport, d.callers, standin.Request{Host: host, Path: plainRoute, ID: fmt.Sprintf("k-%d", i), Key: key, Timeout: answerTimeout})
	}
	for i := range 20 {
		c := newCrowd(t, d.callers)
		c.come(30, func(j int, cl *client) {
			cl.send(head(heldRoute, fmt.Sprintf("s-%d-%d", i, j), announced(maxBodyBytes)), make([]byte, 200<<10))
		})
		g.Eventually(func() int { return ask(i).Status }, patience).Should(Equal(http.StatusOK))
		c.leave()
	}
	d.expectWithinLimits()
}
