package route

import (
	"slices"
	"time"
)

// QuarantineAction is the decision of a Quarantine about a request.
type QuarantineAction uint8

// Decisions about a request.
const (
	QuarantineAllow    QuarantineAction = iota
	QuarantineRunAlone                  // the request is a suspect and may only run alone on a target
	QuarantineReject                    // the request crashed a target while it ran alone there
)

// Quarantine records the requests that ran on targets which crashed. It is not safe for
// concurrent use.
//
// It guards against a request that crashes every target that runs it, while its caller
// sends it again: the targets of a service would crash one after the other. All requests
// that ran on a crashed target become suspects. Each suspect may run again, but only alone
// on its target, so a second crash identifies the request that causes it. A suspect that
// completes is cleared.
type Quarantine struct {
	suspects map[uint64]*suspect
	crashes  []crashRecord
}

// suspect is the state of one request that was running on a target that crashed.
type suspect struct {
	rejected  bool
	expiresAt time.Time
}

type crashRecord struct {
	id       uint64 // id of the crash report
	at       time.Time
	suspects []uint64 // fingerprints of the requests that ran on the target
}

const (
	suspectTTL          = time.Minute      // time that a request stays a suspect after its latest crash
	rejectTTL           = 5 * time.Minute  // time that a request is rejected after the crash that identified it
	unrelatedWindow     = 30 * time.Second // time before and after a crash in which other crashes count
	crashTTL            = 10 * time.Minute // time that a crash is remembered; longer than agents repeat its report
	minUnrelatedCrashes = 3                // a suspect is not rejected after this many crashes at which it was not running
	maxSuspects         = 4096
)

// NewQuarantine returns a quarantine without suspects.
func NewQuarantine() *Quarantine { return &Quarantine{suspects: make(map[uint64]*suspect)} }

// RecordCrash records the crash of a target at a time. alone reports whether the only
// suspect ran alone because of an earlier crash. Repeated reports of one crash count once.
// RecordCrash returns how many requests are rejected from now on.
func (q *Quarantine) RecordCrash(id uint64, alone bool, suspects []uint64, at, now time.Time) int {
	q.expire(now)
	if slices.ContainsFunc(q.crashes, func(c crashRecord) bool { return c.id == id }) {
		return 0
	}
	q.crashes = append(q.crashes, crashRecord{id: id, at: at, suspects: suspects})
	rejected := 0
	for _, fingerprint := range suspects {
		s := q.suspects[fingerprint]
		if s == nil && len(q.suspects) < maxSuspects {
			s = new(suspect)
			q.suspects[fingerprint] = s
		}
		switch {
		case s == nil || s.rejected:
		case alone && !q.hasUnrelatedCrashes(fingerprint, at):
			s.rejected, s.expiresAt = true, at.Add(rejectTTL)
			rejected++
		default:
			s.expiresAt = later(s.expiresAt, at.Add(suspectTTL))
		}
	}
	return rejected
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hasUnrelatedCrashes reports whether other targets crashed around the same time
// without running the suspect. Then the suspect's second crash proves nothing, and
// rejecting the request would only add to the outage.
func (q *Quarantine) hasUnrelatedCrashes(fingerprint uint64, at time.Time) bool {
	unrelated := 0
	for _, c := range q.crashes {
		if at.Sub(c.at).Abs() <= unrelatedWindow && !slices.Contains(c.suspects, fingerprint) {
			unrelated++
		}
	}
	return unrelated >= minUnrelatedCrashes
}

// expire removes old crashes and suspects.
func (q *Quarantine) expire(now time.Time) {
	q.crashes = slices.DeleteFunc(q.crashes, func(c crashRecord) bool { return now.Sub(c.at) > crashTTL })
	for fingerprint, s := range q.suspects {
		if now.After(s.expiresAt) {
			delete(q.suspects, fingerprint)
		}
	}
}

// Check returns the action for a request and the time until which this action holds.
func (q *Quarantine) Check(fingerprint uint64, now time.Time) (QuarantineAction, time.Time) {
	s := q.suspects[fingerprint]
	switch {
	case s == nil || now.After(s.expiresAt):
		return QuarantineAllow, time.Time{}
	case s.rejected:
		return QuarantineReject, s.expiresAt
	}
	return QuarantineRunAlone, s.expiresAt
}

// Clear removes a request that completed from the suspects, unless it is rejected.
func (q *Quarantine) Clear(fingerprint uint64) {
	if s := q.suspects[fingerprint]; s != nil && !s.rejected {
		delete(q.suspects, fingerprint)
	}
}
