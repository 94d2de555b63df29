package members

import (
	"cmp"
	"hash/fnv"
	"math/bits"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/peers"
)

// Limits on the updates that messages carry.
const (
	// lostTransmissions is the number of messages in which an entry sends the loss of another,
	// for each doubling of the fleet. Some of these messages go to dead entries, and more to
	// entries that know of the loss already.
	lostTransmissions = 4
	// aliveTransmissions is the same number for other updates; messages that bring an update to
	// this entry again count as well. A lower number is enough: callers lose nothing if an
	// entry learns later of another one, and these updates are nearly all the traffic when all
	// entries start at once.
	aliveTransmissions = 2
	// maxAliveTransmissions bounds the number of messages for updates other than a loss, in
	// large fleets. After so many messages nearly every entry has the update, and the digest
	// shows the others that they missed one.
	maxAliveTransmissions = 12
	updateTTL             = 3 * time.Second // messages do not carry older updates
	maxUpdatesPerMessage  = 64
)

// RecentUpdates returns the updates for one message, those with the fewest transmissions first.
func (t *Table) RecentUpdates(now time.Time) []peers.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var updates []*member
	for _, m := range t.byName {
		if now.Sub(m.updatedAt) < updateTTL && m.transmissions < m.transmissionLimit(len(t.byName)) {
			updates = append(updates, m)
		}
	}
	slices.SortFunc(updates, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), b.updatedAt.Compare(a.updatedAt), cmp.Compare(a.Entry.Name, b.Entry.Name))
	})
	var list []peers.Member
	for _, m := range updates[:min(len(updates), maxUpdatesPerMessage)] {
		m.transmissions++
		list = append(list, m.Member)
	}
	return list
}

// transmissionLimit returns the number of messages that carry the state of an entry, for a fleet
// of the given size.
func (m *member) transmissionLimit(fleet int) int {
	doublings := bits.Len(uint(fleet))
	if m.Lost {
		return lostTransmissions * doublings
	}
	return min(aliveTransmissions*doublings, maxAliveTransmissions)
}

// AllMembers returns the state of all other entries, and the names of former ones.
func (t *Table) AllMembers(now time.Time) []peers.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]peers.Member, 0, len(t.byName))
	for _, m := range t.byName {
		list = append(list, m.Member)
	}
	return append(list, t.formerMembers(now)...)
}

// Digest returns a hash of the states of all entries that are not lost. Entries with equal tables
// have equal digests.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.aliveDigest ^ digest(&peers.Member{Entry: t.self})
}

func digest(m *peers.Member) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(m.Entry.Name)) // never fails
	var numbers [16]byte
	for i := range 8 {
		numbers[i] = byte(m.Entry.Incarnation >> (8 * i))
		numbers[8+i] = byte(m.Entry.Revision >> (8 * i))
	}
	_, _ = h.Write(numbers[:])
	return h.Sum64()
}

// SinceLastUpdate returns the time since the latest update on an entry.
func (t *Table) SinceLastUpdate(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.lastUpdate)
}
