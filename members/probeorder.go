package members

import (
	"slices"
	"time"
)

// NextToProbe returns the entry to probe next. Calls go through all entries that are not lost, in
// cycles, each of them in a new random order.
func (t *Table) NextToProbe() (name string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for range 2 {
		for len(t.probeOrder) > 0 {
			name = t.probeOrder[0]
			t.probeOrder = t.probeOrder[1:]
			if m := t.byName[name]; m != nil && !m.Lost {
				return name, true
			}
		}
		t.probeOrder = append(t.probeOrder[:0:0], t.names...)
		t.rng.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
	}
	return "", false
}

// Suspects returns the entries whose latest probe by this entry failed but that are not
// declared lost, because no other entry could be asked for an indirect probe.
func (t *Table) Suspects() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	for _, name := range t.names {
		if m := t.byName[name]; m.failedProbes > 0 && m.isAlive() {
			names = append(names, name)
		}
	}
	return names
}

// NextLostToProbe returns a random lost entry: an entry may come back without knowing any entry
// that is alive. It also removes entries that have been lost for longer than lostRetention. An
// entry that is cut off from the network removes none, since no other entry could report the
// removed entries to it again.
func (t *Table) NextLostToProbe(now time.Time) (name string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireFormer(now)
	isolated := true
	for _, m := range t.byName {
		isolated = isolated && !m.isAlive()
	}
	var lost []string
	for name, m := range t.byName {
		switch {
		case !isolated && (m.Lost && now.Sub(m.lostAt) > lostRetention || m.unreachable && now.Sub(m.lastHeard) > lostRetention):
			t.forget(m)
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

// RandomAlive returns up to count random entries that are alive, except the entry with the
// given name.
func (t *Table) RandomAlive(count int, except string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sampleAlive(count, func(m *member) bool { return m.Entry.Name != except })
}

// RandomAliveMostlyLocal is RandomAlive with most of the entries taken from this entry's data
// centre, which keeps the load on links between data centres low. Each entry that receives an
// update sends it to one entry of another data centre, so an update leaves a data centre about as
// many times as the data centre has entries.
func (t *Table) RandomAliveMostlyLocal(count int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	local := t.sampleAlive(count-remoteSamples, func(m *member) bool { return m.Entry.DataCentre == t.self.DataCentre })
	remote := t.sampleAlive(count-len(local), func(m *member) bool { return m.Entry.DataCentre != t.self.DataCentre })
	if missing := count - len(local) - len(remote); missing > 0 {
		return t.sampleAlive(count, func(*member) bool { return true })
	}
	return append(local, remote...)
}

// remoteSamples is the number of sampled entries that are in other data centres.
const remoteSamples = 1

// sampleAlive returns up to count random entries that are alive and match, by reservoir sampling.
// t.mu must be held.
func (t *Table) sampleAlive(count int, matches func(*member) bool) []string {
	sample := make([]string, 0, count)
	seen := 0
	for _, name := range t.names {
		if m := t.byName[name]; !m.isAlive() || !matches(m) {
			continue
		}
		seen++
		if len(sample) < count {
			sample = append(sample, name)
		} else if at := t.rng.IntN(seen); at < count {
			sample[at] = name
		}
	}
	t.rng.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	return sample
}
