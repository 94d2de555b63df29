package lockstep

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/peers"
)

// stuckEngine does not answer until release is closed, and ignores contexts.
type stuckEngine struct {
	Engine
	asked   chan struct{}
	release chan struct{}
}

func (e *stuckEngine) State(context.Context) (peers.RankState, error) {
	e.asked <- struct{}{}
	<-e.release
	return peers.RankState{}, nil
}

// A task of the agent waits for an engine. The shutdown must end with its context and not with the
// task, since the platform kills the process at the end of the grace period.
func TestShutdownEndsWithItsContext(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	e := &stuckEngine{asked: make(chan struct{}, 1), release: make(chan struct{})}
	a := Start(Options{Engine: e, Log: logr.Discard(), Metrics: metrics.New()}, ln)
	<-e.asked
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- a.Shutdown(ctx) }()
	g.Eventually(stopped, "2s").Should(Receive(MatchError(context.DeadlineExceeded)))
	close(e.release)
	a.tasks.Wait()
}
