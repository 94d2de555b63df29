package route

import (
	"slices"
	"time"
)

// QuarantineAction is what the quarantine says about a request.
type QuarantineAction uint8

// Verdicts.
const (
	QuarantineAllow    QuarantineAction = iota
	QuarantineRunAlone                  // suspected: runs alone or not at all
	QuarantineReject                    // crashed a target alone
)

// Quarantine remembers requests that ran on targets which crashed. It is not
// safe for concurrent use.
//
// Failure: one request crashes each target that runs it and its caller sends it
// again. Symptom: targets of a service die one after the other. All that ran on
// a crashed target are suspects; each runs once more, alone, so a second crash
// has one culprit and whoever ended well is cleared.
type Quarantine struct {
	suspects map[uint64]*suspect
	crashes  []crashSeen
}

type suspect struct {
	refused bool
	until   time.Time
}

type crashSeen struct {
	id       uint64
	at       time.Time
	suspects []uint64
}

// Bounds of the quarantine.
const (
	suspectFor   = time.Minute
	refuseFor    = 5 * time.Minute
	wideWindow   = 30 * time.Second
	crashMemory  = 10 * time.Minute // longer than agents repeat a report
	wideCrashes  = 3                // that a suspect had no part in
	suspectLimit = 4096
)

// NewQuarantine returns a quarantine that suspects nobody.
func NewQuarantine() *Quarantine { return &Quarantine{suspects: make(map[uint64]*suspect)} }

// RecordCrash books the crash of a target at an instant. alone: the only suspect was
// running alone on purpose, so another crash came before. Doubled reports of one
// crash count once. It returns how many requests are refused from now on.
func (q *Quarantine) RecordCrash(id uint64, alone bool, suspects []uint64, at, now time.Time) int {
	q.expire(now)
	if slices.ContainsFunc(q.crashes, func(c crashSeen) bool { return c.id == id }) {
		return 0
	}
	q.crashes = append(q.crashes, crashSeen{id: id, at: at, suspects: suspects})
	refused := 0
	for _, f := range suspects {
		s := q.suspects[f]
		if s == nil && len(q.suspects) < suspectLimit {
			s = new(suspect)
			q.suspects[f] = s
		}
		switch {
		case s == nil || s.refused:
		case alone && !q.wide(f, at):
			s.refused, s.until = true, at.Add(refuseFor)
			refused++
		default:
			s.until = later(s.until, at.Add(suspectFor))
		}
	}
	return refused
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// wide tells whether targets crash all over the fleet without the suspect. Then
// its second crash proves nothing, and refusing would add to the damage.
func (q *Quarantine) wide(f uint64, at time.Time) bool {
	others := 0
	for _, c := range q.crashes {
		if at.Sub(c.at).Abs() <= wideWindow && !slices.Contains(c.suspects, f) {
			others++
		}
	}
	return others >= wideCrashes
}

func (q *Quarantine) expire(now time.Time) {
	q.crashes = slices.DeleteFunc(q.crashes, func(c crashSeen) bool { return now.Sub(c.at) > crashMemory })
	for f, s := range q.suspects {
		if now.After(s.until) {
			delete(q.suspects, f)
		}
	}
}

// Check returns the verdict on a request, and until when it stands.
func (q *Quarantine) Check(f uint64, now time.Time) (QuarantineAction, time.Time) {
	s := q.suspects[f]
	switch {
	case s == nil || now.After(s.until):
		return QuarantineAllow, time.Time{}
	case s.refused:
		return QuarantineReject, s.until
	}
	return QuarantineRunAlone, s.until
}

// Clear takes the suspicion from a request that ended well.
func (q *Quarantine) Clear(f uint64) {
	if s := q.suspects[f]; s != nil && !s.refused {
		delete(q.suspects, f)
	}
}
