package lockstep

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/peers"
)

// muteEngine leaves orders unanswered until its turn.
type muteEngine struct {
	Engine
	mute  int // orders that get no answer
	given int
}

// Order implements Engine.
func (e *muteEngine) Order(context.Context, *peers.RankOrder) (peers.OrderResult, error) {
	e.given++
	if e.given <= e.mute {
		return peers.OrderResult{}, errNoAnswer
	}
	return peers.OrderResult{Accepted: true}, nil
}

// An engine leaves an arm unanswered while its group is held. The agent beside it
// gives it again at once; if the leader had to find out and ask again, every stream
// of the group would pause for that long.
func TestAnUnansweredOrderIsGivenAgainOnTheSpot(t *testing.T) {
	g := NewWithT(t)
	for mute, taken := range map[int]bool{0: true, 1: true, ownTries - 1: true, ownTries: false} {
		e := &muteEngine{mute: mute}
		a := newAgent(Options{Engine: e, Log: logr.Discard(), Metrics: metrics.New()})
		result, err := a.order(&peers.RankOrder{Kind: peers.OrderArm, Epoch: 1, Version: 5, Step: 9})
		g.Expect(result.Accepted).To(Equal(taken), "%d unanswered", mute)
		g.Expect(err == nil).To(Equal(taken))
		g.Expect(e.given).To(Equal(min(mute+1, ownTries)), "no more than needed")
		a.cancel()
	}
}
