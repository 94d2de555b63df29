package lockstep

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/peers"
)

// unansweringEngine does not answer its first orders.
type unansweringEngine struct {
	Engine
	unanswered int // number of first orders that get no answer
	orders     int
}

// Order implements Engine.
func (e *unansweringEngine) Order(context.Context, *peers.RankOrder) (peers.OrderResult, error) {
	e.orders++
	if e.orders <= e.unanswered {
		return peers.OrderResult{}, errNoAnswer
	}
	return peers.OrderResult{Accepted: true}, nil
}

// An engine does not answer an arm order while its group is held. Its agent must repeat the order
// at once: every stream would pause until the leader had detected the loss and repeated the order.
func TestUnansweredOrderIsRepeatedLocally(t *testing.T) {
	g := NewWithT(t)
	for unanswered, accepted := range map[int]bool{0: true, 1: true, localOrderAttempts - 1: true, localOrderAttempts: false} {
		e := &unansweringEngine{unanswered: unanswered}
		a := newAgent(Options{Engine: e, Log: logr.Discard(), Metrics: metrics.New()})
		result, err := a.order(&peers.RankOrder{Kind: peers.OrderArm, Epoch: 1, Version: 5, Step: 9})
		g.Expect(result.Accepted).To(Equal(accepted), "%d unanswered", unanswered)
		g.Expect(err == nil).To(Equal(accepted))
		g.Expect(e.orders).To(Equal(min(unanswered+1, localOrderAttempts)), "no more attempts than needed")
		a.cancel()
	}
}
