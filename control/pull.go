package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

// pullPeer pulls records, or a whole state, from a peer by one long poll.
func (n *Node) pullPeer(name string) error {
	conn, err := n.connect(name)
	if err != nil {
		return err
	}
	n.mu.Lock()
	at, own, replaced := n.fold.Position(), n.fold.Recoveries(), n.history.replaced
	cold := n.fold.NeedsSnapshot() || (at.Next == 0 && n.fold.Current() == nil) || n.history.wantState
	n.history.wantState = false
	req := wire.TailRequest{From: at.Next, Mark: at.Mark, Cold: cold}
	if n.heardPeer {
		req.WaitMs = n.opts.Timing.LogWait.Milliseconds()
	}
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(n.ctx, n.opts.Timing.LogWait+pollRoundTrip)
	defer cancel()
	reply, state, err := Tail(ctx, conn, &req)
	if err != nil {
		if result.From(err).Code == result.NoConfig {
			n.setHeardPeer()
		}
		return err
	}
	age := time.Duration(reply.AgeMs) * time.Millisecond
	if reply.State {
		if replaced, err = n.considerState(ctx, state, replaced); err != nil {
			n.setHeardPeer()
			return fmt.Errorf("state of %s: %w", name, err)
		}
	}
	if reply.Next < at.Next || reply.Diverged {
		return n.resolveDivergence(ctx, at, reply.Recoveries > own)
	}
	from := config.Position{Next: reply.First, Mark: reply.FirstMark}
	atEnd := reply.First+uint64(len(reply.Records)) == reply.Next
	page := recordPage{at: from, records: reply.Records, marks: reply.Marks, readAt: time.Now().Add(-age), atEnd: atEnd, replaced: replaced}
	if err := n.foldRecords(page); err != nil {
		return err
	}
	n.mu.Lock()
	n.history.wantState = reply.Kept && !n.heardPeer
	wantState := n.history.wantState
	n.mu.Unlock()
	if !wantState && atEnd {
		n.setHeardPeer()
	}
	if age > n.opts.Timing.Fresh {
		return errSourceStale
	}
	return nil
}

// resolveDivergence finds out whether this process or its source is in a history that the log has
// left. Without the log, the history with more recoveries is the later one.
func (n *Node) resolveDivergence(ctx context.Context, at config.Position, sourceIsLater bool) error {
	err := n.checkOwnPosition(ctx, at)
	if err == nil {
		return errSourceStale
	}
	if !sourceIsLater {
		return err
	}
	n.mu.Lock()
	n.history.wantState = true
	n.mu.Unlock()
	return nil
}

// Tail requests records, or the saved state, from the peer of a connection.
func Tail(ctx context.Context, conn *wire.Conn, req *wire.TailRequest) (*wire.TailReply, []byte, error) {
	s, err := conn.Open(wire.MethodTail, req)
	if err != nil {
		return nil, nil, err
	}
	defer s.Close()
	ev, err := s.Recv(ctx)
	if err != nil {
		return nil, nil, err
	}
	reply := new(wire.TailReply)
	if _, err := reply.UnmarshalMsg(ev.Data); err != nil || ev.Message != wire.MessageTail {
		return nil, nil, result.New(result.WireMalformed, "tail reply of %s", conn.Peer().Name)
	}
	var state []byte
	for {
		ev, err := s.Recv(ctx)
		if errors.Is(err, io.EOF) {
			return reply, state, nil
		}
		if err != nil {
			return nil, nil, err
		}
		if state = append(state, ev.Data...); len(state) > maxSavedBytes {
			return nil, nil, result.New(result.WireMalformed, "state of %s is too large", conn.Peer().Name)
		}
	}
}
