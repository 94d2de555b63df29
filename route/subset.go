package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node is an entry, as subsets see it.
type Node struct {
	Name       string
	DataCentre string
}

// Up to MaxFullMeshTargets targets, every entry uses all of them. Larger fleets are
// divided: each target is used by EntriesNear entries of its own data centre and
// by EntriesFar others.
const (
	MaxFullMeshTargets = 48
	EntriesNear        = 12
	EntriesFar         = 4
)

// UsesTarget tells whether an entry uses a target of a fleet of the given size. The
// target chooses its entries by the highest hashes, so every target is used by
// the same number of them, and an entry that comes or goes changes only the
// targets that it gains or loses.
func UsesTarget(self Node, entries []Node, target, dataCentre string, fleet int) bool {
	if fleet <= MaxFullMeshTargets {
		return true
	}
	want := EntriesFar
	if self.DataCentre == dataCentre {
		want = EntriesNear
	}
	own := weigh(self.Name, target)
	above := 0
	for _, e := range entries {
		if (e.DataCentre == dataCentre) != (self.DataCentre == dataCentre) || e.Name == self.Name {
			continue
		}
		if w := weigh(e.Name, target); w > own || (w == own && e.Name < self.Name) {
			if above++; above >= want {
				return false
			}
		}
	}
	return true
}

// EntriesPerTeam is how many entries keep the limits of one team.
const EntriesPerTeam = 3

// TeamMembers returns the entries that keep a team's limits, at most n of them, the
// best first: a subset, so that a team's state is on few nodes and its share is
// exchanged between few. It is the same at every entry that knows the same list.
func TeamMembers(team string, entries []Node, n int) []Node {
	type ranked struct {
		node   Node
		weight uint64
	}
	all := make([]ranked, len(entries))
	for i, e := range entries {
		all[i] = ranked{node: e, weight: weigh(e.Name, team)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node.Name, b.node.Name))
	})
	members := make([]Node, 0, n)
	for _, r := range all[:min(n, len(all))] {
		members = append(members, r.node)
	}
	return members
}

// weigh is the hash that rendezvous ranks by.
func weigh(a, b string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(a) // a Digest never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(b)
	return d.Sum64()
}
