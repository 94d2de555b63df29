package control

import (
	"context"
	"time"

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
	n.waitForRecord(ctx, req.From, wait)
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

// waitForRecord returns when the record at offset from has been folded, or after wait.
func (n *Node) waitForRecord(ctx context.Context, from uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		n.mu.Lock()
		ready, wake := n.fold.Next() > from, n.recordsFolded
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
	reply := &wire.TailReply{First: req.From, Next: next, AgeMs: n.logAge().Milliseconds()}
	if req.From >= next && !req.Cold {
		return reply, nil, nil
	}
	if !req.Cold && n.cache.next() == next && n.cache.canContinueFrom(req.From) {
		reply.Records = n.cache.page(req.From)
		return reply, nil, nil
	}
	if n.fold.NeedsSnapshot() || next == 0 {
		return nil, nil, result.New(result.NoConfig, "entry %s has no state yet", n.opts.Self.Name)
	}
	if n.saved.data == nil || n.saved.next < n.cache.first || n.saved.next <= req.From {
		data, err := n.fold.Save()
		if err != nil {
			return nil, nil, result.New(result.NoConfig, "save state: %w", err)
		}
		n.saved = savedState{next: next, data: data}
	}
	n.opts.Metrics.Count("control_states_served_total", 1)
	reply.State, reply.First = true, n.saved.next
	return reply, n.saved.data, nil
}

// logAge returns the time since this process, or the peer that it pulls records from, read
// the log.
func (n *Node) logAge() time.Duration {
	if n.logReadAt.IsZero() {
		return time.Hour
	}
	return time.Since(n.logReadAt)
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
