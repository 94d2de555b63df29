package shedding

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_000_000, 0)

func address(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}) }

// at is a time some milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// opened opens a connection for which there is room.
func opened(t *testing.T, a *Account, addr, ms int) *Holder {
	t.Helper()
	h, givesWay := a.Open(address(addr), at(ms))
	g := NewWithT(t)
	g.Expect(h).NotTo(BeNil())
	g.Expect(givesWay).To(BeNil())
	return h
}

// holding opens a connection in a state that holds memory.
func holding(t *testing.T, a *Account, addr, ms int, s State, bytes int) *Holder {
	t.Helper()
	h := opened(t, a, addr, ms)
	h.SetState(s, at(ms))
	NewWithT(t).Expect(h.Grow(bytes, at(ms)).Granted).To(BeTrue())
	return h
}

const mb = 1 << 20

// A connection that sends nothing gives way to one that comes; one with a request does not.
func TestSilentConnectionsGiveWay(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount(Limits{Connections: 4, Bytes: mb})
	running := opened(t, a, 1, 0)
	running.SetState(Running, at(0))
	idle := opened(t, a, 1, 1)
	idle.SetState(Idle, at(1))
	part := opened(t, a, 2, 2)
	part.SetState(Head, at(2))
	silent := opened(t, a, 2, 3)
	for _, expected := range []*Holder{silent, part, idle} {
		h, givesWay := a.Open(address(3+int(expected.state)), at(4))
		g.Expect(h).NotTo(BeNil())
		g.Expect(givesWay).To(BeIdenticalTo(expected))
		expected.Close()
		h.SetState(Running, at(4))
	}
	h, givesWay := a.Open(address(9), at(5))
	g.Expect(h).To(BeNil(), "all have requests")
	g.Expect(givesWay).To(BeNil())
	running.Close()
	opened(t, a, 9, 6)
}

// One address opens many connections. It must get at most half of all, and its newest take the place of its silent ones.
func TestOneAddressHasHalfOfTheConnections(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount(Limits{Connections: 8, Bytes: mb})
	var list []*Holder
	for i := range 4 {
		list = append(list, opened(t, a, 1, i))
	}
	h, givesWay := a.Open(address(1), at(5))
	g.Expect(h).NotTo(BeNil())
	g.Expect(givesWay).To(BeIdenticalTo(list[0]), "the longest silent one of the same address")
	list[0].Close()
	for _, busy := range append(list[1:], h) {
		busy.SetState(Running, at(6))
	}
	h, _ = a.Open(address(1), at(7))
	g.Expect(h).To(BeNil())
	opened(t, a, 2, 8)
}

// Running requests from a few addresses must not take the connections of all others.
func TestAddressesWithFewConnectionsFindRoom(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount(Limits{Connections: 800, Bytes: mb})
	for i := range 700 {
		opened(t, a, 1+i%4, i).SetState(Running, at(i))
	}
	for i := range 4 {
		h, _ := a.Open(address(1+i), at(800))
		g.Expect(h).To(BeNil())
	}
	for i := range 100 {
		opened(t, a, 10+i, 800+i).SetState(Running, at(800+i))
	}
	h, _ := a.Open(address(500), at(1000))
	g.Expect(h).To(BeNil())
}

// A connection whose request is on its way must not be replaced by the next of a crowd whose other requests run.
func TestFreshConnectionIsKeptBesideRunningRequests(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount(Limits{Connections: 100, Bytes: mb, MinSilence: 200 * time.Millisecond})
	for i := range 88 {
		opened(t, a, 1+i%4, i).SetState(Running, at(i))
	}
	newcomer := opened(t, a, 9, 100)
	for i := range 4 {
		h, _ := a.Open(address(1+i), at(299))
		g.Expect(h).To(BeNil())
	}
	h, givesWay := a.Open(address(1), at(300))
	g.Expect(h).NotTo(BeNil())
	g.Expect(givesWay).To(BeIdenticalTo(newcomer), "it has had its time")
	newcomer.Close()
	for i := range 11 {
		opened(t, a, 10+i, 300).SetState(Running, at(300))
	}
	other, givesWay := a.Open(address(50), at(301))
	g.Expect(other).NotTo(BeNil())
	g.Expect(givesWay).To(BeIdenticalTo(h), "a fresh one of an address with more connections")
}

// Callers that read nothing of their responses must not keep the connections that others need; those that read, or whose requests run, do.
func TestUnreadResponsesGiveWayToNewConnections(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount(Limits{Connections: 4, Bytes: mb})
	var list []*Holder
	for i := range 4 {
		h := opened(t, a, 1+i, i)
		h.SetState(Running, at(i))
		list = append(list, h)
	}
	list[1].Stalled(1, 2*time.Second, at(3000))
	list[2].Stalled(1, 3*time.Second, at(3000))
	h, givesWay := a.Open(address(9), at(3000))
	g.Expect(h).NotTo(BeNil())
	g.Expect(givesWay).To(BeIdenticalTo(list[2]))
	list[2].Close()
	h, _ = a.Open(address(10), at(3001))
	g.Expect(h).NotTo(BeNil(), "in place of the silent one")
	h.SetState(Running, at(3002))
	h, _ = a.Open(address(11), at(3003))
	g.Expect(h).To(BeNil())
}

// Silent connections of a crowd give way before one that another caller has just opened.
func TestNewcomerIsKeptBesideACrowd(t *testing.T) {
	a := NewAccount(Limits{Connections: 100, Bytes: mb})
	for i := range 88 {
		opened(t, a, 1+i%4, i)
	}
	newcomer := opened(t, a, 9, 100)
	for i := range 99 {
		h, givesWay := a.Open(address(1+i%4), at(101+i))
		NewWithT(t).Expect(h).NotTo(BeNil())
		NewWithT(t).Expect(givesWay).NotTo(BeIdenticalTo(newcomer))
		givesWay.Close()
	}
}

// One address, or one key, can't have all of the memory.
func TestOneCallerHasHalfOfTheMemory(t *testing.T) {
	g := NewWithT(t)
	a := NewAccount(Limits{Connections: 100, Bytes: 16 * mb})
	holding(t, a, 1, 0, Running, 4*mb)
	second := holding(t, a, 1, 0, Body, 4*mb)
	needs := func(ms int) Decision {
		h := opened(t, a, 1, ms)
		h.SetState(Body, at(ms))
		return h.Grow(mb, at(ms))
	}
	g.Expect(needs(1).Refused).To(BeTrue(), "the address has half")
	g.Expect(needs(1500).GiveWay).To(Equal([]*Holder{second}), "unless one of its bodies has stalled")
	second.Close()

	a = NewAccount(Limits{Connections: 100, Bytes: 16 * mb})
	for i := range 2 {
		holding(t, a, 10+i, 0, Running, 4*mb).SetKey("team")
	}
	ofKey := func(key string, bytes int) Decision {
		h := opened(t, a, 20, 1)
		h.SetKey(key)
		return h.Grow(bytes, at(1))
	}
	g.Expect(ofKey("team", mb).Refused).To(BeTrue(), "the key has half")
	g.Expect(ofKey("team", SmallBytes).Granted).To(BeTrue(), "but for short requests")
	g.Expect(ofKey("other", mb).Granted).To(BeTrue())
}

// Whatever connections do, the account stays within its limits and keeps no trace of closed ones.
func TestRandomConnectionsStayWithinTheLimits(t *testing.T) {
	for seed := range uint64(50) {
		g := NewWithT(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		limits := Limits{Connections: 4 + rng.IntN(60), Bytes: mb + rng.IntN(16*mb)}
		a := NewAccount(limits)
		var list []*Holder
		granted := make(map[*Holder]int)
		closeOne := func(h *Holder) {
			h.Close()
			delete(granted, h)
			for i := range list {
				if list[i] == h {
					list = append(list[:i], list[i+1:]...)
					return
				}
			}
		}
		for ms := range 4000 {
			now := at(10 * ms)
			if rng.IntN(3) == 0 {
				h, givesWay := a.Open(address(rng.IntN(5)), now)
				if givesWay != nil {
					closeOne(givesWay)
				}
				if h != nil {
					list = append(list, h)
				}
			}
			if len(list) == 0 {
				continue
			}
			h := list[rng.IntN(len(list))]
			switch rng.IntN(7) {
			case 0:
				h.SetState(State(rng.IntN(int(numStates))), now)
			case 1:
				h.SetKey(fmt.Sprint(rng.IntN(3)))
			case 2:
				h.Arrived(rng.IntN(2*progressBytes), now)
			case 3:
				closeOne(h)
			case 4:
				h.Release(granted[h])
				granted[h] = 0
			case 5:
				for _, v := range h.Stalled(rng.IntN(4096), time.Duration(rng.IntN(5000))*time.Millisecond, now) {
					closeOne(v)
				}
			default:
				n := 1 + rng.IntN(mb)
				d := h.Grow(n, now)
				if d.Granted {
					granted[h] += n
				}
				for _, v := range d.GiveWay {
					closeOne(v)
				}
			}
			connections, bytes := a.Usage()
			g.Expect(connections).To(And(Equal(len(list)), BeNumerically("<=", limits.Connections)))
			g.Expect(bytes).To(BeNumerically("<=", limits.Bytes+4096*len(list)), "beside what is unread")
		}
		for len(list) > 0 {
			closeOne(list[0])
		}
		g.Expect(a.all).To(Equal(group{}), "seed %d", seed)
		g.Expect(a.byAddress).To(BeEmpty())
		g.Expect(a.byKey).To(BeEmpty())
		g.Expect(a.open).To(BeEmpty())
	}
}

// The shares of the open files leave room for all, on the smallest machines too.
func TestSharesOfTheOpenFiles(t *testing.T) {
	g := NewWithT(t)
	for _, limit := range []int{400, 1024, 2048, 2870, 4100, 16384} {
		f := DivideFiles(limit)
		sum := f.Callers + f.Targets + f.Peers + f.Directory + f.Ready + f.Metrics + f.Entries
		g.Expect(sum).To(BeNumerically("<=", limit-min(reservedFiles, limit/2)))
		g.Expect(f.Targets).To(BeNumerically(">=", f.Callers), "a running request has a connection to its target")
	}
	const bodyLimit = 4 << 20
	for _, memory := range []int64{48 << 20, 64 << 20, 112 << 20} {
		limits := Limits{Bytes: CallerBytes(memory)}
		g.Expect(limits.MaxBytesOfOne()-ActiveBytes).To(BeNumerically(">=", bodyLimit), "%d bytes of memory", memory)
	}
}
