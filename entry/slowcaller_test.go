package entry_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/agent"
	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/entry"
	"github.com/heatherrail/heatherrail/internal/fake"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/settings"
	"github.com/heatherrail/heatherrail/wire"
)

// endless is an engine that produces output as fast as it is read.
type endless struct{ produced atomic.Int64 }

func (e *endless) Run(_ context.Context, call *outside.Call) (*outside.Reply, error) {
	if call.Path == "/short" {
		return &outside.Reply{Status: 200, Body: io.NopCloser(io.LimitReader(zeros{}, 100<<10))}, nil
	}
	return &outside.Reply{Status: 200, Body: io.NopCloser(io.TeeReader(zeros{}, e))}, nil
}

func (e *endless) Write(p []byte) (int, error) {
	e.produced.Add(int64(len(p)))
	return len(p), nil
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// pipeListener accepts in-memory connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }
func (l *pipeListener) dial(context.Context, string) (net.Conn, error) {
	a, b := net.Pipe()
	l.conns <- b
	return a, nil
}

// startPipe starts an entry and an agent that are connected in memory, in virtual time.
func startPipe(g *WithT, backend outside.Backend) (*entry.Entry, func()) {
	cfg, err := config.Load(smallConfig)
	g.Expect(err).NotTo(HaveOccurred())
	log, vms := fake.NewLog(), fake.NewVMList(0)
	raw, err := config.NewChange("first", 0, cfg)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = log.Append(context.Background(), [][]byte{raw})
	g.Expect(err).NotTo(HaveOccurred())
	vms.Put(outside.VM{ID: "1", Name: "drafter-01", Role: outside.RoleTarget, Address: "127.0.0.1:1", State: outside.StateLive})
	ln := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	a, err := agent.Start(agent.Options{
		Settings:    settings.Agent{Target: "drafter-01", Kind: settings.KindEngine, Queue: 100},
		Backend:     backend,
		Logger:      logr.Discard(),
		Metrics:     metrics.New(),
		Incarnation: 1,
		Listener:    ln,
	})
	g.Expect(err).NotTo(HaveOccurred())
	e, err := entry.Start(entry.Options{
		Settings:    settings.Entry{Name: "entry-1"},
		Log:         log,
		VMs:         vms,
		Logger:      logr.Discard(),
		Metrics:     metrics.New(),
		Incarnation: 1,
		Dial:        ln.dial,
		NoCallers:   true,
	})
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(5 * time.Second) // virtual time
	g.Expect(e.Linked()).To(Equal(1))
	return e, func() { e.Close(); a.Close() }
}

func startCall(g *WithT, e *entry.Entry, path string) *entry.Exchange {
	x, err := e.Do(context.Background(), e.Current(), &entry.Call{
		ID: path, Team: "kitchens", Service: "drafter", Method: "POST", Path: path,
		Repeatable: true, Deadline: time.Now().Add(time.Hour),
	})
	g.Expect(err).NotTo(HaveOccurred())
	return x
}

// A slow caller must hold back only its own engine run: the output produced for it stays within a
// window and a few buffers, and another answer over the same connection completes meanwhile.
func TestSlowCallerThrottlesOnlyItsOwnStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		backend := new(endless)
		e, stop := startPipe(g, backend)
		defer stop()
		slow := startCall(g, e, "/slow")
		defer slow.Close()
		synctest.Wait()
		time.Sleep(time.Minute)
		slowStreamBytes := backend.produced.Load()
		g.Expect(slowStreamBytes).To(BeNumerically("<=", wire.DefaultWindow+(16<<10)))

		fast := startCall(g, e, "/short")
		defer fast.Close()
		got := 0
		for {
			p, err := fast.Recv()
			got += len(p)
			if err == io.EOF {
				break
			}
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(got).To(Equal(100 << 10))
		g.Expect(backend.produced.Load()).To(Equal(slowStreamBytes))

		read := 0
		for read < 4*wire.DefaultWindow {
			p, err := slow.Recv()
			g.Expect(err).NotTo(HaveOccurred())
			read += len(p)
		}
		time.Sleep(time.Second)
		g.Expect(backend.produced.Load()).To(BeNumerically(">", slowStreamBytes))
		g.Expect(backend.produced.Load() - int64(read)).To(BeNumerically("<=", wire.DefaultWindow+(16<<10)))
	})
}
