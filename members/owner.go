package members

import (
	"github.com/cespare/xxhash/v2"

	"github.com/heatherrail/heatherrail/peers"
)

// Owner returns the entry that owns a key, by rendezvous hashing over the entries that are alive
// and accept requests. Entries with equal tables agree on the owner. When an entry joins or
// leaves, only the keys that it owns move. self is true if this entry is the owner.
func (t *Table) Owner(key string) (name string, self bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	keyHash := xxhash.Sum64String(key)
	var highest uint64
	consider := func(p *peers.Presence, nameHash uint64) {
		if score := mixBits(nameHash ^ keyHash); p.Ready && (name == "" || score > highest) {
			name, highest = p.Name, score
		}
	}
	consider(&t.self, xxhash.Sum64String(t.self.Name))
	for _, m := range t.byName {
		if m.isAlive() {
			consider(&m.Entry, m.nameHash)
		}
	}
	return name, name == t.self.Name
}

// mixBits is the finalizer of MurmurHash3: each input bit affects all output bits.
func mixBits(v uint64) uint64 {
	v = (v ^ v>>33) * 0xff51afd7ed558ccd
	v = (v ^ v>>33) * 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}

// PositionAmongAlive returns the index of this entry in the list of alive entries, and the length
// of that list. Entries that reach the store come first; both parts are sorted by name. store
// says whether this entry reaches the store.
func (t *Table) PositionAmongAlive(store bool) (position, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, m := range t.byName {
		if !m.isAlive() {
			continue
		}
		count++
		if m.Entry.StoreReachable != store && m.Entry.StoreReachable || m.Entry.StoreReachable == store && name < t.self.Name {
			position++
		}
	}
	return position, count + 1
}
