package route

import "github.com/cespare/xxhash/v2"

// DedupKey returns the key of a non-repeatable request in deduplication tables: its
// idempotency key within a team and service.
func DedupKey(team, service, key string) string {
	return team + "\x00" + service + "\x00" + key
}

// KeyHash returns the hash that stands for a DedupKey in messages between processes. A
// hash collision can make the outcome of a request look uncertain, but never makes a
// request run twice.
func KeyHash(dedupKey string) uint64 { return xxhash.Sum64String(dedupKey) }

// Fingerprint returns a hash that stays the same when a caller repeats a request under a new
// request id. identity holds what tells requests with equal bodies apart, such as the team and
// the path.
func Fingerprint(body []byte, identity ...string) uint64 {
	return fingerprintOfParts([][]byte{body}, identity)
}

// fingerprintOfParts is Fingerprint of a body in parts.
func fingerprintOfParts(body [][]byte, identity []string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range identity {
		_, _ = d.WriteString(part) // a Digest never fails
		_, _ = d.Write([]byte{0})
	}
	for _, part := range body {
		_, _ = d.Write(part)
	}
	return d.Sum64()
}

// HomeIndex returns the index of the home of a non-repeatable request, the one target that
// may run the request, by rendezvous hashing of key and target name. The result depends
// only on the declared targets and not on which of them seem alive, so two entries can't
// choose different homes. It is -1 if names is empty.
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
