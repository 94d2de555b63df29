// Package members detects which entries of a fleet are alive. The cost for each entry does
// not grow with the size of the fleet.
//
// It implements the published protocol SWIM. Each entry periodically probes the next one of the
// others, in a random order. If a probe fails, some other entries are asked for an indirect probe;
// the entry counts as lost if they get no ack either. Updates on entries are piggybacked on probes
// and acks. Two things are added to SWIM: an entry also disseminates new updates at once, and a
// digest of the table shows when an entry has missed updates.
//
// Nothing that needs exact membership depends on this package. An entry that is wrongly
// declared lost is missing from the directory's answers until it learns of it and refutes it.
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

// Table holds the state of all entries that one entry knows.
type Table struct {
	mu          sync.Mutex
	self        peers.Presence
	byName      map[string]*member
	names       []string             // names of the known entries, sorted
	former      map[string]time.Time // entries that were lost and are not known any more, with the time of their last sign of life
	aliveDigest uint64               // XOR of the digests of the known entries that are not lost
	probeOrder  []string             // names that remain to be probed in this cycle
	rng         *rand.Rand
	lastUpdate  time.Time // time of the latest update on any entry
}

type member struct {
	peers.Member
	digest        uint64
	nameHash      uint64
	updatedAt     time.Time // time of the latest change of the entry's state
	transmissions int       // messages that carried this state, sent by this entry or received again
	lastHeard     time.Time // time of the latest message from the entry itself, or of the latest update that calls it alive
	lostAt        time.Time
	failedProbes  int  // number of consecutive failed probes by this entry
	unreachable   bool // probes by this entry fail, and no other entry could be asked for an indirect probe
}

const (
	// recentContact is how long after the last contact with an entry this process accepts no
	// report that the entry is lost. It probes the entry instead. Detecting a loss takes longer
	// than recentContact, so such a report is stale: its sender was cut off from the network when
	// it detected the loss.
	recentContact = 500 * time.Millisecond
	// lostRetention is the time after which an entry that stays lost is removed and no longer
	// probed.
	lostRetention = 30 * time.Second
	// maxFailedProbes is the number of consecutive failed probes that make an entry unreachable
	// if no other entry can be asked for an indirect probe.
	maxFailedProbes = 3
	// MaxMembers is the number of entries up to which a table takes new ones from other entries. Those in the store are
	// always taken.
	MaxMembers = 4096
)

// NewTable returns a table that holds only the entry's own presence.
func NewTable(self peers.Presence, rng *rand.Rand) *Table {
	return &Table{self: self, byName: make(map[string]*member), former: make(map[string]time.Time), rng: rng}
}

// UpdateSelf sets whether this entry accepts requests and whether it reaches the store, and
// returns its presence. changed is true if either differs from before; the caller then
// disseminates the presence.
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

// AddFromRecord adds an entry that is known from its record in the store. The record may be
// older than the presence that the entry itself has sent, and does not say whether the entry
// accepts requests.
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
	t.insert(peers.Member{Entry: p}).lastHeard = now
	return true
}

// MergeOwnPresence merges an entry's presence as sent by the entry itself. The presence
// replaces the known state even if its incarnation is lower: incarnations come from the clock,
// which may have been set back before the process restarted, and the entry would otherwise be
// taken for lost.
//
// changed is true if the new state is to be disseminated. newer is the previously known state,
// if that state supersedes the presence; the entry must refute it.
func (t *Table) MergeOwnPresence(p peers.Presence, now time.Time) (changed bool, newer *peers.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Name == t.self.Name || p.Name == "" {
		return false, nil
	}
	if !t.admits(&p) {
		return false, nil
	}
	known := t.byName[p.Name]
	if known == nil {
		known = t.insert(peers.Member{Entry: p})
		known.updatedAt, known.lastHeard = now, now
		t.lastUpdate = now
		return true, nil
	}
	if compareFreshness(p, known.Entry) < 0 || known.Lost && compareFreshness(p, known.Entry) == 0 {
		old := known.Member
		newer = &old
	}
	changed = compareFreshness(p, known.Entry) > 0 || known.Lost || known.unreachable || known.Entry != p
	if changed {
		t.markUpdated(known, now)
	}
	t.replace(known, peers.Member{Entry: p})
	known.lastHeard, known.failedProbes, known.unreachable = now, 0, false
	return changed, newer
}

// admits reports whether a presence that another entry has sent is kept: anyone who reaches the port of peers could otherwise use
// up the memory. Table.mu must be held.
func (t *Table) admits(p *peers.Presence) bool {
	for _, s := range []string{p.Name, p.DataCentre, p.CallerAddr, p.PeerAddr} {
		if len(s) > peers.MaxNameBytes {
			return false
		}
	}
	return len(t.byName) < MaxMembers || t.byName[p.Name] != nil
}

// compareFreshness orders two presences of one entry by incarnation, then by revision.
func compareFreshness(a, b peers.Presence) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Revision, b.Revision))
}

// MergeResult says what the caller of MergeMembers must do next.
type MergeResult struct {
	HasUpdates bool     // updates are to be disseminated
	ToProbe    []string // entries that are reported lost but were heard from recently
}

// MergeMembers merges the updates that another entry has sent. Some of the updates may be on
// this entry.
func (t *Table) MergeMembers(list []peers.Member, now time.Time) (result MergeResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range list {
		m := &list[i]
		if m.Entry.Name == "" {
			continue
		}
		if m.Entry.Name == t.self.Name {
			result.HasUpdates = t.refute(m) || result.HasUpdates
			continue
		}
		if t.admits(&m.Entry) {
			t.mergeMember(m, now, &result)
		}
	}
	return result
}

// refute handles an update on this entry that another entry has sent. If the update would supersede
// this entry's own presence, refute makes the presence newer than the update and returns true.
//
// Such updates are spread while this entry is paused, or after its clock was set back before a
// restart. Without refutation, the directory's answers would omit the entry for good.
func (t *Table) refute(m *peers.Member) bool {
	freshness := compareFreshness(m.Entry, t.self)
	if freshness < 0 || freshness == 0 && !m.Lost {
		return false
	}
	t.self.Incarnation = max(t.self.Incarnation, m.Entry.Incarnation)
	t.self.Revision = m.Entry.Revision + 1
	return true
}

// mergeMember merges an update on another entry.
func (t *Table) mergeMember(m *peers.Member, now time.Time, result *MergeResult) {
	known := t.byName[m.Entry.Name]
	if known == nil {
		if m.Lost {
			t.mergeFormer(m, now)
			return
		}
		known = t.insert(*m)
		known.updatedAt, known.lastHeard = now, now
		t.lastUpdate = now
		result.HasUpdates = true
		return
	}
	freshness := compareFreshness(m.Entry, known.Entry)
	if freshness < 0 || freshness == 0 && (known.Lost || !m.Lost) {
		if freshness == 0 && !known.Lost && !m.Lost {
			known.transmissions++ // the sender knows this state and disseminates it too
		}
		return
	}
	if m.Lost && now.Sub(known.lastHeard) < recentContact {
		result.ToProbe = append(result.ToProbe, m.Entry.Name)
		return
	}
	t.update(known, *m, now)
	result.HasUpdates = true
}

// update sets the state of a known entry and marks it for dissemination.
func (t *Table) update(known *member, m peers.Member, now time.Time) {
	if m.Lost && !known.Lost {
		known.lostAt = now
	}
	if !m.Lost {
		known.unreachable = false
		known.lastHeard = now
	}
	t.replace(known, m)
	t.markUpdated(known, now)
}

// insert adds an entry, replacing any member of the same name.
func (t *Table) insert(m peers.Member) *member {
	name := m.Entry.Name
	t.remove(name)
	known := &member{nameHash: xxhash.Sum64String(name)}
	at, _ := slices.BinarySearch(t.names, name)
	t.names = slices.Insert(t.names, at, name)
	t.byName[name] = known
	delete(t.former, name)
	known.Lost = true // so that replace does not take its digest out of aliveDigest
	t.replace(known, m)
	return known
}

// replace sets the state of an entry and keeps aliveDigest up to date.
func (t *Table) replace(known *member, m peers.Member) {
	if !known.Lost {
		t.aliveDigest ^= known.digest
	}
	known.Member, known.digest = m, digest(&m)
	if !known.Lost {
		t.aliveDigest ^= known.digest
	}
}

func (t *Table) remove(name string) {
	known := t.byName[name]
	if known == nil {
		return
	}
	if !known.Lost {
		t.aliveDigest ^= known.digest
	}
	delete(t.byName, name)
	if at, found := slices.BinarySearch(t.names, name); found {
		t.names = slices.Delete(t.names, at, at+1)
	}
}

// markUpdated makes RecentUpdates return the entry's state again.
func (t *Table) markUpdated(m *member, now time.Time) {
	m.updatedAt, m.transmissions = now, 0
	t.lastUpdate = now
}

// IndirectResult is the combined result of the indirect probes of an entry.
type IndirectResult int

// Results of indirect probes.
const (
	IndirectNone    IndirectResult = iota // no other entry could be asked
	IndirectAck                           // at least one other entry got an ack
	IndirectTimeout                       // other entries were asked, and none of them got an ack
)

// RecordProbeFailure records a failed direct probe together with the result of the indirect
// probes. It returns true if the entry is declared lost.
//
// An entry that is itself cut off from the network finds no other entry to ask. It then treats
// the entries that it cannot reach as not alive, but does not disseminate this. Otherwise the
// whole fleet would have to refute it when the connection is back.
func (t *Table) RecordProbeFailure(name string, indirect IndirectResult, now time.Time) (lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.byName[name]
	if known == nil || known.Lost {
		return false
	}
	known.failedProbes++
	switch {
	case indirect == IndirectTimeout:
		t.update(known, peers.Member{Entry: known.Entry, Lost: true}, now)
		return true
	case indirect == IndirectNone && known.failedProbes >= maxFailedProbes:
		known.unreachable = true
	case indirect == IndirectAck:
		known.failedProbes = 0
	}
	return false
}

// isAlive reports whether an entry counts as alive. Table.mu must be held.
func (m *member) isAlive() bool { return !m.Lost && !m.unreachable }

// Address returns the address at which an entry accepts probes; ok is false if it is unknown.
func (t *Table) Address(name string) (address string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.byName[name]
	if m == nil {
		return "", false
	}
	return m.Entry.PeerAddr, true
}

// Alive returns all entries that are alive, sorted by name, without this one.
func (t *Table) Alive() []peers.Presence {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]peers.Presence, 0, len(t.names))
	for _, name := range t.names {
		if m := t.byName[name]; m.isAlive() {
			list = append(list, m.Entry)
		}
	}
	return list
}

// Counts returns the number of entries that are alive and of all known ones, including those
// lost recently. Both include this entry.
func (t *Table) Counts() (alive, known int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	alive = 1
	for _, m := range t.byName {
		if m.isAlive() {
			alive++
		}
	}
	return alive, len(t.byName) + 1
}
