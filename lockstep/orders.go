package lockstep

import (
	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/peers"
)

// fence bars this agent from arming ranks for the passes up to a step.
type fence struct {
	startedAtMS int64 // start of the engine run that the fence applies to, Unix milliseconds; 0: not yet known
	epoch       uint64
	step        uint64 // number of the last fenced pass
}

// setFence sets the fence unless a later one of the same run and epoch is set. It returns true: the
// fence or a later one is in force.
func (a *Agent) setFence(f fence) bool {
	a.armToken <- struct{}{}
	defer func() { <-a.armToken }()
	f.startedAtMS = a.engineStartTime()
	a.fence.raise(f)
	return true
}

// raise replaces the fence by one of another run or epoch, or of a later pass.
func (f *fence) raise(other fence) {
	if other.startedAtMS != f.startedAtMS || other.epoch != f.epoch || other.step > f.step {
		*f = other
	}
}

// engineStartTime returns the start of the engine's run in Unix milliseconds; 0: not yet reported.
func (a *Agent) engineStartTime() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.engineStartedAtMS
}

// bindFence ties a fence that was set before the engine's first report to the engine run in that
// report.
func (a *Agent) bindFence(startedAtMS int64) {
	a.armToken <- struct{}{}
	defer func() { <-a.armToken }()
	for _, f := range []*fence{&a.fence, &a.abandoned} {
		if f.startedAtMS == 0 {
			f.startedAtMS = startedAtMS
		}
	}
}

// isFenced reports whether this agent must not arm a rank for the order's pass.
func (a *Agent) isFenced(o *peers.RankOrder) bool {
	a.armToken <- struct{}{}
	defer func() { <-a.armToken }()
	return a.fence.blocks(o, a.engineStartTime())
}

// blocks reports whether the fence forbids an arm order. Recovery orders are allowed: their sender
// has set the fence itself.
func (f fence) blocks(o *peers.RankOrder, startedAtMS int64) bool {
	return !o.Recovery && f.covers(o, startedAtMS)
}

// covers reports whether the fence applies to the pass of an order.
func (f fence) covers(o *peers.RankOrder, startedAtMS int64) bool {
	sameRun := f.startedAtMS == 0 || f.startedAtMS == startedAtMS
	return sameRun && o.Epoch == f.epoch && o.Step <= f.step
}

// abandon records that the switch of an order is taken back while rank 0 is unreachable: this agent
// will not arm rank 0 any more. It refuses after this agent has recorded that rank 0 may be armed, and
// if it has restarted since the map was prepared.
func (a *Agent) abandon(o *peers.RankOrder) peers.OrderResult {
	a.armToken <- struct{}{}
	defer func() { <-a.armToken }()
	if recorded := a.recordedArm(); recorded.Epoch == o.Epoch && recorded.Step >= o.Step || !a.mapHistory.hasWitnessed(o.Epoch, o.Version) {
		return peers.OrderResult{Refused: true}
	}
	a.abandoned.raise(fence{startedAtMS: a.engineStartTime(), epoch: o.Epoch, step: o.Step})
	return peers.OrderResult{Accepted: true}
}

// mayArmLeader reports whether this agent may record that rank 0 may be armed, as the proxy: neither this
// switch nor a later one has been abandoned, and no later one has been recorded. The caller holds
// armToken.
func (a *Agent) mayArmLeader(o *peers.RankOrder) bool {
	recorded := a.recordedArm()
	isLate := recorded.Epoch == o.Epoch && recorded.Step > o.Step
	return !isLate && !a.abandoned.covers(o, a.engineStartTime()) && a.mapHistory.hasWitnessed(o.Epoch, o.Version)
}

// recordedArm returns the latest arm order that this agent recorded as the proxy.
func (a *Agent) recordedArm() peers.ProxyArm {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.proxyArm
}

// order executes an order at this agent's engine, or at the engine that the order names.
func (a *Agent) order(o *peers.RankOrder) (peers.OrderResult, error) {
	if o.Kind == peers.OrderPrepare {
		return a.prepareMap(o)
	}
	if o.Kind == peers.OrderAbandon {
		return a.abandon(o), nil
	}
	if o.Kind != peers.OrderArm {
		return a.orderLocalEngine(o)
	}
	a.armToken <- struct{}{}
	defer func() { <-a.armToken }()
	if a.fence.blocks(o, a.engineStartTime()) {
		return peers.OrderResult{Refused: true}, nil
	}
	if o.Engine == "" {
		return a.orderLocalEngine(o)
	}
	if !a.mayArmLeader(o) {
		return peers.OrderResult{Refused: true}, nil
	}
	a.setProxyArm(peers.ProxyArm{Epoch: o.Epoch, Step: o.Step})
	result, err := a.remoteEngine(o.Engine).Order(a.ctx, o)
	if err == nil && result.Accepted {
		a.setProxyArm(peers.ProxyArm{Epoch: o.Epoch, Step: o.Step, Accepted: true})
	}
	return result, err
}

// localOrderAttempts is how often an order is sent to the engine on this VM before the agent reports
// to the leader that the order went unanswered.
const localOrderAttempts = 3

// orderLocalEngine sends an order to this VM's engine and repeats it if there is no answer.
//
// Engines leave some orders unanswered. In a large group, every order to all ranks is left
// unanswered by some of them, and the group would stall until the leader notices and orders again.
// A repetition here costs one round trip within the VM. If the engine did execute the first order,
// it accepts the repetition as already done or refuses it.
func (a *Agent) orderLocalEngine(o *peers.RankOrder) (result peers.OrderResult, err error) {
	for range localOrderAttempts {
		result, err = a.opts.Engine.Order(a.ctx, o)
		if err == nil || a.ctx.Err() != nil {
			return result, err
		}
		a.opts.Metrics.Count("orders_repeated", 1)
	}
	return result, err
}

// setProxyArm records the state of an arm order that this agent sent to another engine.
func (a *Agent) setProxyArm(o peers.ProxyArm) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.proxyArm.Accepted && a.proxyArm.Epoch == o.Epoch && a.proxyArm.Step == o.Step {
		return // the engine has accepted this order already
	}
	a.proxyArm = o
}

// remoteEngine returns a client of an engine on another VM. The caller holds armToken.
func (a *Agent) remoteEngine(address string) Engine {
	if a.remoteEngines == nil {
		a.remoteEngines = make(map[string]Engine)
	}
	if a.remoteEngines[address] == nil {
		a.remoteEngines[address] = a.opts.NewRemoteEngine(address)
	}
	return a.remoteEngines[address]
}

// handleOrder executes an order and relays it to the agents in its subtree.
func (a *Agent) handleOrder(payload []byte) (msgp.Marshaler, error) {
	var o peers.RankOrder
	if _, err := o.UnmarshalMsg(payload); err != nil {
		return nil, err
	}
	addresses, timeout := o.Subtree, subtreeTimeout(o.LimitMS)
	o.Subtree = nil
	subtree := make(chan []peers.OrderResult, 1)
	go func() { subtree <- a.orderAlongTree(addresses, &o, timeout) }()
	result, err := a.order(&o)
	if err != nil {
		a.opts.Log.Info("order unanswered", "order", o.Kind.String(), "version", o.Version, "step", o.Step, "error", err.Error())
	}
	result.Subtree = <-subtree
	return &result, nil
}
