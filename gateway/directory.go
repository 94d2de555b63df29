package gateway

import (
	"time"
)

// Directory answers tell callers which entries to use.
type DirectoryAnswer struct {
	Addresses []string
	Lifetime  time.Duration
}

// answerLife is how long callers may keep an answer. Some keep it three times as
// long; within the usual grace of eight seconds an entry that stops has then left
// all of them.
const answerLife = 2 * time.Second

// Entries returns the entries for callers in a data centre: those there, and all
// of them if none is there. Callers draw one of the addresses; a list that also
// named other data centres would send most of them the longer way.
func (g *Gateway) Entries(dataCentre string) DirectoryAnswer {
	answer := DirectoryAnswer{Lifetime: min(answerLife, g.opts.LifetimeMax)}
	var elsewhere []string
	for _, p := range g.mesh.usable() {
		if p.DataCentre == dataCentre {
			answer.Addresses = append(answer.Addresses, p.Callers)
		} else {
			elsewhere = append(elsewhere, p.Callers)
		}
	}
	if len(answer.Addresses) == 0 {
		answer.Addresses = elsewhere
	}
	return answer
}
