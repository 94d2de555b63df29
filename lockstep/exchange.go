package lockstep

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/logging"
	"github.com/heatherrail/heatherrail/peers"
)

// demandExchange sends demand samples to the leaders of the service's other groups and keeps those
// received, until the leader's next round.
//
// Sending runs beside the rounds, on connections of its own: a round must not wait for another group.
type demandExchange struct {
	mu       sync.Mutex
	received map[string]groupSample   // latest sample by group
	senders  map[string]*sampleSender // by address
}

// sampleSender sends samples to one leader, one at a time.
type sampleSender struct {
	client  *agentClient
	next    *peers.DemandSample // sample to send next; a newer sample replaces it
	nextAt  time.Time           // when next was made
	running bool
}

// Limits of the exchange.
const (
	// sampleTimeout is the timeout of a sample. A later answer is of no use: the next sample follows.
	sampleTimeout = 150 * time.Millisecond
	// leaderTTL is the time since its latest round for which an agent says that it leads a group.
	leaderTTL = 2 * time.Second
	// samplesPerShift is how many samples a leader sends after a shift.
	samplesPerShift = 4
	// maxSampleReceivers bounds the leaders to which a leader sends samples, and the groups whose
	// samples it keeps.
	maxSampleReceivers = 8
)

// send queues a sample for each of the leaders and returns at once.
func (x *demandExchange) send(a *Agent, sample *peers.DemandSample, addresses []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for address, s := range x.senders {
		if !slices.Contains(addresses, address) && !s.running {
			delete(x.senders, address)
			a.tasks.Go(s.client.client.Close)
		}
	}
	for _, address := range addresses {
		s := x.senders[address]
		if s == nil {
			if x.senders == nil {
				x.senders = make(map[string]*sampleSender)
			}
			s = &sampleSender{client: &agentClient{client: a.opts.Dial(address)}}
			x.senders[address] = s
		}
		s.next, s.nextAt = sample, time.Now()
		if !s.running {
			s.running = true
			a.tasks.Go(func() { x.sendQueued(a, s) })
		}
	}
}

// sendQueued sends the queued sample and those that are queued meanwhile.
func (x *demandExchange) sendQueued(a *Agent, s *sampleSender) {
	for {
		x.mu.Lock()
		if s.next == nil || a.ctx.Err() != nil {
			s.running = false
			x.mu.Unlock()
			return
		}
		sample, queuedFor := *s.next, time.Since(s.nextAt)
		s.next = nil
		x.mu.Unlock()
		if s.client.inBackoff() {
			a.opts.Metrics.Count("demand_samples_skipped", 1)
			continue
		}
		sample.AgeMS += uint32(queuedFor.Milliseconds())
		var ack peers.DemandAck
		if err := s.client.client.Ask(a.ctx, peers.KindDemand, &sample, &ack, sampleTimeout); err != nil || !ack.Leads {
			s.client.recordFailure() // it does not answer, or another member leads the group now
			a.opts.Metrics.Count("demand_samples_unanswered", 1)
			continue
		}
		s.client.recordSuccess()
		a.opts.Metrics.Count("demand_samples_sent", 1)
	}
}

// close closes the connections.
func (x *demandExchange) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range x.senders {
		s.client.client.Close()
	}
	x.senders = nil
}

// store keeps a received sample until the next call of take.
func (x *demandExchange) store(s groupSample) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.received == nil {
		x.received = make(map[string]groupSample)
	}
	if _, known := x.received[s.group]; known || len(x.received) < maxSampleReceivers {
		x.received[s.group] = s
	}
}

// take returns the samples received since the previous call, by group name.
func (x *demandExchange) take() []groupSample {
	x.mu.Lock()
	defer x.mu.Unlock()
	samples := slices.SortedFunc(maps.Values(x.received), func(p, q groupSample) int { return cmp.Compare(p.group, q.group) })
	x.received = nil
	return samples
}

// handleDemand receives a sample of another group's leader.
func (a *Agent) handleDemand(payload []byte) (msgp.Marshaler, error) {
	var m peers.DemandSample
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, err
	}
	a.mu.Lock()
	own, leads := a.groupName, a.groupLoads.isLeader && time.Since(a.groupLoads.asOf) < leaderTTL
	a.mu.Unlock()
	if !leads || m.Group == own || m.Group == "" {
		return &peers.DemandAck{Leads: leads && m.Group != own}, nil
	}
	s, ok := decodeSample(&m, time.Now())
	if !ok {
		a.opts.Metrics.Count("demand_samples_rejected", 1)
		return &peers.DemandAck{Leads: true}, nil
	}
	a.exchange.store(s)
	return &peers.DemandAck{Leads: true}, nil
}

// encodeSample returns the message with the selections of a group since its latest shift.
func encodeSample(group string, loads []float64, shiftAt, now time.Time, shifted bool) *peers.DemandSample {
	unit, bands := expert.EncodeLoads(loads)
	return &peers.DemandSample{
		Group: group, Shifted: shifted, AgeMS: uint32(min(max(now.Sub(shiftAt), 0), time.Hour).Milliseconds()),
		Unit: unit, Experts: uint32(len(bands)), Bands: bands,
	}
}

// maxSampleExperts is the maximum number of experts in a sample, over all layer sets. A decoded expert takes eight times its bytes in the message.
const maxSampleExperts = 1 << 16

// decodeSample decodes a message of another group; false if it is malformed.
func decodeSample(m *peers.DemandSample, now time.Time) (groupSample, bool) {
	if !peers.IsName(m.Group) || len(m.Bands) == 0 || len(m.Bands) > maxSampleExperts || int(m.Experts) != len(m.Bands) || !(m.Unit > 0) || math.IsInf(m.Unit, 0) {
		return groupSample{}, false
	}
	s := groupSample{group: m.Group, loads: expert.DecodeLoads(m.Unit, m.Bands), shiftAt: now.Add(-time.Duration(m.AgeMS) * time.Millisecond), receivedAt: now}
	for _, n := range s.loads {
		s.total += n
	}
	return s, s.total > 0 && !math.IsInf(s.total, 0)
}

// otherLeaders returns the agents of the members that lead other groups of the service. If there are
// many, each group takes those that follow it by name, so that no leader receives from all.
func (g *group) otherLeaders(own string) []string {
	byGroup := make(map[string]string)
	for _, m := range g.sortedMembers() {
		if m.rank == 0 && m.groupName != "" && m.groupName != own && m.agentAddr != "" && m.localAgent == nil && m.missingSince.IsZero() {
			byGroup[m.groupName] = m.agentAddr
		}
	}
	names := slices.Sorted(maps.Keys(byGroup))
	after, _ := slices.BinarySearch(names, own)
	names = slices.Concat(names[after:], names[:after])
	var addresses []string
	for _, name := range names[:min(len(names), maxSampleReceivers)] {
		addresses = append(addresses, byGroup[name])
	}
	return addresses
}

// hearSamples takes the samples that other leaders have sent since the previous round.
func (l *leader) hearSamples(now time.Time) {
	for _, s := range l.a.exchange.take() {
		if l.demand.mixed || ablate.Off(ablate.DemandExchange) {
			continue
		}
		switch l.demand.hear(s, now) {
		case sampleRejected:
			l.a.opts.Metrics.Count("demand_samples_rejected", 1)
		case sampleUsed:
			l.a.opts.Metrics.Count("demand_samples_used", 1)
		case sampleAnnounces:
			l.a.opts.Metrics.Count("demand_shifts_announced", 1)
			l.a.opts.Log.Info("another group's demand moved", "epoch", l.epoch, "other", s.group, "age_ms", now.Sub(s.shiftAt).Milliseconds())
		}
	}
}

// sendSample sends this group's selections since the latest shift to the other leaders, after each of
// the first samples that follow a shift.
func (l *leader) sendSample(group string, now time.Time) {
	d := l.demand
	if d.mixed || ablate.Off(ablate.DemandExchange) || d.shiftAt.IsZero() || d.samples == l.sentSamples ||
		d.samples > samplesPerShift || d.borrowed || !d.isSettled(now) ||
		d.steady.total < minSelectionsPerExpert*float64(len(d.steady.loads)) {
		return
	}
	l.sentSamples = d.samples
	if leaders := l.group.otherLeaders(group); len(leaders) > 0 {
		l.a.exchange.send(l.a, encodeSample(group, d.steady.loads, d.shiftAt, now, d.samples == 1), leaders)
	}
}

// logShift logs and counts a shift that the demand estimate has detected.
func (l *leader) logShift(group string, step uint64, now time.Time) {
	first := l.demand.shiftSeenBy
	if first == "" {
		first = group
	}
	seenAt := l.demand.shiftAt
	if l.demand.mixed {
		seenAt = now
	}
	if l.shiftClock.observe(seenAt) {
		l.a.opts.Metrics.Count("demand_shifts", 1)
	}
	l.sentSamples = 0
	l.a.opts.Log.Info("demand moved", "group", group, "epoch", l.epoch, "step", step,
		"imbalance", logging.Round2(imbalance(l.layouts, l.demand.loads(), nil, l.group.model)),
		"first", first, "selections", int(l.demand.selectionsPerExpert()), "settled", l.demand.isSettled(now),
		"interval_ms", l.shiftClock.regularInterval().Milliseconds())
}
