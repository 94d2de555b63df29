package agent_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/agent"
	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/internal/fake"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/settings"
	"github.com/heatherrail/heatherrail/wire"
)

const testRanks = 3

// rankBench is a group of three ranks behind real agents. The test acts as the coordinator.
type rankBench struct {
	g       *WithT
	group   *fake.LockStep
	engines []*fake.Engine
	agents  []*agent.Agent
	conns   []*wire.Conn
	weights *fake.WeightStore
	first   *expert.Map
	next    *expert.Map
}

type noopHandler struct{}

func (noopHandler) ServeStream(_ context.Context, s *wire.Stream, _ wire.Method, _ []byte) {
	_ = s.Refuse(result.New(result.WireUnknownKind, "nothing is served here"))
}
func (noopHandler) ServeNote(*wire.Conn, wire.Note, []byte) {}

func newRankBench(t *testing.T) *rankBench {
	shape := expert.Shape{Ranks: testRanks, Layers: 2, Experts: 6, SlotsOfRank: 3}
	b := &rankBench{g: NewWithT(t), weights: fake.NewWeightStore(1 << 40), first: expert.InitialMap(shape)}
	b.next = b.first.Clone()
	for l := range shape.Layers {
		s := b.next.Layer(l)
		s[0], s[3] = s[3], s[0]
	}
	for i := range testRanks {
		b.engines = append(b.engines, fake.NewEngine(fmt.Sprint("e", i), "m", 4))
	}
	b.group = fake.NewLockStep(time.Millisecond, shape, b.weights, b.engines...)
	t.Cleanup(b.group.Close)
	for i := range testRanks {
		b.agents = append(b.agents, nil)
		b.conns = append(b.conns, nil)
		b.startAgent(t, i, uint64(i+1))
	}
	return b
}

func (b *rankBench) startAgent(t *testing.T, i int, incarnation uint64) {
	name := fmt.Sprint("rank-", i)
	a, err := agent.Start(agent.Options{
		Settings:    settings.Agent{Target: name, Listen: "127.0.0.1:0", Kind: settings.KindEngine, Queue: 4},
		Backend:     b.engines[i],
		Rank:        b.engines[i].Rank(),
		Logger:      logr.Discard(),
		Metrics:     metrics.New(),
		Incarnation: incarnation,
	})
	b.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(a.Close)
	nc, err := new(wire.Network).Dial(context.Background(), a.Addr())
	b.g.Expect(err).NotTo(HaveOccurred())
	c, err := wire.Client(nc, wire.Hello{Name: "coordinator", Role: wire.RoleEntry, Incarnation: 9}, noopHandler{}, wire.Options{})
	b.g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(c.Close)
	b.agents[i], b.conns[i] = a, c
}

func (b *rankBench) order(i int, o *wire.RankOrder) (*wire.RankReply, error) {
	o.Recovery = true // recovery orders need no lease
	s, err := b.conns[i].Open(wire.MethodRank, o)
	b.g.Expect(err).NotTo(HaveOccurred())
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	ev, err := s.Recv(ctx)
	if err != nil {
		return nil, err
	}
	reply := new(wire.RankReply)
	_, err = reply.UnmarshalMsg(ev.Data)
	return reply, err
}

func (b *rankBench) prepare() {
	s := b.next.Shape
	for i := range testRanks {
		_, err := b.order(i, &wire.RankOrder{Op: wire.RankPrepare, Rank: i, Ranks: s.Ranks, Layers: s.Layers,
			Experts: s.Experts, SlotsOfRank: s.SlotsOfRank, Slots: wire.EncodeSlots(b.next.Slot)})
		b.g.Expect(err).NotTo(HaveOccurred())
	}
}

// hold runs a ballot up to its confirmations.
func (b *rankBench) hold(round uint64, want expert.MapID) *expert.SwitchAttempt {
	a := expert.NewSwitchAttempt(expert.Ballot{Round: round}, b.group.Steps()+10, want, testRanks)
	for i := range testRanks {
		r, err := b.order(i, &wire.RankOrder{Op: wire.RankHold, Round: round, At: a.HoldAt})
		b.g.Expect(err).NotTo(HaveOccurred())
		a.RecordReply(i, expert.HoldReply{Incarnation: r.Incarnation, EngineRun: r.Start, Joined: r.Entered, NextStep: r.Next,
			InStep: r.Inside, Map: expert.MapID(r.Map), HoldAt: r.HoldAt})
	}
	for i := range testRanks {
		_, err := b.order(i, &wire.RankOrder{Op: wire.RankConfirm, Round: round, Incarnation: a.Replies[i].Incarnation})
		b.g.Expect(err).NotTo(HaveOccurred())
		a.RecordConfirmation(i)
	}
	return a
}

func (b *rankBench) decide(a *expert.SwitchAttempt, i int) error {
	d, err := a.Decide()
	b.g.Expect(err).NotTo(HaveOccurred())
	o := &wire.RankOrder{Op: wire.RankDecide, Round: a.Ballot.Round, Join: d.JoinStep,
		Incarnation: a.Replies[i].Incarnation, Start: a.Replies[i].EngineRun}
	for _, seg := range d.Schedule {
		o.Schedule = append(o.Schedule, wire.RankSegment{From: seg.From, Map: uint64(seg.Map)})
	}
	_, err = b.order(i, o)
	return err
}

// waitUntilEntered waits until a rank has passed the step at which the decision switches
// maps.
func (b *rankBench) waitUntilEntered(a *expert.SwitchAttempt, i int) {
	d, err := a.Decide()
	b.g.Expect(err).NotTo(HaveOccurred())
	at := d.Schedule[len(d.Schedule)-1].From
	b.g.Eventually(func() uint64 {
		p, _ := b.engines[i].Rank().Position(context.Background())
		return p.Next
	}, "20s").Should(BeNumerically(">", at))
}

func (b *rankBench) decideAll(a *expert.SwitchAttempt) {
	for i := range testRanks {
		b.g.Expect(b.decide(a, i)).To(Succeed())
	}
}

func (b *rankBench) expectRunsWith(m *expert.Map) {
	from := b.group.Steps()
	b.g.Eventually(b.group.Steps, "20s").Should(BeNumerically(">", from+30))
	b.g.Expect(b.group.Mixed()).To(Succeed())
	b.g.Expect(b.group.Map()).To(Equal(m.ID()))
}

// A coordinator dies once all ranks hold, before it has sent its decision. The next ballot
// continues with the old map, and a late copy of the dead coordinator's decision is refused.
func TestNextBallotKeepsOldMapIfDecisionWasNotSent(t *testing.T) {
	b := newRankBench(t)
	b.prepare()
	dead := b.hold(1, b.next.ID())
	b.decideAll(b.hold(2, 0))
	b.g.Expect(result.From(b.decide(dead, 0)).Code).To(Equal(result.BallotOld))
	b.expectRunsWith(b.first)
}

// A coordinator dies after one rank has entered the step with the new map. The next ballot
// wants the old map but must let all ranks run that step with the new one.
func TestNextBallotFinishesSwitchThatOneRankEntered(t *testing.T) {
	b := newRankBench(t)
	b.prepare()
	dead := b.hold(1, b.next.ID())
	b.g.Expect(b.decide(dead, 0)).To(Succeed())
	b.waitUntilEntered(dead, 0)
	b.decideAll(b.hold(2, 0))
	b.expectRunsWith(b.next)
}

// An agent restarts without its ballot while its rank is held. It must refuse the decision
// made for its predecessor; one more ballot lets the rank continue with the others.
func TestRestartedAgentRefusesDecisionOfEarlierBallot(t *testing.T) {
	b := newRankBench(t)
	b.prepare()
	a := b.hold(1, b.next.ID())
	b.agents[2].Close()
	b.startAgent(t, 2, 99)
	b.g.Expect(b.decide(a, 0)).To(Succeed())
	b.g.Expect(b.decide(a, 1)).To(Succeed())
	b.waitUntilEntered(a, 0)
	b.g.Expect(result.From(b.decide(a, 2)).Code).To(Equal(result.BallotVoid))
	b.decideAll(b.hold(2, 0))
	b.expectRunsWith(b.next)
}

// The weight store is down while weights are prepared. The order is refused, no rank is
// held and the group loses no step.
func TestPrepareFailsWithoutPauseIfStoreIsDown(t *testing.T) {
	b := newRankBench(t)
	b.weights.SetDown(true)
	s := b.next.Shape
	_, err := b.order(0, &wire.RankOrder{Op: wire.RankPrepare, Ranks: s.Ranks, Layers: s.Layers,
		Experts: s.Experts, SlotsOfRank: s.SlotsOfRank, Slots: wire.EncodeSlots(b.next.Slot)})
	b.g.Expect(result.From(err).Code).To(Equal(result.WeightsUnavailable))
	b.expectRunsWith(b.first)
	b.g.Expect(b.group.Idle()).To(BeZero())
}

// The holder of an old lease orders a hold that the engine would execute. The agent must refuse
// this hold, and every hold before it knows the fencing floors.
func TestHoldWithStaleFencingNumberIsRefused(t *testing.T) {
	b := newRankBench(t)
	hold := func(fence uint64) error {
		s, err := b.conns[0].Open(wire.MethodRank, &wire.RankOrder{Group: "g", Op: wire.RankHold, Round: 1, At: 1 << 40, Fence: fence})
		b.g.Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		_, err = s.Recv(context.Background())
		return err
	}
	b.g.Expect(result.From(hold(7)).Code).To(Equal(result.FenceUnknown))
	floors := []wire.FenceFloor{{Resource: "group/g", Fence: 6}}
	b.g.Expect(b.conns[0].SendNote(wire.NoteAgentConfig, &wire.AgentConfig{Version: 1, Entries: 1, Floors: floors})).To(Succeed())
	b.g.Eventually(func() result.Code { return result.From(hold(5)).Code }, "20s").Should(Equal(result.FenceStale))
	b.g.Expect(hold(6)).To(Succeed())
}

// A rank stalls during a switch and the others wait for it. When it continues, it finds
// the decision, and all ranks run the step with the same map.
func TestSwitchCompletesAfterARankStalls(t *testing.T) {
	b := newRankBench(t)
	b.prepare()
	b.engines[1].Stall(true)
	a := b.hold(1, b.next.ID())
	b.decideAll(a)
	b.engines[1].Stall(false)
	b.waitUntilEntered(a, 1)
	b.expectRunsWith(b.next)
}

// The withdrawal of a ballot arrives before its hold. The hold must not stop the rank,
// because no order would release it.
func TestHoldAfterItsWithdrawalIsRefused(t *testing.T) {
	b := newRankBench(t)
	_, err := b.order(0, &wire.RankOrder{Op: wire.RankWithdraw, Round: 1})
	b.g.Expect(err).NotTo(HaveOccurred())
	_, err = b.order(0, &wire.RankOrder{Op: wire.RankHold, Round: 1, At: 1})
	b.g.Expect(result.From(err).Code).To(Equal(result.BallotVoid))
	b.expectRunsWith(b.first)
}

// An agent is unreachable when a switch begins, so the coordinator withdraws before the ranks reach
// the hold. No step is lost, and a late copy of the hold is refused.
func TestWithdrawnSwitchCostsNoStep(t *testing.T) {
	b := newRankBench(t)
	b.agents[2].Close()
	hold := wire.RankOrder{Op: wire.RankHold, Round: 1, At: b.group.Steps() + 1<<20}
	for i := range testRanks - 1 {
		_, err := b.order(i, &hold)
		b.g.Expect(err).NotTo(HaveOccurred())
		_, err = b.order(i, &wire.RankOrder{Op: wire.RankWithdraw, Round: 1})
		b.g.Expect(err).NotTo(HaveOccurred())
		_, err = b.order(i, &hold)
		b.g.Expect(result.From(err).Code).To(Equal(result.BallotVoid))
		p, err := b.engines[i].Rank().Position(context.Background())
		b.g.Expect(err).NotTo(HaveOccurred())
		b.g.Expect(p.Held).To(BeFalse())
	}
	b.expectRunsWith(b.first)
	b.g.Expect(b.group.Idle()).To(BeZero())
}
