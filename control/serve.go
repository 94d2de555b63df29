package control

import (
	"context"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

// Accept serves a connection opened by a peer or by the operators' tool. It returns when
// the connection ends.
func (n *Node) Accept(c *wire.Conn) {
	n.mu.Lock()
	n.incoming[c] = struct{}{}
	n.mu.Unlock()
	if n.ctx.Err() != nil {
		c.Close()
	}
	<-c.Done()
	n.mu.Lock()
	delete(n.incoming, c)
	n.mu.Unlock()
}

// ServeStream implements wire.Handler.
func (n *Node) ServeStream(ctx context.Context, s *wire.Stream, m wire.Method, payload []byte) {
	var err error
	switch m {
	case wire.MethodTail:
		if s.Conn().Peer().Role == wire.RoleAgent {
			// The state contains the key hashes of all teams; the VM of a target must not have them.
			err = result.New(result.WireRole, "agents get no state")
			break
		}
		err = n.serveTail(ctx, s, payload)
	case wire.MethodStatus:
		err = n.serveStatus(s, payload)
	case wire.MethodDrain:
		err = n.serveDrain(s, payload)
	default:
		err = result.New(result.WireUnknownKind, "method %d", m)
	}
	if err != nil {
		_ = s.Refuse(err) // on a lost connection there is no receiver
	}
}

func (n *Node) serveTail(ctx context.Context, s *wire.Stream, payload []byte) error {
	var req wire.TailRequest
	if _, err := req.UnmarshalMsg(payload); err != nil {
		return result.New(result.WireMalformed, "tail request: %w", err)
	}
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, n.opts.Timing.LogWait)
	if !req.Cold {
		n.waitForRecord(ctx, config.Position{Next: req.From, Mark: req.Mark}, wait)
	}
	reply, state, err := n.tailReply(&req)
	if err != nil {
		return err
	}
	if err := s.SendMessage(wire.MessageTail, reply); err != nil {
		return err
	}
	if err := s.Send(ctx, state); err != nil {
		return err
	}
	return s.Finish()
}

// waitForRecord returns when there is something to tell a peer at a position, or after wait.
func (n *Node) waitForRecord(ctx context.Context, at config.Position, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	n.mu.Lock()
	replaced := n.history.replaced
	n.mu.Unlock()
	for {
		n.mu.Lock()
		own := n.fold.Position()
		ready, wake := own.Next != at.Next || own.Contradicts(at) || n.history.replaced != replaced, n.recordsFolded
		n.mu.Unlock()
		if ready {
			return
		}
		select {
		case <-wake:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) tailReply(req *wire.TailRequest) (*wire.TailReply, []byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	own, at := n.fold.Position(), config.Position{Next: req.From, Mark: req.Mark}
	reply := &wire.TailReply{First: at.Next, FirstMark: at.Mark, Next: own.Next, NextMark: own.Mark, AgeMs: n.servedAge().Milliseconds(),
		Recoveries: n.fold.Recoveries(), Kept: n.history.kept != nil}
	if !req.Cold {
		if at.Next >= own.Next {
			reply.Diverged = own.Contradicts(at)
			return reply, nil, nil
		}
		if n.cache.next() == own.Next && n.cache.canContinueFrom(at.Next) {
			if reply.Diverged = n.cache.position(at.Next).Contradicts(at); !reply.Diverged {
				reply.Records, reply.Marks = n.cache.page(at.Next)
			}
			return reply, nil, nil
		}
	}
	if err := n.saveState(at.Next); err != nil {
		return nil, nil, err
	}
	n.opts.Metrics.Count("control_states_served_total", 1)
	reply.State, reply.First, reply.FirstMark = true, n.saved.at.Next, n.saved.at.Mark
	reply.Next = max(reply.Next, reply.First)
	return reply, n.saved.data, nil
}

// saveState saves the state for a peer that has folded the records before from. A state that the
// log has lost goes first: the peer may have no other way to learn of it. n.mu is held.
func (n *Node) saveState(from uint64) error {
	f := n.fold
	if n.history.kept != nil {
		f = n.history.kept
	}
	if f.NeedsSnapshot() || f.Next() == 0 {
		return result.New(result.NoConfig, "entry %s has no state yet", n.opts.Self.Name)
	}
	isCurrent := n.saved.at.Next >= n.cache.first && n.saved.at.Next > from && f == n.fold
	if n.saved.data != nil && (isCurrent || n.saved.at == f.Position()) {
		return nil
	}
	data, err := f.Save()
	if err != nil {
		return result.New(result.NoConfig, "save state: %w", err)
	}
	n.saved = savedState{at: f.Position(), data: data}
	return nil
}

// logAge returns the time since this process, or the peer that it pulls records from, read
// the log to its end.
func (n *Node) logAge() time.Duration {
	if n.logReadAt.IsZero() {
		return time.Hour
	}
	return time.Since(n.logReadAt)
}

// servedAge returns the age of the records that this process serves.
func (n *Node) servedAge() time.Duration {
	if !n.history.caughtUp {
		return time.Hour
	}
	return n.logAge()
}

func (n *Node) serveStatus(s *wire.Stream, payload []byte) error {
	var req wire.StatusRequest
	if _, err := req.UnmarshalMsg(payload); err != nil {
		return result.New(result.WireMalformed, "status request: %w", err)
	}
	reply := n.Status(req.Full)
	if req.Change != "" {
		reply.Effect = n.effect(req.Change)
	}
	if err := s.SendMessage(wire.MessageStatus, reply); err != nil {
		return err
	}
	return s.Finish()
}

// effect returns the effect of a change at this process. Versions alone do not tell: after a loss
// of records the same number may have been given to another change.
func (n *Node) effect(change string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.inForce == nil {
		return wire.EffectPending
	}
	out, known := n.fold.Outcome(change)
	isFolded := known && out.Accepted && n.inForce == n.fold.Current()
	if isFolded || n.inForce.ID == change || n.isKept(change) {
		return wire.EffectInForce
	}
	return wire.EffectPending
}

// isKept reports whether a change was accepted in a history that the log has lost. n.mu is held.
func (n *Node) isKept(change string) bool {
	if n.history.kept == nil {
		return false
	}
	out, known := n.history.kept.Outcome(change)
	return known && out.Accepted
}

func (n *Node) serveDrain(s *wire.Stream, payload []byte) error {
	var req wire.DrainRequest
	if _, err := req.UnmarshalMsg(payload); err != nil {
		return result.New(result.WireMalformed, "drain request: %w", err)
	}
	if role := s.Conn().Peer().Role; role != wire.RoleTool {
		return result.New(result.WireRole, "role %q may not drain an entry", role)
	}
	if n.opts.Drain != nil {
		n.opts.Drain(req.Undo)
	}
	if err := s.SendMessage(wire.MessageStatus, n.Status(false)); err != nil {
		return err
	}
	return s.Finish()
}

// Status returns the status of this process and its view of the other processes.
func (n *Node) Status(full bool) *wire.StatusReply {
	n.mu.Lock()
	now := time.Now()
	r := &wire.StatusReply{
		Name:        n.opts.Self.Name,
		Role:        wire.RoleEntry,
		DataCentre:  n.opts.Self.DataCentre,
		Incarnation: n.opts.Incarnation,
		LogAgeMs:    n.logAge().Milliseconds(),
		Leaving:     n.leaving.Load(),
	}
	if err := n.fold.StopError(); err != nil {
		r.Stopped = err.Error()
	}
	if s := n.inForce; s != nil {
		r.Version, r.Change, r.Digest = s.Version, s.ID, s.Digest
	}
	for name := range n.topology.Peers {
		if n.members.IsDown(name, now) {
			r.Down = append(r.Down, name)
		}
	}
	if full {
		for _, row := range n.leaseRows() {
			r.Leases = append(r.Leases, wire.LeaseInfo{Resource: row.Resource, Holder: row.Holder, Fence: row.Fence, Term: row.Term})
		}
		for _, sum := range n.summaries {
			r.Summaries = append(r.Summaries, sum)
		}
	}
	n.mu.Unlock()
	if n.opts.Status != nil {
		n.opts.Status(full, r)
	}
	return r
}
