package route

import "github.com/cespare/xxhash/v2"

// DedupKey joins what names a request that must not run twice.
func DedupKey(team, service, key string) string {
	return team + "\x00" + service + "\x00" + key
}

// KeyHash is the short name of a DedupKey between processes. Two keys with one
// hash make a false doubt, never a second run.
func KeyHash(homeKey string) uint64 { return xxhash.Sum64String(homeKey) }

// Fingerprint names a caller's request over repeats, which have new ids.
func Fingerprint(team, service string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(team + "\x00" + service + "\x00") // a Digest never fails
	_, _ = d.Write(body)
	return d.Sum64()
}

// HomeIndex returns the index of the one target that runs a non-repeatable request:
// the highest hash of key and name. It depends on the declared targets alone,
// not on who seems alive, so two entries can't choose different ones.
func HomeIndex(key string, names []string) int {
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
