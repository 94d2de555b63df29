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

func newTestAgent(engine *fake.OrderedEngine, incarnation uint64) *Agent {
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

// A request under version 7 must pass during the grace period after version 8 arrives, and be
// refused later. The arrival of version 9 must not extend the grace period.
func TestSupersededVersionIsRefusedAfterGrace(t *testing.T) {
	g := NewWithT(t)
	a := newTestAgent(nil, 1)
	start := time.Unix(1000, 0)
	g.Expect(a.isSuperseded(7, start)).To(BeFalse(), "no newer version has arrived")
	a.recordVersion(8, start)
	g.Expect(a.isSuperseded(7, start.Add(defaultStaleGrace))).To(BeFalse())
	a.recordVersion(9, start.Add(defaultStaleGrace))
	late := start.Add(defaultStaleGrace + time.Second)
	g.Expect(a.isSuperseded(7, late)).To(BeTrue(), "a newer version must not renew the grace")
	g.Expect(a.isSuperseded(8, late)).To(BeFalse())
	a.recordVersion(3, late)
	g.Expect(a.Version()).To(Equal(uint64(9)))
	for v := range uint64(3 * maxVersions) {
		a.recordVersion(10+v, late)
	}
	g.Expect(len(a.config.versions)).To(Equal(maxVersions))
}

// A lease holder with fencing number 4 is paused while number 5 takes over, then sends an order, also
// after an agent restart. The engine ignores fencing numbers, so the agent must refuse the order.
func TestAgentRefusesStaleOrdersForEnginesWithoutFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		engine := new(fake.OrderedEngine)
		res := control.GroupResource("g")
		order := func(a *Agent, fence uint64, model string) result.Code {
			return code(a.Order(t.Context(), &wire.Order{Resource: res, Fence: fence, AgentInc: a.opts.Incarnation, Model: model}))
		}
		a := newTestAgent(engine, 1)
		a.config.fence.RecordFloors("entry-1", 1, nil)
		g.Expect(order(a, 4, "old")).To(Equal(result.OK))
		engine.DropResponses(1)
		g.Expect(order(a, 5, "new")).To(Equal(result.OK))
		g.Expect(order(a, 5, "new")).To(Equal(result.OK))
		g.Expect(order(a, 4, "old")).To(Equal(result.FenceStale))
		g.Expect(code(a.Order(t.Context(), &wire.Order{Resource: res, Fence: 6, AgentInc: 9}))).To(Equal(result.StaleAgent))

		a = newTestAgent(engine, 2)
		g.Expect(order(a, 4, "old")).To(Equal(result.FenceUnknown))
		a.config.fence.RecordFloors("entry-1", 1, []control.Floor{{Resource: res, Fence: 5}})
		g.Expect(order(a, 4, "old")).To(Equal(result.FenceStale))
		g.Expect(engine.Fences()).To(Equal([]uint64{4, 5}), "each order must take effect once, and none of the old holder")

		a.orders.minInterval = time.Minute
		g.Expect(order(a, 5, "next")).To(Equal(result.OK))
		g.Expect(order(a, 5, "more")).To(Equal(result.OrderLimited))
		time.Sleep(time.Minute)
		g.Expect(order(a, 5, "more")).To(Equal(result.OK))
	})
}
