package control

import (
	"context"
	"time"

	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

// Accept serves a connection that a peer or the operators' tool opened, until it ends.
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
			// The state holds the hashes of all teams' keys; a target's VM needs none.
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
		_ = s.Refuse(err) // without a connection nobody waits for it
	}
}

func (n *Node) serveTail(ctx context.Context, s *wire.Stream, payload []byte) error {
	var req wire.TailRequest
	if _, err := req.UnmarshalMsg(payload); err != nil {
		return result.New(result.WireMalformed, "tail request: %w", err)
	}
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, n.opts.Timing.LogWait)
	n.await(ctx, req.From, wait)
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

// await returns when there is a record at from, or after wait.
func (n *Node) await(ctx context.Context, from uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		n.mu.Lock()
		ready, wake := n.fold.Next() > from, n.wake
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
	next := n.fold.Next()
	reply := &wire.TailReply{First: req.From, Next: next, AgeMs: n.age().Milliseconds()}
	if req.From >= next && !req.Cold {
		return reply, nil, nil
	}
	if !req.Cold && n.relay.next() == next && n.relay.has(req.From) {
		reply.Records = n.relay.page(req.From)
		return reply, nil, nil
	}
	if n.fold.NeedsSnapshot() || next == 0 {
		return nil, nil, result.New(result.NoConfig, "%s has no state to give", n.opts.Self.Name)
	}
	if n.saved.data == nil || n.saved.next < n.relay.first || n.saved.next <= req.From {
		data, err := n.fold.Save()
		if err != nil {
			return nil, nil, result.New(result.NoConfig, "save: %w", err)
		}
		n.saved = savedState{next: next, data: data}
	}
	n.opts.Metrics.Count("control_states_served_total", 1)
	reply.State, reply.First = true, n.saved.next
	return reply, n.saved.data, nil
}

// age returns how long ago this process, or its source, read the log.
func (n *Node) age() time.Duration {
	if n.freshAt.IsZero() {
		return time.Hour
	}
	return time.Since(n.freshAt)
}

func (n *Node) serveStatus(s *wire.Stream, payload []byte) error {
	var req wire.StatusRequest
	if _, err := req.UnmarshalMsg(payload); err != nil {
		return result.New(result.WireMalformed, "status request: %w", err)
	}
	reply := n.Status(req.Full)
	if err := s.SendMessage(wire.MessageStatus, reply); err != nil {
		return err
	}
	return s.Finish()
}

func (n *Node) serveDrain(s *wire.Stream, payload []byte) error {
	var req wire.DrainRequest
	if _, err := req.UnmarshalMsg(payload); err != nil {
		return result.New(result.WireMalformed, "drain request: %w", err)
	}
	if role := s.Conn().Peer().Role; role != wire.RoleTool {
		return result.New(result.WireRole, "role %q may not drain", role)
	}
	if n.opts.Drain != nil {
		n.opts.Drain(req.Undo)
	}
	if err := s.SendMessage(wire.MessageStatus, n.Status(false)); err != nil {
		return err
	}
	return s.Finish()
}

// Status returns how this process sees itself and others.
func (n *Node) Status(full bool) *wire.StatusReply {
	n.mu.Lock()
	now := time.Now()
	r := &wire.StatusReply{
		Name:        n.opts.Self.Name,
		Role:        wire.RoleEntry,
		DataCentre:  n.opts.Self.DataCentre,
		Incarnation: n.opts.Incarnation,
		LogAgeMs:    n.age().Milliseconds(),
		Leaving:     n.leaving.Load(),
	}
	if err := n.fold.StopError(); err != nil {
		r.Stopped = err.Error()
	}
	if s := n.fold.Current(); s != nil {
		r.Version, r.Change, r.Digest = s.Version, s.ID, s.Digest
	}
	for name := range n.topology.Peers {
		if n.members.IsDown(name, now) {
			r.Down = append(r.Down, name)
		}
	}
	if full {
		for _, row := range n.table.Rows() {
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
