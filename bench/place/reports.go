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

// Load reports are measured on a real agent with real connections. Their size includes the
// frame headers of the wire protocol but not those of TCP.
const (
	reportDuration   = 6 * time.Second
	activeInterval   = 400 * time.Millisecond // between requests of an entry
	frameHeaderBytes = 13
)

var reportPeerCounts = []int{8, 16, 32, 64}

// reportCase is one measurement of the load reports of an agent, with a number of entries that are
// all idle or all send requests.
type reportCase struct {
	peers          int
	active         bool
	reports, bytes int64
	err            error
}

// benchReports adds the reports and bytes per second that an agent sends to each entry, and the
// bytes per second to all of them. The cases run concurrently, since they mostly wait.
func (b *suite) benchReports() error {
	var cases []*reportCase
	for _, peers := range reportPeerCounts {
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
		perSecond := 1 / reportDuration.Seconds()
		b.report.Add(name, "reports a second and link", "1/s", float64(c.reports)*perSecond/float64(c.peers))
		b.report.Add(name, "bytes a second and link", "B/s", float64(c.bytes)*perSecond/float64(c.peers))
		b.report.Add(name, "bytes a second of the agent", "B/s", float64(c.bytes)*perSecond)
	}
	return nil
}

// reportCounter counts the load reports that an entry receives, and their bytes.
type reportCounter struct {
	reports, bytes *atomic.Int64
}

// ServeStream implements wire.Handler.
func (reportCounter) ServeStream(context.Context, *wire.Stream, wire.Method, []byte) {}

// ServeNote implements wire.Handler.
func (c reportCounter) ServeNote(_ *wire.Conn, n wire.Note, payload []byte) {
	if n == wire.NoteLoad {
		c.reports.Add(1)
		c.bytes.Add(int64(len(payload)) + frameHeaderBytes + 1)
	}
}

// immediateBackend is a backend that answers without delay.
type immediateBackend struct{}

// Run implements outside.Backend.
func (immediateBackend) Run(context.Context, *outside.Call) (*outside.Reply, error) {
	return &outside.Reply{Status: 200, Body: io.NopCloser(strings.NewReader("data: x\n\n"))}, nil
}

// countReports connects a number of entries to an agent and counts the load reports that they
// receive in reportDuration.
func countReports(peers int, active bool) (reports, bytes int64, err error) {
	const incarnation = 1
	a, err := agent.Start(agent.Options{
		Settings:    settings.Agent{Target: "target", Listen: "127.0.0.1:0", Queue: 1024, Slots: engineSlots},
		Backend:     immediateBackend{},
		Logger:      logr.Discard(),
		Metrics:     metrics.New(),
		Incarnation: incarnation,
	})
	if err != nil {
		return 0, 0, fmt.Errorf("start agent: %w", err)
	}
	defer a.Close()
	var reportCount, byteCount atomic.Int64
	var group conc.WaitGroup
	end := time.Now().Add(reportDuration)
	for i := range peers {
		tcpConn, err := net.Dial("tcp", a.Addr())
		if err != nil {
			return 0, 0, fmt.Errorf("dial agent: %w", err)
		}
		hello := wire.Hello{Name: fmt.Sprintf("entry-%d", i), Role: wire.RoleEntry, Incarnation: 1}
		conn, err := wire.Client(tcpConn, hello, reportCounter{&reportCount, &byteCount}, wire.Options{})
		if err != nil {
			return 0, 0, fmt.Errorf("wire handshake with agent: %w", err)
		}
		defer conn.Close()
		if active {
			group.Go(func() { sendRequests(conn, incarnation, end) })
		}
	}
	time.Sleep(time.Until(end))
	group.Wait()
	return reportCount.Load(), byteCount.Load(), nil
}

// sendRequests sends requests one after the other, with a pause of activeInterval, until the
// given time.
func sendRequests(conn *wire.Conn, incarnation uint64, end time.Time) {
	for time.Now().Before(end) {
		stream, err := conn.Open(wire.MethodRequest, &wire.Request{
			Repeatable: true, DeadlineMs: 1000, AgentInc: incarnation,
			Sched: wire.Sched{Weight: 100, Prompt: 600, Decode: 100},
		})
		if err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		for err == nil {
			_, err = stream.Recv(ctx)
		}
		cancel()
		stream.Close()
		time.Sleep(activeInterval)
	}
}
