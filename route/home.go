package route

import "github.com/cespare/xxhash/v2"

// Home returns the index of the one target that runs a non-repeatable request:
// the highest hash of key and name. It depends on the declared targets alone,
// not on who seems alive, so two entries can't choose different ones.
func Home(key string, names []string) int {
	best, bestHash := -1, uint64(0)
	for i, name := range names {
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(key) // a Digest never fails
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(name)
		if h := d.Sum64(); best < 0 || h > bestHash {
			best, bestHash = i, h
		}
	}
	return best
}
