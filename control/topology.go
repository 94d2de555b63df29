package control

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RelayCount is the number of relays in a data centre. A relay is an entry that serves log
// records to the other entries.
const RelayCount = 4

// ObserverCount is the number of observers in a data centre. An observer is a relay that also
// receives the heartbeats of the other entries. Two observers are needed to count a silent
// process as down; the third is a spare.
const ObserverCount = 3

// LogReaderCount is the number of log readers in a data centre. A log reader is a relay that
// reads the log itself. All other entries get the log records from relays.
const LogReaderCount = 2

// Rank orders names by rendezvous hash for a subject. All processes that know the same
// names agree on the order, and adding or removing one name leaves the order of the others
// as it is.
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

// Peer is an entry as named in the VM list.
type Peer struct {
	Name       string
	Address    string
	DataCentre string
	Region     string
	Leaving    bool
}

// Topology holds the entries that one process knows, and the rank of the process among the
// entries of its data centre.
type Topology struct {
	Self   Peer
	Peers  map[string]Peer // all entries but this one, by name
	Ranked []string        // entries of the own data centre, this one included, first rank first
}

// NewTopology returns the topology of self and the entries of the VM list. It uses the list
// and not the liveness of entries, so that a short silence does not change the roles of all
// entries.
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

// LocalIndex returns the rank of this process in its data centre, from 0.
func (t *Topology) LocalIndex() int { return slices.Index(t.Ranked, t.Self.Name) }

// Local returns the first n entries of Ranked, without this process.
func (t *Topology) Local(n int) []string {
	first := t.Ranked[:min(n, len(t.Ranked))]
	return slices.DeleteFunc(slices.Clone(first), func(n string) bool { return n == t.Self.Name })
}

// ReadsLog reports whether this process is one of the log readers of its data centre.
func (t *Topology) ReadsLog() bool { return t.LocalIndex() < LogReaderCount }

// SummaryPeers returns the entries to which this process sends summaries. Only the first
// entry of a data centre sends summaries, to the first entry of each other data centre in
// its region. In the first data centre of a region, it also sends them to one entry of each
// other region.
func (t *Topology) SummaryPeers() []string {
	if t.LocalIndex() != 0 {
		return nil
	}
	centres := make(map[string][]string) // names of the entries of each other data centre
	region := make(map[string]string)
	for _, p := range t.Peers {
		if p.DataCentre != t.Self.DataCentre && !p.Leaving {
			centres[p.DataCentre] = append(centres[p.DataCentre], p.Name)
			region[p.DataCentre] = p.Region
		}
	}
	firstCentre := make(map[string]string) // first data centre of each region
	for dc, r := range region {
		if firstCentre[r] == "" || dc < firstCentre[r] {
			firstCentre[r] = dc
		}
	}
	other := firstCentre[t.Self.Region]
	isFirst := other == "" || t.Self.DataCentre < other
	var names []string
	for dc, list := range centres {
		r := region[dc]
		if r == t.Self.Region || (isFirst && firstCentre[r] == dc) {
			names = append(names, Rank(dc, list)[0])
		}
	}
	slices.Sort(names)
	return names
}

// Sources returns the entries from which this process pulls records when it does not read
// the log: the relays of its data centre, then all other entries. Each process has an
// order of its own, so that the first relay does not serve all other entries. The order of a
// relay begins with the log readers: two relays that followed each other would both wait
// until their records are stale.
func (t *Topology) Sources() []string {
	sources := Rank(t.Self.Name, t.Local(RelayCount))
	if t.LocalIndex() < RelayCount {
		logReaders := t.Local(LogReaderCount)
		sources = append(Rank(t.Self.Name, logReaders), slices.DeleteFunc(sources, func(n string) bool { return slices.Contains(logReaders, n) })...)
	}
	var rest []string
	for name := range t.Peers {
		if !slices.Contains(sources, name) {
			rest = append(rest, name)
		}
	}
	return append(sources, Rank(t.Self.Name, rest)...)
}
