package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/control"
	"github.com/heatherrail/heatherrail/internal/fake"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

func bareAgent(engine *fake.OrderedEngine, incarnation uint64) *Agent {
	return &Agent{
		opts:   Options{Incarnation: incarnation, Metrics: metrics.New()},
		log:    logr.Discard(),
		config: newConfigState(),
		orders: newOrders(engine, 0),
	}
}

func code(err error) result.Code {
	if err == nil {
		return result.OK
	}
	return result.From(err).Code
}

// The caller of an entry that is cut off from everyone sees "not run" instead of an
// overtaken policy. In order: the agent hears of version 8 from another entry, work
// stamped 7 passes for the grace and is refused after it, also when 9 arrives.
func TestOvertakenVersionIsRefusedAfterGrace(t *testing.T) {
	g := NewWithT(t)
	a := bareAgent(nil, 1)
	start := time.Unix(1000, 0)
	g.Expect(a.overtaken(7, start)).To(BeFalse(), "nothing newer was heard of")
	a.heardVersion(8, start)
	g.Expect(a.overtaken(7, start.Add(defaultStaleGrace))).To(BeFalse())
	a.heardVersion(9, start.Add(defaultStaleGrace))
	late := start.Add(defaultStaleGrace + time.Second)
	g.Expect(a.overtaken(7, late)).To(BeTrue(), "a newer version must not renew the grace")
	g.Expect(a.overtaken(8, late)).To(BeFalse())
	a.heardVersion(3, late)
	g.Expect(a.Version()).To(Equal(uint64(9)))
	for v := range uint64(3 * keptVersions) {
		a.heardVersion(10+v, late)
	}
	g.Expect(len(a.config.heard)).To(Equal(keptVersions))
}

// An engine that ignores fencing numbers would run a paused holder's order. In
// order: 4 orders, 5 takes over and orders, 4 wakes and orders; the agent restarts
// and 4 tries again before and after the agent has learnt the floors. The answer of
// an order that took effect is lost; reading back settles it.
func TestOrdersAreFencedForEnginesThatIgnoreIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		engine := new(fake.OrderedEngine)
		res := control.GroupResource("g")
		order := func(a *Agent, fence uint64, model string) result.Code {
			return code(a.Order(t.Context(), &wire.Order{Resource: res, Fence: fence, AgentInc: a.opts.Incarnation, Model: model}))
		}
		a := bareAgent(engine, 1)
		a.config.fence.Learn("entry-1", 1, nil)
		g.Expect(order(a, 4, "old")).To(Equal(result.OK))
		engine.LoseAnswers(1)
		g.Expect(order(a, 5, "new")).To(Equal(result.OK))
		g.Expect(order(a, 5, "new")).To(Equal(result.OK))
		g.Expect(order(a, 4, "old")).To(Equal(result.FenceStale))
		g.Expect(code(a.Order(t.Context(), &wire.Order{Resource: res, Fence: 6, AgentInc: 9}))).To(Equal(result.StaleAgent))

		a = bareAgent(engine, 2)
		g.Expect(order(a, 4, "old")).To(Equal(result.FenceUnknown))
		a.config.fence.Learn("entry-1", 1, []control.Floor{{Resource: res, Fence: 5}})
		g.Expect(order(a, 4, "old")).To(Equal(result.FenceStale))
		g.Expect(engine.Fences()).To(Equal([]uint64{4, 5}), "each order took effect once, none of the old holder")

		a.orders.every = time.Minute
		g.Expect(order(a, 5, "next")).To(Equal(result.OK))
		g.Expect(order(a, 5, "more")).To(Equal(result.OrderLimited))
		time.Sleep(time.Minute)
		g.Expect(order(a, 5, "more")).To(Equal(result.OK))
	})
}
