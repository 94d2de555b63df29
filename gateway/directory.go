package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// DirectoryAnswer lists the entries that callers may connect to.
type DirectoryAnswer struct {
	Addresses []string
	TTL       time.Duration
}

// directoryTTL is how long callers may cache an answer. Some callers cache it for three times as
// long. A stopping entry is then gone from all caches within the usual shutdown grace of 8 s.
const directoryTTL = 2 * time.Second

// Entries returns the entries for callers in a data centre: the entries there, or all entries if
// there are none. Callers pick an address at random, so a list that mixed data centres would send
// most callers to a remote one.
func (g *Gateway) Entries(dataCentre string) DirectoryAnswer {
	answer := DirectoryAnswer{TTL: min(directoryTTL, g.opts.MaxDirectoryTTL)}
	var elsewhere []string
	for _, p := range g.cluster.readyEntries() {
		if p.DataCentre == dataCentre {
			answer.Addresses = append(answer.Addresses, p.CallerAddr)
		} else {
			elsewhere = append(elsewhere, p.CallerAddr)
		}
	}
	if len(answer.Addresses) == 0 {
		answer.Addresses = elsewhere
	}
	answer.Addresses = selectAddresses(answer.Addresses, g.opts.MaxDirectoryAddresses)
	return answer
}

// selectAddresses returns at most limit addresses; 0 means all. The choice is by hash, so that
// entries with the same view choose the same addresses and few change as entries come and go:
// callers close their connections to addresses that a new answer omits.
func selectAddresses(addresses []string, limit int) []string {
	if limit == 0 || len(addresses) <= limit {
		return addresses
	}
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b))
	})
	return addresses[:limit]
}
