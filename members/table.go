// Package members knows which entries of a fleet live, at a cost for each of them that
// does not grow with the fleet.
//
// Each entry asks one other now and then, in turn. Who does not answer is asked by some
// others too, and counts as lost if none of them is answered. What an entry learns it tells
// to a few others at once, and they to a few more; every question and answer carries what
// its sender learnt lately. This follows the published protocol SWIM, with two additions:
// news is also pushed at once, and a digest finds what was missed.
//
// It decides nothing that must be exact: an entry that is taken for lost is left out of the
// directory's answers and says that it lives as soon as it hears so.
package members

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/heatherrail/heatherrail/peers"
)

// Table is what one entry knows of all others.
type Table struct {
	mu     sync.Mutex
	self   peers.Presence
	byName map[string]*member
	names  []string // of byName, sorted
	sum    uint64   // of the digests of those that are not lost
	turn   []string // names that are still to be asked in this turn
	rng    *rand.Rand
	quiet  time.Time // of the latest news
}

type member struct {
	peers.Member
	digest  uint64
	hash    uint64    // of its name
	learnt  time.Time // when the latest news of it came
	told    int       // messages that have carried these, to this entry again or from it
	heard   time.Time // its own word
	lostAt  time.Time
	failed  int  // questions in a row without an answer
	unheard bool // does not answer this entry, and nobody can be asked whether it answers others
}

// Figures of the table.
const (
	// heardLately: an entry whose own word is so fresh is asked before it is believed lost.
	// Whoever says that it is lost has asked for longer, so this is an entry that was cut
	// off and tells what it believed then.
	heardLately = 500 * time.Millisecond
	// forgetAfter ends the questions to an entry that is gone for good.
	forgetAfter = 30 * time.Second
	// failuresLost questions in a row are enough where nobody else can be asked.
	failuresLost = 3
)

// NewTable returns a table that knows only its own entry.
func NewTable(self peers.Presence, rng *rand.Rand) *Table {
	return &Table{self: self, byName: make(map[string]*member), rng: rng}
}

// UpdateSelf returns what this entry says of itself. ready and store are as of now; if they
// differ from what was said last, changed tells that others should hear of it.
func (t *Table) UpdateSelf(ready, store bool) (p peers.Presence, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.self.Ready != ready || t.self.StoreReachable != store {
		t.self.Ready, t.self.StoreReachable = ready, store
		t.self.Revision++
		changed = true
	}
	return t.self, changed
}

// AddFromRecord keeps an entry by its record in the store. A record may be older than
// what the entry said itself, and says nothing of whether it takes requests.
func (t *Table) AddFromRecord(p peers.Presence, now time.Time) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Name == t.self.Name || p.Name == "" {
		return false
	}
	known := t.byName[p.Name]
	if known != nil && (known.Entry.PeerAddr == p.PeerAddr || known.Entry.Incarnation > p.Incarnation) {
		return false
	}
	p.Ready, p.Revision = false, 0
	t.put(peers.Member{Entry: p}).heard = now
	return true
}

// MergeOwnPresence takes an entry's own word. It always counts, whatever its incarnation: that comes
// from the time of day, which may have been set back before the process started again, and
// its peers would take it for dead. news tells that others should hear of it; believed is
// what was known of it if that is newer than its own word, so that it can object.
func (t *Table) MergeOwnPresence(p peers.Presence, now time.Time) (news bool, believed *peers.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Name == t.self.Name || p.Name == "" {
		return false, nil
	}
	known := t.byName[p.Name]
	if known == nil {
		known = t.put(peers.Member{Entry: p})
		known.learnt, known.heard = now, now
		t.quiet = now
		return true, nil
	}
	if order(p, known.Entry) < 0 || known.Lost && order(p, known.Entry) == 0 {
		old := known.Member
		believed = &old
	}
	news = order(p, known.Entry) > 0 || known.Lost || known.unheard || known.Entry != p
	if news {
		t.learn(known, now)
	}
	t.replace(known, peers.Member{Entry: p})
	known.heard, known.failed, known.unheard = now, 0, false
	return news, believed
}

// order compares how new two words of one entry are.
func order(a, b peers.Presence) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Revision, b.Revision))
}

// MergeResult is what follows from what another entry tells.
type MergeResult struct {
	HasUpdates bool     // others should hear of something
	ToProbe    []string // entries to be asked before they are believed lost
}

// MergeMembers takes what another entry tells of others, and of this one.
func (t *Table) MergeMembers(list []peers.Member, now time.Time) (told MergeResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range list {
		m := &list[i]
		if m.Entry.Name == "" {
			continue
		}
		if m.Entry.Name == t.self.Name {
			told.HasUpdates = t.object(m) || told.HasUpdates
			continue
		}
		t.take(m, now, &told)
	}
	return told
}

// object makes this entry's word newer than what others believe of it, if that is another.
//
// Failure: this entry stood still and is back, or its clock was set back before it started
// again. Symptom: it is left out of the directory's answers for good, since what others
// tell each other of it is newer than its own word.
func (t *Table) object(m *peers.Member) bool {
	o := order(m.Entry, t.self)
	if o < 0 || o == 0 && !m.Lost {
		return false
	}
	t.self.Incarnation = max(t.self.Incarnation, m.Entry.Incarnation)
	t.self.Revision = m.Entry.Revision + 1
	return true
}

func (t *Table) take(m *peers.Member, now time.Time, told *MergeResult) {
	known := t.byName[m.Entry.Name]
	if known == nil {
		if m.Lost {
			return // nothing is lost that was not known
		}
		known = t.put(*m)
		known.learnt, known.heard = now, now
		t.quiet = now
		told.HasUpdates = true
		return
	}
	o := order(m.Entry, known.Entry)
	if o < 0 || o == 0 && (known.Lost || !m.Lost) {
		if o == 0 && !known.Lost && !m.Lost {
			known.told++ // whoever told it knows it, and tells others
		}
		return
	}
	if m.Lost && now.Sub(known.heard) < heardLately {
		told.ToProbe = append(told.ToProbe, m.Entry.Name)
		return
	}
	t.set(known, *m, now)
	told.HasUpdates = true
}

func (t *Table) set(known *member, m peers.Member, now time.Time) {
	if m.Lost && !known.Lost {
		known.lostAt = now
	}
	if !m.Lost {
		known.unheard = false
		known.heard = now
	}
	t.replace(known, m)
	t.learn(known, now)
}

// put keeps an entry anew, in place of what was known of one with its name.
func (t *Table) put(m peers.Member) *member {
	name := m.Entry.Name
	t.remove(name)
	known := &member{hash: xxhash.Sum64String(name)}
	at, _ := slices.BinarySearch(t.names, name)
	t.names = slices.Insert(t.names, at, name)
	t.byName[name] = known
	known.Lost = true // it is not summed up yet
	t.replace(known, m)
	return known
}

// replace sets what is known of an entry.
func (t *Table) replace(known *member, m peers.Member) {
	if !known.Lost {
		t.sum ^= known.digest
	}
	known.Member, known.digest = m, digest(&m)
	if !known.Lost {
		t.sum ^= known.digest
	}
}

// remove forgets an entry.
func (t *Table) remove(name string) {
	known := t.byName[name]
	if known == nil {
		return
	}
	if !known.Lost {
		t.sum ^= known.digest
	}
	delete(t.byName, name)
	if at, found := slices.BinarySearch(t.names, name); found {
		t.names = slices.Delete(t.names, at, at+1)
	}
}

// learn notes that there is news of an entry.
func (t *Table) learn(m *member, now time.Time) {
	m.learnt, m.told = now, 0
	t.quiet = now
}

// IndirectResult is what others say of an entry that did not answer this one.
type IndirectResult int

// Verdicts.
const (
	IndirectNone    IndirectResult = iota // nobody could be asked
	IndirectAck                           // somebody is answered by it
	IndirectTimeout                       // who could be asked is not answered either
)

// RecordProbeFailure notes that an entry did not answer, and what others say. It tells whether it is
// lost by that.
//
// An entry that is cut off itself finds nobody to ask: it leaves out who does not answer
// it, and tells nobody, or the whole fleet would have to object once it is back.
func (t *Table) RecordProbeFailure(name string, v IndirectResult, now time.Time) (lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.byName[name]
	if known == nil || known.Lost {
		return false
	}
	known.failed++
	switch {
	case v == IndirectTimeout:
		t.set(known, peers.Member{Entry: known.Entry, Lost: true}, now)
		return true
	case v == IndirectNone && known.failed >= failuresLost:
		known.unheard = true
	case v == IndirectAck:
		known.failed = 0
	}
	return false
}

// lives tells whether an entry is taken to live; the lock must be held.
func (m *member) lives() bool { return !m.Lost && !m.unheard }

// Address returns where an entry is asked.
func (t *Table) Address(name string) (address string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.byName[name]
	if m == nil {
		return "", false
	}
	return m.Entry.PeerAddr, true
}

// Alive returns the entries that live, by name, without this one.
func (t *Table) Alive() []peers.Presence {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]peers.Presence, 0, len(t.names))
	for _, name := range t.names {
		if m := t.byName[name]; m.lives() {
			list = append(list, m.Entry)
		}
	}
	return list
}

// Counts returns how many entries live and how many were known lately, the lost ones among
// them; this one counts in both.
func (t *Table) Counts() (living, known int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	living = 1
	for _, m := range t.byName {
		if m.lives() {
			living++
		}
	}
	return living, len(t.byName) + 1
}

// Owner returns the entry that is responsible for something, by rendezvous hashing over those
// that live and take requests: entries that know the same agree, and when one comes or goes only
// what it owns moves.
func (t *Table) Owner(of string) (name string, self bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := xxhash.Sum64String(of)
	var most uint64
	consider := func(p *peers.Presence, hash uint64) {
		if rank := mixed(hash ^ key); p.Ready && (name == "" || rank > most) {
			name, most = p.Name, rank
		}
	}
	consider(&t.self, xxhash.Sum64String(t.self.Name))
	for _, m := range t.byName {
		if m.lives() {
			consider(&m.Entry, m.hash)
		}
	}
	return name, name == t.self.Name
}

// mixed spreads each bit of a number over all bits, by the finalizer of MurmurHash3.
func mixed(v uint64) uint64 {
	v = (v ^ v>>33) * 0xff51afd7ed558ccd
	v = (v ^ v>>33) * 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}

// PositionAmongAlive returns the place of this entry among those that live, and how many they are: those
// that reach the store come first, each part by name. reaches tells whether this entry does.
func (t *Table) PositionAmongAlive(reaches bool) (place, of int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, m := range t.byName {
		if !m.lives() {
			continue
		}
		of++
		if m.Entry.StoreReachable != reaches && m.Entry.StoreReachable || m.Entry.StoreReachable == reaches && name < t.self.Name {
			place++
		}
	}
	return place, of + 1
}
