package members

import (
	"cmp"
	"hash/fnv"
	"math/bits"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/peers"
)

// Figures of what is told.
const (
	// lostTimes is how many questions and answers carry that an entry is lost, for each doubling
	// of the fleet: some of them go to entries that are dead, and more to such as know it.
	lostTimes = 4
	// newsTimes is the same for other news, with the messages that bring it again counted too.
	// Callers miss nothing if an entry hears later of one more, and when all start at once this
	// is nearly all that they tell.
	newsTimes = 2
	// maxTold bounds that however large the fleet is: of what so many messages carry next to none
	// of the others misses it, and who does finds it by the digest.
	maxTold = 12
	newsTTL = 3 * time.Second // and no longer
	// maxNews bounds what one message carries.
	maxNews = 64
)

// RecentUpdates returns what was learnt lately, for one message; what was told least goes first.
func (t *Table) RecentUpdates(now time.Time) []peers.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var latest []*member
	for _, m := range t.byName {
		if now.Sub(m.learnt) < newsTTL && m.told < m.timesTold(len(t.byName)) {
			latest = append(latest, m)
		}
	}
	slices.SortFunc(latest, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.told, b.told), b.learnt.Compare(a.learnt), cmp.Compare(a.Entry.Name, b.Entry.Name))
	})
	var list []peers.Member
	for _, m := range latest[:min(len(latest), maxNews)] {
		m.told++
		list = append(list, m.Member)
	}
	return list
}

// timesTold returns how many messages carry what was learnt of an entry, in a fleet of a size.
func (m *member) timesTold(fleet int) int {
	doublings := bits.Len(uint(fleet))
	if m.Lost {
		return lostTimes * doublings
	}
	return min(newsTimes*doublings, maxTold)
}

// All returns all that is known of others.
func (t *Table) All() []peers.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]peers.Member, 0, len(t.byName))
	for _, m := range t.byName {
		list = append(list, m.Member)
	}
	return list
}

// Digest sums up who lives; two entries that know the same have the same one.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sum ^ digest(&peers.Member{Entry: t.self})
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

// SinceLastUpdate tells for how long nothing new has come.
func (t *Table) SinceLastUpdate(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.quiet)
}
