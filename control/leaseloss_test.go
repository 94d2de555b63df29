package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"
)

// orderInput is an order under the n-th lease of a resource, in the order in which the leases began.
type orderInput struct{ lease int }

// agentModel is an agent that accepts an order under a lease unless it has accepted one under a
// later lease.
var agentModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		latest, lease, accepted := state.(int), input.(orderInput).lease, output.(bool)
		if !accepted {
			return true, state
		}
		return lease >= latest, max(latest, lease)
	},
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("order under lease %d accepted: %v", input.(orderInput).lease, output)
	},
}

// leaseWatch records the leases of one resource and the orders that an agent gets.
type leaseWatch struct {
	*lossCluster
	resource string
	rng      *rand.Rand
	orders   sync.WaitGroup
	stop     chan struct{}

	watchMu sync.Mutex
	pauses  *rand.Rand // of holders
	leases  []Lease    // in the order in which they began
	agent   *Fence
	history []porcupine.Operation
	clock   int64
}

func newLeaseWatch(t *testing.T, seed uint64) *leaseWatch {
	w := &leaseWatch{lossCluster: newLossCluster(t), resource: GroupResource("g"),
		rng: rand.New(rand.NewPCG(seed, 13)), pauses: rand.New(rand.NewPCG(seed, 14)), stop: make(chan struct{}), agent: NewFence()}
	w.wantAll()
	return w
}

func (w *leaseWatch) wantAll() {
	for _, name := range w.names() {
		w.node(name).Want(w.resource)
	}
}

const watchInterval = 50 * time.Millisecond

// watch checks the holders of the resource and lets them give orders, some of them late, until stop
// is closed.
func (w *leaseWatch) watch() {
	for i := 0; ; i++ {
		select {
		case <-w.stop:
			return
		case <-time.After(watchInterval):
		}
		holders := w.holders(w.resource)
		if len(holders) > 1 {
			w.t.Errorf("nodes %v hold the lease at once", holders)
		}
		for _, name := range holders {
			if n := w.node(name); n != nil {
				if lease, ok := n.Held(w.resource); ok {
					lease.Holder = fmt.Sprint(name, "#", n.opts.Incarnation)
					w.give(lease, i)
				}
			}
		}
		if i%20 == 0 {
			w.sendFloors()
		}
	}
}

// give sends an order under a lease, now and then after a pause of the holder.
func (w *leaseWatch) give(lease Lease, round int) {
	w.watchMu.Lock()
	defer w.watchMu.Unlock()
	i := slices.IndexFunc(w.leases, func(l Lease) bool { return l.Fence == lease.Fence && l.Holder == lease.Holder })
	if i < 0 {
		if j := slices.IndexFunc(w.leases, func(l Lease) bool { return l.Fence == lease.Fence }); j >= 0 {
			w.t.Errorf("fencing number %d was given to %s and to %s", lease.Fence, w.leases[j].Holder, lease.Holder)
		}
		i = len(w.leases)
		w.leases = append(w.leases, lease)
	}
	pause := time.Duration(0)
	if round%10 == 0 {
		pause = time.Duration(w.pauses.IntN(60)) * time.Second
	}
	w.orders.Go(func() {
		time.Sleep(pause)
		w.watchMu.Lock()
		defer w.watchMu.Unlock()
		accepted := w.agent.Check(lease.Resource, lease.Fence) == nil
		w.clock += 2
		w.history = append(w.history, porcupine.Operation{Input: orderInput{i}, Output: accepted, Call: w.clock, Return: w.clock + 1})
	})
}

// sendFloors sends the floors of all nodes to the agent.
func (w *leaseWatch) sendFloors() {
	w.watchMu.Lock()
	defer w.watchMu.Unlock()
	for _, name := range w.names() {
		n := w.node(name)
		if n == nil {
			continue
		}
		floors := n.Floors([]string{w.resource})
		if n.Settled() {
			w.agent.RecordFloors(name, len(w.peers), floors)
		} else {
			w.agent.RecordUnsettledFloors(len(w.peers), floors)
		}
	}
}

// finish ends the watch and checks the orders. The last holder must be heard.
func (w *leaseWatch) finish() {
	time.Sleep(2 * (DefaultLeaseTiming.TTL + DefaultLeaseTiming.Margin))
	holders := w.holders(w.resource)
	close(w.stop)
	w.orders.Wait()
	slices.SortFunc(w.history, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
	if !porcupine.CheckOperations(agentModel, w.history) {
		w.t.Error("an earlier holder's order was accepted")
	}
	w.g.Expect(holders).To(HaveLen(1))
	last := len(w.leases) - 1
	w.g.Expect(w.agent.Check(w.resource, w.leases[last].Fence)).To(Succeed(), "the true holder is refused")
}

func (w *leaseWatch) restartAgent() {
	w.watchMu.Lock()
	defer w.watchMu.Unlock()
	w.agent = NewFence()
}

// loseRecords removes up to max of the latest records.
func (w *leaseWatch) loseRecords(max int) {
	st := w.log.State()
	n := min(uint64(1+w.rng.IntN(max)), st.Next-st.First-1)
	w.log.Lose(st.Next - n)
}

func (w *leaseWatch) pause(limit time.Duration) {
	time.Sleep(time.Duration(w.rng.Int64N(int64(limit))))
}

// disturb runs one fault of leases.
func (w *leaseWatch) disturb() {
	holders := w.holders(w.resource)
	if len(holders) == 0 {
		holders = w.names()[:1]
	}
	holder := holders[0]
	switch w.rng.IntN(6) {
	case 0: // the record of the present holder is lost
		w.loseRecords(4)
	case 1: // a new holder's claim is lost while the former one still acts
		w.node(holder).Drop(w.resource)
		w.pause(3 * time.Second)
		w.loseRecords(3)
		w.node(holder).Want(w.resource)
	case 2:
		w.restartAgent()
	case 3: // the holder is cut off with its claim, and the others do not know it any more
		w.isolate(holder, true)
		w.loseRecords(4)
		w.pause(time.Minute)
		w.isolate(holder, false)
	case 4: // a node starts from the short log
		w.loseRecords(4)
		name := w.names()[w.rng.IntN(len(w.names()))]
		w.restart(name)
		w.node(name).Want(w.resource)
	case 5:
		w.isolate(holder, true)
		w.pause(time.Minute)
		w.restartAgent()
		w.isolate(holder, false)
	}
}

// Guards against two holders at once, a fencing number given twice, an earlier holder's order that is
// accepted and a true holder that is refused for good, after the log has lost lease records.
func TestLeasesSurviveLostRecords(t *testing.T) {
	for seed := range uint64(lossSeeds()) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newLeaseWatch(t, seed)
				defer w.close()
				w.waitForHolder(w.resource, 10*time.Second, "")
				go w.watch()
				for range 4 {
					w.pause(40 * time.Second)
					w.disturb()
				}
				w.finish()
			})
		})
	}
}

// Guards against a second holder that had not read the first one's claim before the log lost it.
func TestClaimOfLaggingEntryAfterALossHasOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newLeaseWatch(t, 1)
		defer w.close()
		first := w.waitForHolder(w.resource, 10*time.Second, "")
		for _, name := range w.names() {
			w.node(name).Drop(w.resource)
		}
		time.Sleep(DefaultLeaseTiming.TTL)
		kept := w.end()
		readers := slices.DeleteFunc(w.names(), func(name string) bool { return name == first || !w.node(name).topology.ReadsLog() })
		lagging := slices.Min(readers)
		w.setLinkDown(lagging, logEndpoint, true) // it reads from peers only when its log is stale
		w.node(first).Want(w.resource)
		w.waitForHolder(w.resource, 10*time.Second, "")
		w.log.Lose(kept)
		w.setLinkDown(lagging, logEndpoint, false)
		w.node(lagging).Want(w.resource)
		for begin := time.Now(); time.Since(begin) < DefaultLeaseTiming.TTL; time.Sleep(watchInterval) {
			if holders := w.holders(w.resource); len(holders) > 1 {
				t.Fatalf("nodes %v hold the lease at once, %s after the loss", holders, time.Since(begin))
			}
		}
	})
}
