package members

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/conc"
	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/peers"
)

// PeerClient sends requests to one entry. *peers.Client implements it.
type PeerClient interface {
	// Ask sends a request and decodes the response. The limit covers both.
	Ask(ctx context.Context, kind peers.Kind, request msgp.Marshaler, response msgp.Unmarshaler, limit time.Duration) error
	// Close closes the connection.
	Close()
}

// Piggyback supplies and consumes the data that probes and acks carry besides the membership
// updates.
type Piggyback interface {
	// LocalState returns whether this entry accepts requests and whether it reaches the store.
	LocalState() (ready, store bool)
	// PrepareProbe adds data to a probe of the named entry. The caller calls done when the probe
	// has ended.
	PrepareProbe(name string, q *peers.Heartbeat) (done func())
	// HandleAck merges the ack of a probe that was sent at the given time.
	HandleAck(ack *peers.Heartbeat, sent time.Time)
	// HandleProbe merges a received probe and adds data to its ack. It returns true if the
	// prober has data that this entry lacks, so that this entry probes it in return.
	HandleProbe(probe, ack *peers.Heartbeat) (probeBack bool)
}

// Options configure a Membership.
type Options struct {
	Self             peers.Presence
	Piggyback        Piggyback
	Dial             func(address string) PeerClient
	MaxConnections   int // connections to other entries that are kept; 0: no limit
	Rand             *rand.Rand
	Log              logr.Logger
	IncrementCounter func(counter string)
}

// Membership runs the failure detector of one entry and disseminates its membership updates.
type Membership struct {
	opts  Options
	table *Table

	mu            sync.Mutex
	clients       map[string]*pooledClient // by entry name
	queued        map[string]bool          // names in probeQueue
	probeQueue    chan string              // names of the entries to probe
	indirect      chan struct{}            // holds a token for each probe on behalf of another entry
	updatePending chan struct{}            // holds one token while updates wait for dissemination
	fullSyncDone  bool                     // no full sync (request for another entry's whole table) is due: one was sent and has not failed
}

// Protocol parameters.
const (
	// probeInterval of 250 ms makes some entry probe a dead one within half a second on average,
	// whatever the size of the fleet.
	probeInterval = 250 * time.Millisecond
	// roundsPerLostProbe is the number of probe rounds for each probe of a lost entry.
	roundsPerLostProbe = 4
	// probeTimeout is many times the longest round trip and leaves a small VM time to respond.
	probeTimeout = 400 * time.Millisecond
	// indirectProbeTimeout includes the prober's own probeTimeout.
	indirectProbeTimeout = probeTimeout + 200*time.Millisecond
	// indirectProbers is the number of entries that are asked for an indirect probe.
	indirectProbers = 3
	// disseminationFanOut is the number of entries to which an entry sends new updates at once.
	// With five, one entry in 150 (e to the power of -5) is missed and learns the updates from
	// its next probe.
	disseminationFanOut = 5
	// disseminationInterval batches updates that arrive together, as when all entries start.
	disseminationInterval = 30 * time.Millisecond
	// probeWorkers is the number of goroutines that probe in parallel. A dead entry blocks one
	// of them for probeTimeout.
	probeWorkers   = 8
	probeQueueSize = 256
	// maxIndirectProbes is the number of probes at the same time on behalf of other entries.
	maxIndirectProbes = 32
	// convergenceTime is the time without updates after which the tables of all entries should
	// be equal. If two digests still differ, one of the entries has missed updates.
	convergenceTime = time.Second
	// clientIdleTimeout is the time after which the connection to an entry that has not been
	// probed is closed.
	clientIdleTimeout = 4 * time.Second
)

// New returns a Membership that sends no probes until Run is called.
func New(o Options) *Membership {
	return &Membership{
		opts:          o,
		table:         NewTable(o.Self, o.Rand),
		clients:       make(map[string]*pooledClient),
		queued:        make(map[string]bool),
		probeQueue:    make(chan string, probeQueueSize),
		indirect:      make(chan struct{}, maxIndirectProbes),
		updatePending: make(chan struct{}, 1),
	}
}

// Table returns the table of known entries.
func (m *Membership) Table() *Table { return m.table }

// Run probes entries and disseminates updates until ctx ends.
func (m *Membership) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	for range probeWorkers {
		tasks.Go(func() { m.runProbeWorker(ctx) })
	}
	tasks.Go(func() { m.runDissemination(ctx) })
	tasks.Go(func() { m.scheduleProbes(ctx) })
	tasks.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.clients {
		c.peer.Close()
	}
}

// Disseminate triggers probes that carry the pending updates to some entries.
func (m *Membership) Disseminate() {
	select {
	case m.updatePending <- struct{}{}:
	default: // a dissemination is pending already
	}
}

// AddFromRecord adds an entry that is known from its record in the store.
func (m *Membership) AddFromRecord(p peers.Presence) {
	if m.table.AddFromRecord(p, time.Now()) {
		m.opts.Log.Info("entry added from its store record", "entry", p.Name, "address", p.PeerAddr)
		m.enqueueProbe(p.Name)
	}
}

// enqueueProbe queues a probe of an entry unless one is queued already.
func (m *Membership) enqueueProbe(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.queued[name] {
		return
	}
	select {
	case m.probeQueue <- name:
		m.queued[name] = true
	default:
		m.opts.IncrementCounter("entries_not_asked") // the queue is full; a later probe round probes the entry
	}
}

func (m *Membership) runProbeWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-m.probeQueue:
			m.mu.Lock()
			delete(m.queued, name)
			m.mu.Unlock()
			m.probeEntry(ctx, name)
		}
	}
}

// scheduleProbes queues the probes of each round: the next entry in probe order, all suspects,
// and now and then a lost entry.
func (m *Membership) scheduleProbes(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		m.sleep(ctx, probeInterval)
		if _, changed := m.table.UpdateSelf(m.opts.Piggyback.LocalState()); changed {
			m.Disseminate()
		}
		if name, ok := m.table.NextToProbe(); ok {
			m.enqueueProbe(name)
		}
		for _, name := range m.table.Suspects() {
			m.enqueueProbe(name)
		}
		if n%roundsPerLostProbe == 0 {
			if name, ok := m.table.NextLostToProbe(time.Now()); ok {
				m.enqueueProbe(name)
			}
			m.closeIdleClients()
		}
	}
}

// runDissemination queues probes of some random entries whenever updates are pending.
func (m *Membership) runDissemination(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.updatePending:
		}
		for _, name := range m.table.RandomAliveMostlyLocal(disseminationFanOut) {
			m.enqueueProbe(name)
		}
		m.sleep(ctx, disseminationInterval)
	}
}

// sleep waits for d or until ctx ends.
func (m *Membership) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// newHeartbeat returns a message with this entry's presence and recent updates on others.
func (m *Membership) newHeartbeat() *peers.Heartbeat {
	self, changed := m.table.UpdateSelf(m.opts.Piggyback.LocalState())
	if changed {
		m.Disseminate()
	}
	return &peers.Heartbeat{Entry: self, Members: m.table.RecentUpdates(time.Now()), Digest: m.table.Digest()}
}

// probeEntry probes an entry directly and, if that fails, through other entries.
func (m *Membership) probeEntry(ctx context.Context, name string) {
	err := m.directProbe(ctx, name)
	if err == nil || ctx.Err() != nil {
		return
	}
	if m.table.RecordProbeFailure(name, m.probeIndirectly(ctx, name), time.Now()) {
		m.opts.Log.Info("entry lost", "entry", name, "error", err.Error())
		m.Disseminate()
	}
}

// directProbe probes an entry and merges its ack.
func (m *Membership) directProbe(ctx context.Context, name string) error {
	client := m.clientFor(name)
	if client == nil {
		return nil
	}
	probe := m.newHeartbeat()
	probe.All = m.claimFullSync()
	done := m.opts.Piggyback.PrepareProbe(name, probe)
	defer done()
	sent := time.Now()
	var ack peers.Heartbeat
	if err := client.Ask(ctx, peers.KindHeartbeat, probe, &ack, probeTimeout); err != nil {
		if probe.All {
			m.scheduleFullSync()
		}
		return err
	}
	m.MergeHeartbeat(&ack)
	m.opts.Piggyback.HandleAck(&ack, sent)
	if ack.Digest != m.table.Digest() && m.table.SinceLastUpdate(time.Now()) > convergenceTime {
		m.scheduleFullSync()
	}
	return nil
}

// claimFullSync returns true if a full sync is due and marks it as done, so that only one probe
// requests it. A full sync is due at the start and after scheduleFullSync.
func (m *Membership) claimFullSync() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	due := !m.fullSyncDone
	m.fullSyncDone = true
	return due
}

// scheduleFullSync makes the next probe request all that the probed entry knows.
func (m *Membership) scheduleFullSync() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fullSyncDone = false
}

// probeIndirectly makes other entries probe an entry. One ack is enough.
func (m *Membership) probeIndirectly(ctx context.Context, name string) IndirectResult {
	results := make(chan IndirectResult, indirectProbers)
	probers := m.table.RandomAlive(indirectProbers, name)
	for _, prober := range probers {
		go func() { results <- m.requestIndirectProbe(ctx, prober, name) }()
	}
	combined := IndirectNone
	for range probers {
		switch <-results {
		case IndirectAck:
			return IndirectAck
		case IndirectTimeout:
			combined = IndirectTimeout
		}
	}
	return combined
}

// requestIndirectProbe makes one other entry, the prober, probe the named entry.
func (m *Membership) requestIndirectProbe(ctx context.Context, prober, name string) IndirectResult {
	client := m.clientFor(prober)
	if client == nil {
		return IndirectNone
	}
	var result peers.ProbeResult
	if err := client.Ask(ctx, peers.KindProbe, &peers.ProbeQuery{Name: name}, &result, indirectProbeTimeout); err != nil {
		return IndirectNone
	}
	switch {
	case !result.Known:
		return IndirectNone
	case result.Answered:
		return IndirectAck
	}
	return IndirectTimeout
}

// MergeHeartbeat merges a received probe or ack into the table. If the table held a newer state
// of the sender than the message contains, MergeHeartbeat returns the newer state, for the
// sender to refute.
func (m *Membership) MergeHeartbeat(h *peers.Heartbeat) (newer *peers.Member) {
	now := time.Now()
	changed, newer := m.table.MergeOwnPresence(h.Entry, now)
	if changed {
		m.opts.Log.Info("entry heard", "entry", h.Entry.Name, "ready", h.Entry.Ready, "store", h.Entry.StoreReachable, "incarnation", h.Entry.Incarnation)
	}
	merged := m.table.MergeMembers(h.Members, now)
	for _, name := range merged.ToProbe {
		m.enqueueProbe(name)
	}
	if changed || merged.HasUpdates {
		m.Disseminate()
	}
	return newer
}

// HandleProbe merges a received probe and returns its ack.
func (m *Membership) HandleProbe(payload []byte) (msgp.Marshaler, error) {
	var probe peers.Heartbeat
	if _, err := probe.UnmarshalMsg(payload); err != nil {
		return nil, err
	}
	newer := m.MergeHeartbeat(&probe)
	ack := m.newHeartbeat()
	if probe.All {
		ack.Members = m.table.AllMembers(time.Now())
	}
	if newer != nil {
		ack.Members = append(ack.Members, *newer)
	}
	if m.opts.Piggyback.HandleProbe(&probe, ack) {
		m.enqueueProbe(probe.Entry.Name)
	}
	return ack, nil
}

// HandleIndirectProbe probes an entry on behalf of another one whose own probe has failed.
func (m *Membership) HandleIndirectProbe(payload []byte) (msgp.Marshaler, error) {
	var q peers.ProbeQuery
	if _, err := q.UnmarshalMsg(payload); err != nil {
		return nil, err
	}
	if _, known := m.table.Address(q.Name); !known {
		return &peers.ProbeResult{}, nil
	}
	select {
	case m.indirect <- struct{}{}:
	default:
		return &peers.ProbeResult{}, nil // the other entry asks several
	}
	defer func() { <-m.indirect }()
	ctx, cancel := context.WithTimeout(context.Background(), indirectProbeTimeout)
	defer cancel()
	return &peers.ProbeResult{Known: true, Answered: m.directProbe(ctx, q.Name) == nil}, nil
}
