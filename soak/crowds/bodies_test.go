package crowds

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// refusals are the statuses of requests that have not run and never will.
var refusals = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusRequestEntityTooLarge: true, http.StatusTooManyRequests: true,
	http.StatusServiceUnavailable: true,
}

// expectNothingRan checks that no request of a crowd has reached the targets, apart from ordinary ones.
func (d *deployment) expectNothingRan() {
	d.t.Helper()
	requests, _ := d.held.Executions()
	NewWithT(d.t).Expect(requests).To(BeZero(), "requests of the crowd that ran")
}

// Bodies that stop just short of their end and stay open must not use up the memory.
func TestUnfinishedBodies(t *testing.T) {
	for name, chunkBytes := range map[string]int{"chunks of 64 kB": 64 << 10, "chunks of 4 kB": 4 << 10} {
		t.Run(name, func(t *testing.T) {
			d := startGateway(t, options{})
			c := newCrowd(t, d.callers)
			piece := chunk(chunkBytes)
			c.come(60, func(i int, cl *client) {
				if !cl.send(head(heldRoute, fmt.Sprintf("u-%d", i), chunked)) {
					return
				}
				for sent := 0; sent < maxBodyBytes-chunkBytes; sent += chunkBytes {
					if !cl.send(piece) {
						return
					}
				}
				cl.send(chunk(chunkBytes - 1))
			})
			d.expectSurvives(c)
			d.expectNothingRan()
		})
	}
}

// A chunk that is announced and not sent must not reserve memory.
func TestAnnouncedChunks(t *testing.T) {
	d := startGateway(t, options{})
	c := newCrowd(t, d.callers)
	c.come(150, func(i int, cl *client) {
		cl.send(head(heldRoute, fmt.Sprintf("a-%d", i), chunked), fmt.Appendf(nil, "%x\r\nabc", maxBodyBytes))
	})
	d.expectSurvives(c)
	d.expectNothingRan()
}

// A body that is announced and not sent must not reserve memory, whether the client waits for an interim response or not.
func TestAnnouncedBodies(t *testing.T) {
	for name, act := range map[string]func(i int, cl *client){
		"one byte": func(i int, cl *client) {
			cl.send(head(heldRoute, fmt.Sprintf("b-%d", i), announced(maxBodyBytes)), []byte("x"))
		},
		"expect continue": func(i int, cl *client) {
			cl.send(head(heldRoute, fmt.Sprintf("e-%d", i), announced(maxBodyBytes), "Expect: 100-continue"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := startGateway(t, options{limits: limits{memoryMB: 96, files: 1500}})
			c := newCrowd(t, d.callers)
			c.come(300, act)
			d.expectSurvives(c)
			d.expectNothingRan()
		})
	}
}

// Bodies far over the configured limit are refused while they are sent, and cost no memory.
func TestBodiesOverTheLimit(t *testing.T) {
	d := startGateway(t, options{})
	c := newCrowd(t, d.callers)
	const size = 15 << 20
	c.come(30, func(i int, cl *client) {
		cl.send(head(heldRoute, fmt.Sprintf("o-%d", i), announced(size)), make([]byte, size-1))
	})
	NewWithT(t).Expect(c.statuses(time.Second)).To(HaveKey(http.StatusRequestEntityTooLarge))
	d.expectSurvives(c)
	d.expectNothingRan()
}

// A body without end is refused while it is sent.
func TestBodiesWithoutEnd(t *testing.T) {
	d := startGateway(t, options{})
	c := newCrowd(t, d.callers)
	piece := chunk(256 << 10)
	c.come(30, func(i int, cl *client) {
		cl.send(head(heldRoute, fmt.Sprintf("w-%d", i), chunked))
		for range 200 {
			if !cl.send(piece) {
				return
			}
		}
	})
	d.expectSurvives(c)
	d.expectNothingRan()
}

// Many whole bodies at once, with targets at work, wait within the memory or are refused as not run.
func TestWholeBodiesAtOnce(t *testing.T) {
	d := startGateway(t, options{})
	d.held.Work.Store(int64(2 * time.Second))
	c := newCrowd(t, d.callers)
	body := make([]byte, maxBodyBytes)
	c.come(60, func(i int, cl *client) {
		cl.send(head(heldRoute, fmt.Sprintf("f-%d", i), announced(len(body))), body)
	})
	d.expectService("with the crowd there")
	counts := c.statuses(20 * time.Second)
	t.Logf("responses by status: %v", counts)
	requests, longest := d.held.Executions()
	g := NewWithT(t)
	g.Expect(requests).To(BeNumerically(">", 0), "requests that ran")
	g.Expect(longest).To(Equal(maxBodyBytes))
	refused := 0
	for status, n := range counts {
		if refusals[status] {
			refused += n
		}
	}
	g.Expect(requests+refused).To(BeNumerically("<=", 60), "requests that ran, and those that were refused as not run")
	d.expectSurvives(c)
}

// Clients that send part of a body and leave, again and again, must not drive the memory beyond its limit before it is collected.
func TestBodiesThatComeAndGo(t *testing.T) {
	d := startGateway(t, options{})
	part := make([]byte, 1<<20)
	for round := range 15 {
		c := newCrowd(t, d.callers)
		c.come(60, func(i int, cl *client) {
			cl.send(head(heldRoute, fmt.Sprintf("g-%d-%d", round, i), announced(maxBodyBytes)), part)
		})
		c.leave()
	}
	d.expectSurvives(newCrowd(t, d.callers))
	d.expectNothingRan()
}

// Bytes that clients send behind a request that runs stay in the kernel. They count to the memory too.
func TestBytesBehindRunningRequests(t *testing.T) {
	d := startGateway(t, options{})
	d.held.Work.Store(int64(4 * time.Second))
	c := newCrowd(t, d.callers)
	behind := make([]byte, 4<<20)
	c.come(60, func(i int, cl *client) {
		cl.send(head(heldRoute, fmt.Sprintf("p-%d", i), announced(1<<20)), behind[:1<<20], behind)
	})
	d.expectSurvives(c)
}

// Responses that clients do not read must not use up the memory.
func TestUnreadResponses(t *testing.T) {
	d := startGateway(t, options{})
	d.held.AnswerBytes.Store(4 << 20)
	c := newCrowd(t, d.callers)
	c.come(60, func(i int, cl *client) {
		cl.send(head(heldRoute, fmt.Sprintf("r-%d", i), announced(1)), []byte("x"))
	})
	time.Sleep(2 * time.Second) // the responses arrive
	d.expectSurvives(c)
}

// many are limits with descriptors for a crowd that holds little on each connection.
var many = limits{memoryMB: 96, files: 1500}

// Heads inside the limit with thousands of short fields take many times their length when they are parsed.
func TestHeadsWithManyFields(t *testing.T) {
	var lines []string
	for i := range 3000 {
		lines = append(lines, fmt.Sprintf("%c:", 'a'+i%26))
	}
	for name, body := range map[string]int{"whole": 1, "unfinished": 2} {
		t.Run(name, func(t *testing.T) {
			d := startGateway(t, options{limits: many})
			d.held.Work.Store(int64(2 * time.Second))
			c := newCrowd(t, d.callers, addresses...)
			h := append(lines, announced(body))
			c.come(400, func(i int, cl *client) { cl.send(head(heldRoute, fmt.Sprintf("h-%d", i), h...), []byte("x")) })
			d.expectSurvives(c)
		})
	}
}

// Bodies of which a byte comes now and then must not keep the memory that others need.
func TestTricklingBodies(t *testing.T) {
	d := startGateway(t, options{limits: many})
	c := newCrowd(t, d.callers, addresses...)
	c.come(300, func(i int, cl *client) {
		if !cl.send(head(heldRoute, fmt.Sprintf("t-%d", i), announced(maxBodyBytes)), make([]byte, 400<<10)) {
			return
		}
		go func() {
			for cl.send([]byte("x")) {
				time.Sleep(100 * time.Millisecond)
			}
		}()
	})
	d.expectSurvives(c)
	d.expectNothingRan()
}

// Short responses that clients do not read stay in the kernel, many on each connection.
func TestUnreadShortResponses(t *testing.T) {
	d := startGateway(t, options{limits: many})
	d.held.AnswerBytes.Store(60 << 10)
	c := newCrowd(t, d.callers, addresses...)
	c.come(500, func(i int, cl *client) {
		for n := range 8 {
			if !cl.send(head(heldRoute, fmt.Sprintf("s-%d-%d", i, n), announced(1)), []byte("x")) {
				return
			}
		}
	})
	time.Sleep(2 * time.Second) // the responses arrive
	d.expectSurvives(c)
}
