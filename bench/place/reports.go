package place

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"

	"github.com/heatherrail/heatherrail/agent"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/settings"
	"github.com/heatherrail/heatherrail/wire"
)

// Load reports are measured on a real agent with real connections: what it sends
// to each entry, frame headers included, TCP's left out.
const (
	reportTime  = 6 * time.Second
	activeEvery = 400 * time.Millisecond // between the requests of an entry
	frameHeader = 13
)

var reportPeers = []int{8, 16, 32, 64}

// reportCase is one count of entries, all idle or all at work.
type reportCase struct {
	peers          int
	active         bool
	reports, bytes int64
	err            error
}

// reports adds the bytes a second that one target costs an entry, and that all
// its entries cost it. The cases run side by side; they wait most of the time.
func (b *suite) reports() error {
	var cases []*reportCase
	for _, peers := range reportPeers {
		cases = append(cases, &reportCase{peers: peers}, &reportCase{peers: peers, active: true})
	}
	var group conc.WaitGroup
	for _, c := range cases {
		group.Go(func() { c.reports, c.bytes, c.err = countReports(c.peers, c.active) })
	}
	group.Wait()
	for _, c := range cases {
		if c.err != nil {
			return c.err
		}
		state := "idle"
		if c.active {
			state = "working"
		}
		name := fmt.Sprintf("reports entries=%d %s", c.peers, state)
		perSecond := 1 / reportTime.Seconds()
		b.report.Add(name, "reports a second and link", "1/s", float64(c.reports)*perSecond/float64(c.peers))
		b.report.Add(name, "bytes a second and link", "B/s", float64(c.bytes)*perSecond/float64(c.peers))
		b.report.Add(name, "bytes a second of the agent", "B/s", float64(c.bytes)*perSecond)
	}
	return nil
}

// reportCounter is an entry that counts what it is told.
type reportCounter struct {
	reports, bytes *atomic.Int64
}

// ServeStream implements wire.Handler.
func (reportCounter) ServeStream(context.Context, *wire.Stream, wire.Method, []byte) {}

// ServeNote implements wire.Handler.
func (c reportCounter) ServeNote(_ *wire.Conn, n wire.Note, payload []byte) {
	if n == wire.NoteLoad {
		c.reports.Add(1)
		c.bytes.Add(int64(len(payload)) + frameHeader + 1)
	}
}

// answering is a backend that answers at once.
type answering struct{}

// Run implements outside.Backend.
func (answering) Run(context.Context, *outside.Call) (*outside.Reply, error) {
	return &outside.Reply{Status: 200, Body: io.NopCloser(strings.NewReader("data: x\n\n"))}, nil
}

func countReports(peers int, active bool) (reports, bytes int64, err error) {
	const incarnation = 1
	a, err := agent.Start(agent.Options{
		Settings:    settings.Agent{Target: "target", Listen: "127.0.0.1:0", Queue: 1024, Slots: engineSlots},
		Backend:     answering{},
		Logger:      logr.Discard(),
		Metrics:     metrics.New(),
		Incarnation: incarnation,
	})
	if err != nil {
		return 0, 0, fmt.Errorf("agent: %w", err)
	}
	defer a.Close()
	var n, size atomic.Int64
	var group conc.WaitGroup
	until := time.Now().Add(reportTime)
	for i := range peers {
		nc, err := net.Dial("tcp", a.Addr())
		if err != nil {
			return 0, 0, fmt.Errorf("dial: %w", err)
		}
		hello := wire.Hello{Name: fmt.Sprintf("entry-%d", i), Role: wire.RoleEntry, Incarnation: 1}
		conn, err := wire.Client(nc, hello, reportCounter{&n, &size}, wire.Options{})
		if err != nil {
			return 0, 0, fmt.Errorf("link: %w", err)
		}
		defer conn.Close()
		if active {
			group.Go(func() { ask(conn, incarnation, until) })
		}
	}
	time.Sleep(time.Until(until))
	group.Wait()
	return n.Load(), size.Load(), nil
}

// ask sends a request now and then.
func ask(conn *wire.Conn, incarnation uint64, until time.Time) {
	for time.Now().Before(until) {
		s, err := conn.Open(wire.MethodRequest, &wire.Request{
			Repeatable: true, DeadlineMs: 1000, AgentInc: incarnation,
			Sched: wire.Sched{Weight: 100, Prompt: 600, Decode: 100},
		})
		if err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		for err == nil {
			_, err = s.Recv(ctx)
		}
		cancel()
		s.Close()
		time.Sleep(activeEvery)
	}
}
