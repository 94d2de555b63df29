package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node is an entry that subsets are chosen from.
type Node struct {
	Name       string
	DataCentre string
}

// In a fleet of up to MaxFullMeshTargets targets every entry uses all targets. In a larger
// fleet each target is used by EntriesNear entries of its own data centre and by EntriesFar
// entries elsewhere.
const (
	MaxFullMeshTargets = 48
	EntriesNear        = 12
	EntriesFar         = 4
)

// UsesTarget reports whether the entry self uses a target of a fleet of the given size.
// Each target selects its entries by rendezvous hashing, so every target is used by the
// same number of entries, and an entry that joins or leaves changes the selection of
// only the targets that it gains or loses.
func UsesTarget(self Node, entries []Node, target, dataCentre string, fleet int) bool {
	if fleet <= MaxFullMeshTargets {
		return true
	}
	limit := EntriesFar
	if self.DataCentre == dataCentre {
		limit = EntriesNear
	}
	selfWeight := rendezvousHash(self.Name, target)
	higher := 0
	for _, e := range entries {
		if (e.DataCentre == dataCentre) != (self.DataCentre == dataCentre) || e.Name == self.Name {
			continue
		}
		if w := rendezvousHash(e.Name, target); w > selfWeight || (w == selfWeight && e.Name < self.Name) {
			if higher++; higher >= limit {
				return false
			}
		}
	}
	return true
}

// EntriesPerTeam is the number of entries that keep the limits of one team.
const EntriesPerTeam = 3

// TeamMembers returns the entries that keep a team's limits, at most n, in order of their
// rendezvous hash, highest first. Only a subset of the entries keeps the limits, so that few
// entries hold the state of a team and exchange its demand. The result is the same at all
// entries with the same list.
func TeamMembers(team string, entries []Node, n int) []Node {
	type ranked struct {
		node   Node
		weight uint64
	}
	all := make([]ranked, len(entries))
	for i, e := range entries {
		all[i] = ranked{node: e, weight: rendezvousHash(e.Name, team)}
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

// rendezvousHash returns the weight of a node for a key in rendezvous hashing.
func rendezvousHash(node, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node) // a Digest never fails
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}
