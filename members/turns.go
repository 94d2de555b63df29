package members

import (
	"slices"
	"time"
)

// NextToProbe returns the entry to ask next: each in turn, in an order drawn anew each time.
func (t *Table) NextToProbe() (name string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for range 2 {
		for len(t.turn) > 0 {
			name = t.turn[0]
			t.turn = t.turn[1:]
			if m := t.byName[name]; m != nil && !m.Lost {
				return name, true
			}
		}
		t.turn = append(t.turn[:0:0], t.names...)
		t.rng.Shuffle(len(t.turn), func(i, j int) { t.turn[i], t.turn[j] = t.turn[j], t.turn[i] })
	}
	return "", false
}

// Suspects returns the entries that did not answer this one and are not known to be lost:
// nobody could be asked about them, or others are answered.
func (t *Table) Suspects() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for _, name := range t.names {
		if m := t.byName[name]; m.failed > 0 && m.lives() {
			names = append(names, name)
		}
	}
	return names
}

// NextLostToProbe returns one of the lost entries: some come back without knowing anybody who
// lives. It forgets those that are gone for long. An entry that is cut off forgets nobody,
// since nobody would tell it of them again.
func (t *Table) NextLostToProbe(now time.Time) (name string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	alone := true
	for _, m := range t.byName {
		alone = alone && !m.lives()
	}
	var lost []string
	for name, m := range t.byName {
		switch {
		case !alone && (m.Lost && now.Sub(m.lostAt) > forgetAfter || m.unheard && now.Sub(m.heard) > forgetAfter):
			t.remove(name)
		case m.Lost:
			lost = append(lost, name)
		}
	}
	if len(lost) == 0 {
		return "", false
	}
	slices.Sort(lost)
	return lost[t.rng.IntN(len(lost))], true
}

// RandomAlive returns some entries that live, other than one, drawn anew each time.
func (t *Table) RandomAlive(count int, other string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draw(count, func(m *member) bool { return m.Entry.Name != other })
}

// RandomAliveMostlyLocal is RandomAlive with most of the entries drawn in this one's data centre: what is told along
// them costs little of the links between data centres. Each entry that is told tells one of
// another data centre, so news cross as often as a data centre has entries.
func (t *Table) RandomAliveMostlyLocal(count int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	near := t.draw(count-drawnFar, func(m *member) bool { return m.Entry.DataCentre == t.self.DataCentre })
	far := t.draw(count-len(near), func(m *member) bool { return m.Entry.DataCentre != t.self.DataCentre })
	if missing := count - len(near) - len(far); missing > 0 {
		return t.draw(count, func(*member) bool { return true })
	}
	return append(near, far...)
}

// drawnFar is how many of those drawn are in other data centres.
const drawnFar = 1

// draw draws among the entries that live and fit; the lock must be held.
func (t *Table) draw(count int, fits func(*member) bool) []string {
	drawn := make([]string, 0, count)
	seen := 0
	for _, name := range t.names {
		if m := t.byName[name]; !m.lives() || !fits(m) {
			continue
		}
		seen++
		if len(drawn) < count {
			drawn = append(drawn, name)
		} else if at := t.rng.IntN(seen); at < count {
			drawn[at] = name
		}
	}
	t.rng.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn
}
