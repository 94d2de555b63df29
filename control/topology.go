package control

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RelayCount is how many entries of a data centre serve the others with records.
const RelayCount = 4

// ObserverCount is how many of the few hear heartbeats. Two witnesses are needed against
// a silent one; the third is the spare.
const ObserverCount = 3

// LogReaderCount is how many of the few read the log itself: the other ones and all the
// rest follow them.
const LogReaderCount = 2

// Rank orders names by rendezvous hash for a subject: all processes that know the
// same names agree on the order, and a change of one name moves little.
func Rank(subject string, names []string) []string {
	ranked := slices.Clone(names)
	weight := make(map[string]uint64, len(names))
	for _, name := range names {
		weight[name] = xxhash.Sum64String(subject + "\x00" + name)
	}
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight[b], weight[a]), cmp.Compare(a, b))
	})
	return slices.Compact(ranked)
}

// Peer is an entry that control talks to.
type Peer struct {
	Name       string
	Address    string
	DataCentre string
	Region     string
	Leaving    bool
}

// Topology is one process's place among the entries.
type Topology struct {
	Self   Peer
	Peers  map[string]Peer // all entries but this one
	Ranked []string        // names of the own data centre, best first, this one included
}

// NewTopology places self among the entries of the VM list. It goes by the list and
// not by who seems alive, so that a short silence does not move everyone.
func NewTopology(self Peer, entries []Peer) *Topology {
	t := &Topology{Self: self, Peers: make(map[string]Peer, len(entries))}
	local := []string{self.Name}
	for _, p := range entries {
		if p.Name == self.Name {
			continue
		}
		t.Peers[p.Name] = p
		if p.DataCentre == self.DataCentre && !p.Leaving {
			local = append(local, p.Name)
		}
	}
	t.Ranked = Rank(self.DataCentre, local)
	return t
}

// Place returns this process's place in its data centre, from 0.
func (t *Topology) Place() int { return slices.Index(t.Ranked, t.Self.Name) }

// Local returns the first n of the own data centre without this process.
func (t *Topology) Local(n int) []string {
	few := t.Ranked[:min(n, len(t.Ranked))]
	return slices.DeleteFunc(slices.Clone(few), func(n string) bool { return n == t.Self.Name })
}

// ReadsLog reports whether this process reads the log while all is well.
func (t *Topology) ReadsLog() bool { return t.Place() < LogReaderCount }

// SummaryPeers returns whom this process exchanges summaries with: only the first of a
// data centre does, with the first of each other data centre of its region, and the
// region's first data centre with one of each other region.
func (t *Topology) SummaryPeers() []string {
	if t.Place() != 0 {
		return nil
	}
	centres := make(map[string][]string) // by data centre
	region := make(map[string]string)
	for _, p := range t.Peers {
		if p.DataCentre != t.Self.DataCentre && !p.Leaving {
			centres[p.DataCentre] = append(centres[p.DataCentre], p.Name)
			region[p.DataCentre] = p.Region
		}
	}
	heads := make(map[string]string) // first data centre of each region
	for dc, r := range region {
		if heads[r] == "" || dc < heads[r] {
			heads[r] = dc
		}
	}
	own := heads[t.Self.Region]
	isHead := own == "" || t.Self.DataCentre < own
	var names []string
	for dc, list := range centres {
		r := region[dc]
		if r == t.Self.Region || (isHead && heads[r] == dc) {
			names = append(names, Rank(dc, list)[0])
		}
	}
	slices.Sort(names)
	return names
}

// Sources returns from whom this process pulls records when it does not read the
// log: the few of its data centre, then anyone. The order is its own, so that the
// first of a data centre does not serve all the others. The few themselves begin
// with those that read the log: two of them that followed each other would both wait
// for news until it is stale.
func (t *Topology) Sources() []string {
	sources := Rank(t.Self.Name, t.Local(RelayCount))
	if t.Place() < RelayCount {
		tailers := t.Local(LogReaderCount)
		sources = append(Rank(t.Self.Name, tailers), slices.DeleteFunc(sources, func(n string) bool { return slices.Contains(tailers, n) })...)
	}
	var rest []string
	for name := range t.Peers {
		if !slices.Contains(sources, name) {
			rest = append(rest, name)
		}
	}
	return append(sources, Rank(t.Self.Name, rest)...)
}
