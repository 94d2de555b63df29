package lockstep

import (
	"bytes"
	"context"
	"math"
	"regexp"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/peers"
)

// counterOf returns the value of a counter of an agent.
func counterOf(t *testing.T, a *Agent, name string) int {
	t.Helper()
	g := NewWithT(t)
	var text bytes.Buffer
	g.Expect(a.opts.Metrics.Write(&text)).To(Succeed())
	match := regexp.MustCompile(`(?m)^\S*` + name + `(?:\{\})? (\d+)`).FindStringSubmatch(text.String())
	if match == nil {
		return 0
	}
	n, err := strconv.Atoi(match[1])
	g.Expect(err).NotTo(HaveOccurred())
	return n
}

// scriptedClient is a client of an agent that is silent until silentUntil.
type scriptedClient struct {
	silentUntil time.Time
	leads       bool
	asked       atomic.Int64
	answered    atomic.Int64
	maxAgeMS    atomic.Int64
}

// Ask implements PeerClient.
func (c *scriptedClient) Ask(ctx context.Context, _ peers.Kind, q msgp.Marshaler, answer msgp.Unmarshaler, limit time.Duration) error {
	c.asked.Add(1)
	if time.Now().Before(c.silentUntil) {
		select {
		case <-time.After(limit):
		case <-ctx.Done():
		}
		return errNoAnswer
	}
	c.maxAgeMS.Store(max(c.maxAgeMS.Load(), int64(q.(*peers.DemandSample).AgeMS)))
	c.answered.Add(1)
	answer.(*peers.DemandAck).Leads = c.leads
	return nil
}

// Close implements PeerClient.
func (c *scriptedClient) Close() {}

// The leader of another group is cut off. Sending must not wait for it, other leaders must get each
// sample at once, and requests to it must become rare.
func TestSilentLeaderDelaysNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		clients := map[string]*scriptedClient{
			"silent": {silentUntil: time.Now().Add(5 * time.Second), leads: true},
			"live":   {leads: true},
			"former": {leads: false},
		}
		a := newAgent(Options{Metrics: metrics.New(), Log: logr.Discard(), Dial: func(address string) PeerClient { return clients[address] }})
		addresses := []string{"silent", "live", "former"}
		start := time.Now()
		for range 100 {
			before := time.Now()
			a.exchange.send(a, &peers.DemandSample{Group: "g"}, addresses)
			g.Expect(time.Since(before)).To(BeZero())
			time.Sleep(50 * time.Millisecond)
		}
		g.Expect(time.Since(start)).To(Equal(5 * time.Second))
		g.Expect(clients["live"].answered.Load()).To(BeEquivalentTo(100))
		g.Expect(clients["silent"].asked.Load()).To(BeNumerically("<", 10), "backoff")
		g.Expect(clients["former"].asked.Load()).To(BeNumerically("<", 10), "it no longer leads")
		time.Sleep(2 * time.Second)
		a.exchange.send(a, &peers.DemandSample{Group: "g"}, addresses)
		synctest.Wait()
		g.Expect(clients["silent"].answered.Load()).To(BeEquivalentTo(1), "it answers again")
		g.Expect(clients["silent"].maxAgeMS.Load()).To(BeZero(), "only the latest sample is sent")
		a.cancel()
		a.exchange.close()
		a.tasks.Wait()
	})
}

// Malformed samples and samples to an agent that does not lead must have no effect.
func TestOnlyLeadersKeepWellFormedSamples(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(newSimGroup(4, 1, 8, 1))
		a := f.agents[0]
		send := func(m peers.DemandSample) bool {
			payload, err := m.MarshalMsg(nil)
			g.Expect(err).NotTo(HaveOccurred())
			answer, err := a.handleDemand(payload)
			g.Expect(err).NotTo(HaveOccurred())
			return answer.(*peers.DemandAck).Leads
		}
		sample := encodeSample("h", []float64{1, 2, 3, 4, 5, 6, 7, 8000}, time.Now(), time.Now(), true)
		a.setGroup("g", 4)
		g.Expect(send(*sample)).To(BeFalse())
		a.publishLoads(peers.Loads{Known: true})
		for _, unit := range []float64{0, -1, math.NaN(), math.Inf(1), math.MaxFloat64} {
			malformed := *sample
			malformed.Unit = unit
			malformed.Bands = []byte{0, 0, 0, 0, 0, 0, 0, 0}
			g.Expect(send(malformed)).To(BeTrue())
		}
		short := *sample
		short.Bands = short.Bands[:3]
		g.Expect(send(short)).To(BeTrue())
		own := *sample
		own.Group = "g"
		g.Expect(send(own)).To(BeFalse())
		g.Expect(a.exchange.take()).To(BeEmpty())
		g.Expect(send(*sample)).To(BeTrue())
		g.Expect(a.exchange.take()).To(HaveLen(1))
		for i := range 3 * maxSampleReceivers {
			other := *sample
			other.Group = strconv.Itoa(i)
			send(other)
		}
		g.Expect(a.exchange.take()).To(HaveLen(maxSampleReceivers))
		time.Sleep(2 * leaderTTL)
		g.Expect(send(*sample)).To(BeFalse(), "it has stopped leading")
	})
}

// Leaders must find each other and use each other's samples. When one freezes, the other group must
// still get a map for each shift.
func TestGroupsExchangeDemandAndOutliveAFrozenLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		first, second := newSimGroup(6, 2, 36, 3), newSimGroup(6, 2, 36, 3)
		second.name = "h"
		a, b := newFleetPair(first, second)
		a.start()
		b.start()
		time.Sleep(3 * time.Second)
		for range 3 {
			shiftBoth(first, second)
			time.Sleep(1500 * time.Millisecond)
		}
		used := counterOf(t, a.agents[0], "demand_samples_used") + counterOf(t, b.agents[0], "demand_samples_used")
		sent := counterOf(t, a.agents[0], "demand_samples_sent")
		b.group.ranks[0].vm.freeze()
		var delays []time.Duration
		for range 3 {
			shiftBoth(first, second)
			delays = append(delays, timeToSwitch(first))
			time.Sleep(1500 * time.Millisecond)
		}
		unanswered := counterOf(t, a.agents[0], "demand_samples_unanswered")
		a.stop()
		b.stop()
		g.Expect(used).To(BeNumerically(">=", 3))
		g.Expect(sent).To(BeNumerically(">=", 6))
		g.Expect(unanswered).To(BeNumerically(">", 0))
		g.Expect(delays).To(HaveEach(BeNumerically("<", maxSwitchDelay)))
		g.Expect(first.mixedSteps).To(BeEmpty())
		g.Expect(second.mixedSteps).To(BeEmpty())
	})
}

// shiftBoth draws one new demand for two groups.
func shiftBoth(first, second *simGroup) {
	first.shiftDemand()
	first.mu.Lock()
	loads := first.loads
	first.mu.Unlock()
	second.mu.Lock()
	second.loads = loads
	second.mu.Unlock()
}

// A sample of more experts than any group has must not be decoded, as it takes eight times its bytes.
func TestOversizedSampleIsRejected(t *testing.T) {
	g := NewWithT(t)
	message := func(experts int) *peers.DemandSample {
		return &peers.DemandSample{Group: "g", Unit: 1, Experts: uint32(experts), Bands: bytes.Repeat([]byte{1}, experts)}
	}
	_, ok := decodeSample(message(maxSampleExperts), time.Now())
	g.Expect(ok).To(BeTrue())
	_, ok = decodeSample(message(maxSampleExperts+1), time.Now())
	g.Expect(ok).To(BeFalse())
}
