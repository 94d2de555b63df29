package lockstep

import (
	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/peers"
)

// fence names passes for which this rank must not be armed any more.
type fence struct {
	born  int64 // run of the engine; 0: whichever it has
	epoch uint64
	step  uint64 // and all before it
}

func (a *Agent) setFence(f fence) bool {
	a.arming <- struct{}{}
	defer func() { <-a.arming }()
	f.born = a.runOf()
	if f.born != a.fence.born || f.epoch != a.fence.epoch || f.step > a.fence.step {
		a.fence = f
	}
	return true
}

// runOf returns when the engine's run began; 0 if it has not told yet.
func (a *Agent) runOf() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.born
}

// bindFence binds a fence that was set before the engine's run was known to that run.
func (a *Agent) bindFence(born int64) {
	a.arming <- struct{}{}
	defer func() { <-a.arming }()
	if a.fence.born == 0 {
		a.fence.born = born
	}
}

// fenced tells whether this agent has been told to arm no more for an order's pass.
func (a *Agent) fenced(o *peers.RankOrder) bool {
	a.arming <- struct{}{}
	defer func() { <-a.arming }()
	return a.fence.stops(o, a.runOf())
}

// stops tells whether an arm must not be given any more.
func (f fence) stops(o *peers.RankOrder, born int64) bool {
	same := f.born == 0 || f.born == born
	return !o.Recovery && same && o.Epoch == f.epoch && o.Step <= f.step
}

// order gives an order to this agent's engine, or to the one that it names.
func (a *Agent) order(o *peers.RankOrder) (peers.OrderResult, error) {
	if o.Kind == peers.OrderPrepare {
		return a.prepare(o)
	}
	if o.Kind != peers.OrderArm {
		return a.orderOwn(o)
	}
	a.arming <- struct{}{}
	defer func() { <-a.arming }()
	if a.fence.stops(o, a.runOf()) {
		return peers.OrderResult{Refused: true}, nil
	}
	if o.Engine == "" {
		return a.orderOwn(o)
	}
	a.setOther(peers.ProxyArm{Epoch: o.Epoch, Step: o.Step})
	result, err := a.remote(o.Engine).Order(a.ctx, o)
	if err == nil && result.Accepted {
		a.setOther(peers.ProxyArm{Epoch: o.Epoch, Step: o.Step, Accepted: true})
	}
	return result, err
}

// ownTries is how often an order to this VM's own engine is given before the leader
// is told that it went unanswered.
const ownTries = 3

// orderOwn gives an order to this VM's engine, and again if it gets no answer.
//
// Failure: engines leave some orders unanswered. Symptom: some ranks of a large group miss
// theirs in each round, the leader finds out and asks again, and the group stands still
// meanwhile. Given again on the spot it costs a round trip on the same VM. An order that was
// taken after all holds already, and is answered so or refused.
func (a *Agent) orderOwn(o *peers.RankOrder) (result peers.OrderResult, err error) {
	for range ownTries {
		result, err = a.opts.Engine.Order(a.ctx, o)
		if err == nil || a.ctx.Err() != nil {
			return result, err
		}
		a.opts.Metrics.Count("orders_repeated", 1)
	}
	return result, err
}

func (a *Agent) setOther(o peers.ProxyArm) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.other.Accepted && a.other.Epoch == o.Epoch && a.other.Step == o.Step {
		return // a later try changes nothing
	}
	a.other = o
}

// remote returns a client of an engine on another VM; the token of arming is held.
func (a *Agent) remote(address string) Engine {
	if a.remotes == nil {
		a.remotes = make(map[string]Engine)
	}
	if a.remotes[address] == nil {
		a.remotes[address] = a.opts.NewRemoteEngine(address)
	}
	return a.remotes[address]
}

func (a *Agent) answerOrder(payload []byte) (msgp.Marshaler, error) {
	var o peers.RankOrder
	if _, err := o.UnmarshalMsg(payload); err != nil {
		return nil, err
	}
	addresses, limit := o.Subtree, limitBelow(o.LimitMS)
	o.Subtree = nil
	below := make(chan []peers.OrderResult, 1)
	go func() { below <- a.orderBelow(addresses, &o, limit) }()
	result, err := a.order(&o)
	if err != nil {
		a.opts.Log.Info("order unanswered", "order", o.Kind.String(), "version", o.Version, "step", o.Step, "error", err.Error())
	}
	result.Subtree = <-below
	return &result, nil
}
