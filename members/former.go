package members

import (
	"time"

	"github.com/heatherrail/heatherrail/peers"
)

const (
	// formerRetention is how long the name of an entry that was lost is remembered. It exceeds the time for which parts of
	// a fleet usually lose each other.
	formerRetention = 2 * time.Hour
	maxFormer       = 1024
)

// Status is what a table knows of another entry.
type Status struct {
	Name  string
	Alive bool
	Ended bool // the entry has announced that it stops, and is lost
}

// Others returns all other entries that may still run: the known ones, and those that were lost within formerRetention and
// may be cut off.
func (t *Table) Others() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Status, 0, len(t.byName)+len(t.former))
	for name, m := range t.byName {
		list = append(list, Status{Name: name, Alive: m.isAlive(), Ended: !m.isAlive() && m.hasStopped()})
	}
	for name := range t.former {
		list = append(list, Status{Name: name})
	}
	return list
}

// hasStopped reports whether the latest presence of the entry says that it accepts no more requests. Revision 0 is a presence from
// before the entry accepted any, or from its record in the store.
func (m *member) hasStopped() bool { return m.Entry.Revision > 0 && !m.Entry.Ready }

// forget removes a lost entry. Its name is remembered unless it has stopped. Table.mu must be held.
func (t *Table) forget(m *member) {
	if !m.hasStopped() {
		t.addFormer(m.Entry.Name, m.lastHeard)
	}
	t.remove(m.Entry.Name)
}

// addFormer remembers the name of an entry that is not known any more. Table.mu must be held.
func (t *Table) addFormer(name string, lastHeard time.Time) {
	if known, ok := t.former[name]; ok && !lastHeard.After(known) || len(t.former) >= maxFormer && !ok {
		return
	}
	t.former[name] = lastHeard
}

// expireFormer forgets the names of entries that were lost long ago. Table.mu must be held.
func (t *Table) expireFormer(now time.Time) {
	for name, lastHeard := range t.former {
		if now.Sub(lastHeard) > formerRetention {
			delete(t.former, name)
		}
	}
}

// formerMembers returns the names of former entries for an entry that has just started. Such a member has no address, and its revision
// is the number of seconds since the entry was heard. Table.mu must be held.
func (t *Table) formerMembers(now time.Time) []peers.Member {
	var list []peers.Member
	for name, lastHeard := range t.former {
		list = append(list, peers.Member{Entry: peers.Presence{Name: name, Revision: uint64(now.Sub(lastHeard).Seconds())}, Lost: true})
	}
	return list
}

// mergeFormer remembers a lost entry that this table does not know. Table.mu must be held.
func (t *Table) mergeFormer(m *peers.Member, now time.Time) {
	entry := member{Member: *m}
	switch {
	case m.Entry.PeerAddr == "":
		t.addFormer(m.Entry.Name, now.Add(-time.Duration(min(m.Entry.Revision, uint64(formerRetention.Seconds())))*time.Second))
	case !entry.hasStopped():
		t.addFormer(m.Entry.Name, now)
	}
}
