package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Directory answers tell callers which entries to use.
type DirectoryAnswer struct {
	Addresses []string
	TTL       time.Duration
}

// answerTTL is how long callers may keep an answer. Some keep it three times as
// long; within the usual grace of eight seconds an entry that stops has then left
// all of them.
const answerTTL = 2 * time.Second

// Entries returns the entries for callers in a data centre: those there, and all
// of them if none is there. Callers draw one of the addresses; a list that also
// named other data centres would send most of them the longer way.
func (g *Gateway) Entries(dataCentre string) DirectoryAnswer {
	answer := DirectoryAnswer{TTL: min(answerTTL, g.opts.MaxDirectoryTTL)}
	var elsewhere []string
	for _, p := range g.mesh.usable() {
		if p.DataCentre == dataCentre {
			answer.Addresses = append(answer.Addresses, p.CallerAddr)
		} else {
			elsewhere = append(elsewhere, p.CallerAddr)
		}
	}
	if len(answer.Addresses) == 0 {
		answer.Addresses = elsewhere
	}
	answer.Addresses = some(answer.Addresses, g.opts.MaxDirectoryAddresses)
	return answer
}

// some returns at most so many of the addresses, 0 for all of them. Entries that know the same
// choose the same ones, and few change as entries come and go: callers close their connections to
// addresses that a new answer leaves out.
func some(addresses []string, most int) []string {
	if most == 0 || len(addresses) <= most {
		return addresses
	}
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b))
	})
	return addresses[:most]
}
