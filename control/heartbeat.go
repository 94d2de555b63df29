package control

import (
	"context"
	"time"

	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

const peerDialTimeout = time.Second

// peerConn is a connection that this process opened to a peer.
type peerConn struct {
	conn    *wire.Conn
	address string
}

// connect returns the connection to a peer. It opens one if there is none.
func (n *Node) connect(name string) (*wire.Conn, error) {
	n.mu.Lock()
	peer, known := n.topology.Peers[name]
	have := n.conns[name]
	n.mu.Unlock()
	if !known {
		return nil, result.New(result.Unreachable, "peer %s is not in the VM list", name)
	}
	if have != nil && have.address == peer.Address {
		select {
		case <-have.conn.Done():
		default:
			return have.conn, nil
		}
	}
	conn, err := n.dial(peer)
	if err != nil {
		return nil, err
	}
	return n.storeConn(name, &peerConn{conn: conn, address: peer.Address})
}

// dial opens a connection to a peer.
func (n *Node) dial(peer Peer) (*wire.Conn, error) {
	name := peer.Name
	ctx, cancel := context.WithTimeout(n.ctx, peerDialTimeout)
	defer cancel()
	nc, err := n.opts.Dial(ctx, peer.Address)
	if err != nil {
		return nil, result.New(result.Unreachable, "dial %s: %w", name, err)
	}
	conn, err := wire.Client(nc, n.hello(), n, wire.Options{})
	if err != nil {
		return nil, result.New(result.Unreachable, "handshake with %s: %w", name, err)
	}
	if conn.Peer().Name != name {
		conn.Close()
		return nil, result.New(result.Unreachable, "peer %s answered at the address listed for %s", conn.Peer().Name, name)
	}
	return conn, nil
}

// storeConn stores a new connection to a peer. Two tasks may have opened one at the same
// time: the later connection replaces the earlier one. The earlier one is closed when its
// last use ends.
func (n *Node) storeConn(name string, p *peerConn) (*wire.Conn, error) {
	n.mu.Lock()
	old := n.conns[name]
	n.conns[name] = p
	n.mu.Unlock()
	if old != nil {
		go old.conn.Close()
	}
	if n.ctx.Err() != nil {
		p.conn.Close()
		return nil, n.ctx.Err()
	}
	return p.conn, nil
}

// sendHeartbeats sends heartbeats to the observers of the data centre, a SilentReport to the
// entries that send heartbeats to this one, and summaries to other data centres.
func (n *Node) sendHeartbeats() {
	last := time.Time{}
	for round := 0; n.sleep(n.opts.Timing.HeartbeatInterval); round++ {
		n.mu.Lock()
		local, remote := n.topology.Local(ObserverCount), n.topology.SummaryPeers()
		n.mu.Unlock()
		n.sendAll(local, wire.NoteHeartbeat, n.heartbeat())
		n.sendSilentReport(round%silentReportHeartbeats == 0)
		if time.Since(last) >= n.opts.Timing.Summaries {
			last = time.Now()
			n.sendAll(remote, wire.NoteSummary, n.summary())
		}
	}
}

func (n *Node) heartbeat() *wire.Heartbeat {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := &wire.Heartbeat{Leaving: n.leaving.Load()}
	if s := n.inForce; s != nil {
		b.Version = s.Version
	}
	return b
}

// marshaler is a message that encodes itself.
type marshaler interface{ MarshalMsg([]byte) ([]byte, error) }

// sendAll sends a message to each named peer in a goroutine of its own, so that a peer
// that does not answer the dial does not delay the heartbeats to the others.
func (n *Node) sendAll(names []string, kind wire.Note, msg marshaler) {
	for _, name := range names {
		n.tasks.Go(func() {
			conn, err := n.connect(name)
			if err != nil {
				n.log.V(1).Info("peer unreachable", "peer", name, "detail", err.Error())
				return
			}
			_ = conn.SendNote(kind, msg) // the next heartbeat opens a new connection
		})
	}
}

// Send sends a one-way message to another entry. It does not wait, and the message
// may be lost.
func (n *Node) Send(name string, kind wire.Note, msg marshaler) { n.sendAll([]string{name}, kind, msg) }

// silentReportHeartbeats is the number of heartbeats from one empty SilentReport to the
// next. An observer that sends nothing for longer than Timing.FailureTimeout does not
// count towards ObserverQuorum.
const silentReportHeartbeats = 3

// sendSilentReport sends a SilentReport to the entries that send heartbeats to this one.
// The report lists the processes that this entry has not heard in time, that are leaving or
// that have no configuration. A report with rows and the first empty report after it are
// sent at once; other empty reports are sent only if due is set.
func (n *Node) sendSilentReport(due bool) {
	n.mu.Lock()
	now := time.Now()
	var silent wire.SilentReport
	for _, s := range n.members.Observations(now) {
		if s.Age >= n.opts.Timing.FailureTimeout || s.Leaving || s.Version == 0 {
			silent.Rows = append(silent.Rows, wire.SilentRow{Name: s.Name, Incarnation: s.Incarnation,
				Version: s.Version, AgeMs: s.Age.Milliseconds(), Leaving: s.Leaving})
		}
	}
	due = due || len(silent.Rows) > 0 || n.reportedSilent
	n.reportedSilent = len(silent.Rows) > 0
	var conns []*wire.Conn
	for c := range n.incoming {
		if p := c.Peer(); p.Role == wire.RoleEntry && p.DataCentre == n.opts.Self.DataCentre && due {
			conns = append(conns, c)
		}
	}
	n.mu.Unlock()
	for _, c := range conns {
		n.tasks.Go(func() { _ = c.SendNote(wire.NoteSilentReport, &silent) }) // a peer whose connection was lost reconnects
	}
}

func (n *Node) summary() *wire.Summary {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	sum := &wire.Summary{DataCentre: n.opts.Self.DataCentre, Region: n.opts.Self.Region, Entries: len(n.topology.Ranked)}
	if s := n.inForce; s != nil {
		sum.Oldest, sum.Newest = s.Version, s.Version
	}
	for name, v := range n.members.Versions() {
		if n.members.IsDown(name, now) {
			sum.Down++
			continue
		}
		sum.Oldest, sum.Newest = min(sum.Oldest, v), max(sum.Newest, v)
	}
	return sum
}

// ServeNote implements wire.Handler.
func (n *Node) ServeNote(c *wire.Conn, kind wire.Note, payload []byte) {
	if c.Peer().Role != wire.RoleEntry {
		return // only entries are members and observers
	}
	var err error
	switch kind {
	case wire.NoteHeartbeat:
		err = n.handleHeartbeat(c, payload)
	case wire.NoteSilentReport:
		err = n.handleSilentReport(c, payload)
	case wire.NoteSummary:
		err = n.handleSummary(payload)
	default:
		if n.opts.Note != nil {
			err = n.opts.Note(c.Peer().Name, kind, payload)
		}
	}
	if err != nil {
		n.log.Error(err, "invalid note", "peer", c.Peer().Name, "note", kind)
	}
}

func (n *Node) handleHeartbeat(c *wire.Conn, payload []byte) error {
	var b wire.Heartbeat
	if _, err := b.UnmarshalMsg(payload); err != nil {
		return err
	}
	p := c.Peer()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.Report(n.opts.Self.Name, Observation{Name: p.Name, Incarnation: p.Incarnation, Version: b.Version, Leaving: b.Leaving}, time.Now())
	return nil
}

func (n *Node) handleSilentReport(c *wire.Conn, payload []byte) error {
	var silent wire.SilentReport
	if _, err := silent.UnmarshalMsg(payload); err != nil {
		return err
	}
	observer := c.Peer().Name
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	missed := make(map[string]bool, len(silent.Rows))
	for _, r := range silent.Rows {
		missed[r.Name] = true
		n.members.Report(observer, Observation{Name: r.Name, Incarnation: r.Incarnation, Version: r.Version,
			Age: time.Duration(r.AgeMs) * time.Millisecond, Leaving: r.Leaving}, now)
	}
	n.members.RecordAllAlive(observer, missed, now)
	return nil
}

func (n *Node) handleSummary(payload []byte) error {
	var sum wire.Summary
	if _, err := sum.UnmarshalMsg(payload); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.summaries[sum.DataCentre] = sum
	return nil
}
