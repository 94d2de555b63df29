// Package shedding decides which connections give way when a process has no room for what its callers send: too many
// connections, or too much memory for all of them together. It opens, reads and closes nothing. Times are arguments, and the
// connections that are to give way are returned.
package shedding

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Limits bound what a process holds for its callers.
type Limits struct {
	Connections int
	Bytes       int // of all connections together, whatever their state
	// MinSilence is how long a connection may send nothing before it gives way to a new one of an address that has as many
	// connections as its own, or more.
	MinSilence time.Duration
}

// Divisors of the limits.
const (
	groupShareDivisor = 2   // one address has at most this part of each limit, one key of the memory
	smallShareDivisor = 8   // this part of the memory is left for connections that hold at most SmallBytes, and of the connections for addresses with few
	fewDivisor        = 128 // an address has few connections up to this part of all
)

// SmallBytes is the memory up to which a connection counts as small. It covers the buffers for a head and a short body.
const SmallBytes = 64<<10 + ActiveBytes

// ActiveBytes is the memory that a connection takes while a request is on it: buffers of the HTTP library, stacks, copies of the head, short
// bodies.
const ActiveBytes = 56 << 10

// MaxBytesOfOne returns the memory that one connection may hold at most.
func (l Limits) MaxBytesOfOne() int { return l.Bytes / groupShareDivisor }

// State is what a connection does.
type State uint8

// States of a connection.
const (
	Silent   State = iota // nothing of its first request has arrived
	Head                  // part of a head has arrived
	Body                  // the head is whole, the body may not be
	Running               // the request is whole: it waits, runs, or its response is being written
	Response              // the response is being read from the target
	Idle                  // the latest response has been written
	Closing               // the last response has been written and the caller may still be sending
	numStates
)

// Times after which a connection counts as stalled and gives way to others that need its room.
const (
	stallTime  = time.Second             // for a request of which less than progressBytes have arrived meanwhile
	unreadTime = 2500 * time.Millisecond // for a response of which nothing has been read meanwhile
)

// progressBytes is how much of a request must arrive within stallTime. With less a client that sends a byte now and then would keep
// its room.
const progressBytes = 16 << 10

// group counts the connections that share something: all of them, those of an address, or those of a key.
type group struct {
	connections int
	bytes       int
	leaving     int // bytes of connections that have been told to give way
	states      [numStates]int
}

// Account holds the open connections of a process and the memory of each.
type Account struct {
	limits Limits

	mu        sync.Mutex
	all       group
	byAddress map[netip.Addr]*group
	byKey     map[string]*group
	open      map[*Holder]struct{}
	inState   [numStates]queue
	released  chan struct{} // closed when memory is released; nil: nobody waits for it
}

// NewAccount returns an empty account.
func NewAccount(l Limits) *Account {
	return &Account{
		limits: l, byAddress: make(map[netip.Addr]*group), byKey: make(map[string]*group), open: make(map[*Holder]struct{}),
	}
}

// Limits returns the limits of the account.
func (a *Account) Limits() Limits { return a.limits }

// Holder is one connection in an account.
type Holder struct {
	account *Account
	address netip.Addr
	// Owner is for the user of the account, who is told which holders give way.
	Owner any

	moved    atomic.Int64 // time of the latest progress, in nanoseconds
	arriving atomic.Int64 // bytes that have arrived since

	// The fields below are guarded by the account.
	groups  []*group // all, of the address, and of the key if there is one
	key     string
	state   State
	bytes   int
	unread  int   // part of bytes: those of the response that the caller has not read
	stalled int64 // time since when the caller has read nothing of them, in nanoseconds
	leaving bool
	closed  bool

	previous, next *Holder // in the queue of its state
}

// Open adds a connection. It returns nil if the connection is to be closed at once. Otherwise one that is returned as well must give
// way to it, nil if none must.
func (a *Account) Open(address netip.Addr, now time.Time) (opened, givesWay *Holder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ofAddress := 0
	if g := a.byAddress[address]; g != nil {
		ofAddress = g.connections
	}
	addressFull := ofAddress >= max(1, a.limits.Connections/groupShareDivisor)
	limit := a.limits.Connections
	if ofAddress > a.limits.Connections/fewDivisor {
		limit -= a.limits.Connections / smallShareDivisor
	}
	if addressFull || a.all.connections >= limit {
		givesWay = a.yieldingConnection(func(h *Holder) bool {
			switch {
			case addressFull && h.address != address:
				return false
			case h.isFresh(now):
				return h.groups[addressGroup].connections > ofAddress+1
			}
			return true
		}, now)
		if givesWay == nil {
			return nil, nil
		}
		givesWay.leave()
	}
	group := groupOf(a.byAddress, address)
	h := &Holder{account: a, address: address}
	h.moved.Store(now.UnixNano())
	h.groups = append(h.groups, &a.all, group)
	for _, g := range h.groups {
		g.connections++
		g.states[Silent]++
	}
	a.open[h] = struct{}{}
	a.inState[Silent].push(h)
	return h, givesWay
}

// groupOf returns the group of an address or a key.
func groupOf[K comparable](groups map[K]*group, k K) *group {
	g := groups[k]
	if g == nil {
		g = new(group)
		groups[k] = g
	}
	return g
}

// SetState records what the connection does from now on.
func (h *Holder) SetState(s State, now time.Time) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !h.closed {
		h.enter(s, now)
	}
}

// enter moves the holder to a state.
func (h *Holder) enter(s State, now time.Time) {
	a := h.account
	h.moved.Store(now.UnixNano())
	h.arriving.Store(0)
	if h.state == s {
		return
	}
	a.inState[h.state].remove(h)
	for _, g := range h.groups {
		g.states[h.state]--
		g.states[s]++
	}
	h.state = s
	a.inState[s].push(h)
}

// SetKey records the key of the request on the connection.
func (h *Holder) SetKey(key string) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	h.setKey(key)
}

// Run records that the request is whole, and its key. It returns false if the connection has been told to give way: the request must not
// run, since others wait for what the connection holds.
func (h *Holder) Run(key string, now time.Time) bool {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.leaving {
		return false
	}
	h.setKey(key)
	if !h.closed {
		h.enter(Running, now)
	}
	return true
}

func (h *Holder) setKey(key string) {
	a := h.account
	if h.closed || h.key == key {
		return
	}
	h.leaveKey()
	h.key = key
	if key == "" {
		return
	}
	g := groupOf(a.byKey, key)
	g.connections++
	g.states[h.state]++
	g.bytes += h.bytes
	if h.leaving {
		g.leaving += h.bytes
	}
	h.groups = append(h.groups, g)
}

// Indices of the groups of a connection.
const (
	addressGroup = 1
	keyGroup     = 2
)

func (h *Holder) leaveKey() {
	if len(h.groups) <= keyGroup {
		return
	}
	g := h.groups[keyGroup]
	g.connections--
	g.states[h.state]--
	g.bytes -= h.bytes
	if h.leaving {
		g.leaving -= h.bytes
	}
	if g.connections == 0 {
		delete(h.account.byKey, h.key)
	}
	h.groups = h.groups[:keyGroup]
}

// Arrived records that bytes of the request have arrived.
func (h *Holder) Arrived(n int, now time.Time) {
	if h.arriving.Add(int64(n)) >= progressBytes {
		h.arriving.Store(0)
		h.moved.Store(now.UnixNano())
	}
}

// add adds bytes to the holder and its groups.
func (h *Holder) add(n int) {
	h.bytes += n
	for _, g := range h.groups {
		g.bytes += n
		if h.leaving {
			g.leaving += n
		}
	}
}

// leave records that the holder has been told to give way.
func (h *Holder) leave() {
	if h.leaving {
		return
	}
	h.leaving = true
	for _, g := range h.groups {
		g.leaving += h.bytes
	}
}

// Stay records that the holder does not give way after all, as it is not what it was when it was chosen.
func (h *Holder) Stay() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !h.closed {
		h.stay()
		a.notifyReleased()
	}
}

func (h *Holder) stay() {
	if !h.leaving {
		return
	}
	h.leaving = false
	for _, g := range h.groups {
		g.leaving -= h.bytes
	}
}

// Release gives back memory that Grow has granted.
func (h *Holder) Release(n int) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !h.closed {
		h.add(-n)
		a.notifyReleased()
	}
}

// notifyReleased wakes those that wait for memory.
func (a *Account) notifyReleased() {
	if a.released != nil {
		close(a.released)
		a.released = nil
	}
}

// End records that a request has ended: its memory is released, and the connection has no key until the next one.
func (h *Holder) End(release int, s State, now time.Time) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return
	}
	h.add(-release)
	h.stay()
	h.leaveKey()
	h.key = ""
	h.enter(s, now)
	a.notifyReleased()
}

// Close removes the connection with all that it holds.
func (h *Holder) Close() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return
	}
	h.add(-h.bytes)
	h.leaveKey()
	h.closed = true
	a.inState[h.state].remove(h)
	for _, g := range h.groups {
		g.connections--
		g.states[h.state]--
	}
	if h.groups[addressGroup].connections == 0 {
		delete(a.byAddress, h.address)
	}
	delete(a.open, h)
	a.notifyReleased()
}

// Usage returns the open connections and the memory that they hold.
func (a *Account) Usage() (connections, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.all.connections, a.all.bytes
}
