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
	QuarantineRunAlone                  // the request is a suspect and may only run apart from other suspects
	QuarantineReject                    // the request has crashed targets and may not run
)

// QuarantinePolicy is what a Quarantine requires of suspects.
type QuarantinePolicy struct {
	AloneAfter int           // crashes after which a request may only run alone
	AloneFor   time.Duration // time after its latest crash for which a request may only run alone
}

// Quarantine records the requests that ran on targets which crashed. It is not safe for
// concurrent use.
//
// It guards against a request that crashes every target that runs it, while its caller
// sends it again: the targets of a service would crash one after the other. All requests
// that ran on a crashed target become suspects. A request that ran on MaxCrashes targets
// when they crashed, and has completed on none since, is rejected. Two things tell it from
// the requests beside it: a suspect that completes anywhere is cleared of its crashes, and
// after QuarantinePolicy.AloneAfter crashes suspects run apart, so that the next crash
// concerns one of them only. A crash while the suspect was known to run alone on its target
// rejects it at once.
//
// Several processes that merge the states of each other come to the same decisions.
//
// Suspects are requests and the parts that several prompts share; see CheckParts.
type Quarantine struct {
	policy   QuarantinePolicy
	suspects map[uint64]*suspect // by fingerprint
	proven   provenParts
	blamed   blamedParts
	crashes  []crashRecord
	// expiredAt is when expired state was last removed.
	expiredAt   time.Time
	trialsUntil time.Time // end of the latest trial
}

// suspect is the state of one request, or of a part of prompts, that was running on a target that crashed.
type suspect struct {
	maxCrashes         int                     // crashes after which it may be rejected
	seen               int                     // requests with this part that callers have sent to this process since it is a suspect
	crashes            map[uint64]suspectCrash // by crash id
	count              int                     // crashes that are not cleared
	lastCrash          time.Time               // time of the latest of these
	lastReport         time.Time               // time of the latest crash, cleared ones included
	aloneRejectedUntil time.Time               // rejected because a target crashed that ran only this request
	trials             map[string]Trial        // latest trial of each entry
	changedAt          time.Time
}

// suspectCrash is a crash that a suspect may have caused.
type suspectCrash struct {
	at      time.Time
	cleared bool // the request has completed since
}

type crashRecord struct {
	id       uint64
	at       time.Time
	suspects []uint64 // fingerprints of the requests that ran on the target
}

const (
	// MaxCrashes is the number of targets that a request may crash before it is rejected.
	MaxCrashes = 3
	// suspectTTL is how long a crash that may have been caused by a request counts.
	suspectTTL = 10 * time.Minute
	// rejectTTL is how long a request is rejected after the crash that identified it. Each further
	// crash doubles the time, up to maxRejectDoublings times.
	rejectTTL           = 5 * time.Minute
	maxRejectDoublings  = 3
	unrelatedWindow     = 30 * time.Second // time before and after a crash in which other crashes count
	crashTTL            = 10 * time.Minute // time that a crash is remembered; longer than agents repeat its report
	minUnrelatedCrashes = 3                // a crash alone does not reject a suspect after this many crashes at which it was not running
	maxSuspects         = 1024             // requests; as many parts
	maxSuspectCrashes   = 16               // crashes that are kept of one suspect
)

// NewQuarantine returns a quarantine without suspects.
func NewQuarantine(policy QuarantinePolicy) *Quarantine {
	return &Quarantine{policy: policy, suspects: make(map[uint64]*suspect)}
}

// RecordCrash records the crash of a target at a time. alone reports whether the only
// suspect ran alone because of an earlier crash. Several reports of one crash count as one
// crash of all their suspects and of the requests that have a trial on the target. RecordCrash returns
// the fingerprints of the requests that are rejected from now on.
func (q *Quarantine) RecordCrash(id uint64, alone bool, suspects []uint64, at, now time.Time) (rejected []uint64) {
	q.expire(now)
	suspects = slices.Concat(suspects, q.trialsOn(id, now))
	q.addCrashRecord(id, suspects, at)
	var accepted []uint64 // suspects that were not rejected before
	for _, fingerprint := range suspects {
		if !q.isRejected(fingerprint, now) {
			accepted = append(accepted, fingerprint)
		}
	}
	for _, fingerprint := range suspects {
		s := q.suspectFor(fingerprint, now)
		if s.addCrash(id, suspectCrash{at: at}) {
			s.changedAt = now
		}
		q.addProof(fingerprint, s, now)
		if alone && !s.crashes[id].cleared && !q.hasUnrelatedCrashes(fingerprint, at) {
			s.aloneRejectedUntil = at.Add(rejectTTL)
		}
	}
	q.blamed.isValid = false
	for _, fingerprint := range accepted {
		if q.isRejected(fingerprint, now) {
			rejected = append(rejected, fingerprint)
		}
	}
	return rejected
}

// addCrashRecord remembers a crash, or the suspects of a further report of it.
func (q *Quarantine) addCrashRecord(id uint64, suspects []uint64, at time.Time) {
	i := slices.IndexFunc(q.crashes, func(c crashRecord) bool { return c.id == id })
	if i < 0 {
		q.crashes = append(q.crashes, crashRecord{id: id, at: at, suspects: suspects})
		return
	}
	q.crashes[i].suspects = slices.Concat(q.crashes[i].suspects, suspects)
}

// suspectFor returns the state of a suspect and creates it if needed. If there are too many, the one
// that is least suspect is dropped.
func (q *Quarantine) suspectFor(fingerprint uint64, now time.Time) *suspect {
	s := q.suspects[fingerprint]
	if s != nil {
		return s
	}
	if len(q.suspects) >= maxSuspects {
		q.dropLeastSuspect(IsPart(fingerprint))
	}
	s = newSuspect(fingerprint)
	s.changedAt = now
	q.suspects[fingerprint] = s
	return s
}

func newSuspect(fingerprint uint64) *suspect {
	s := &suspect{maxCrashes: MaxCrashes, crashes: make(map[uint64]suspectCrash)}
	if IsPart(fingerprint) {
		s.maxCrashes = MaxPartCrashes
	}
	return s
}

// dropLeastSuspect drops a request or a part if there are too many of its kind.
func (q *Quarantine) dropLeastSuspect(parts bool) {
	var least uint64
	var leastState *suspect
	count := 0
	for fingerprint, s := range q.suspects {
		if IsPart(fingerprint) != parts {
			continue
		}
		count++
		if leastState == nil || s.count < leastState.count || s.count == leastState.count && s.lastCrash.Before(leastState.lastCrash) {
			least, leastState = fingerprint, s
		}
	}
	if count >= maxSuspects {
		delete(q.suspects, least)
		q.blamed.isValid = false
	}
}

// addCrash adds a crash or what is newly known of it. It returns false if this changes nothing.
func (s *suspect) addCrash(id uint64, c suspectCrash) bool {
	known, ok := s.crashes[id]
	switch {
	case !ok && len(s.crashes) >= maxSuspectCrashes && id != proofID:
		return false
	case ok && (known.cleared || !c.cleared):
		return false
	case ok:
		c.at = known.at
	}
	s.crashes[id] = c
	s.summarise()
	return true
}

// summarise derives count, lastCrash and lastReport from the crashes.
func (s *suspect) summarise() {
	s.count, s.lastCrash = 0, time.Time{}
	for _, c := range s.crashes {
		s.lastReport = later(s.lastReport, c.at)
		if !c.cleared {
			s.count++
			s.lastCrash = later(s.lastCrash, c.at)
		}
	}
}

// rejectedUntil returns the end of the time for which the request is rejected.
func (s *suspect) rejectedUntil() time.Time {
	if s.count < s.maxCrashes {
		return s.aloneRejectedUntil
	}
	return later(s.aloneRejectedUntil, s.lastCrash.Add(rejectTTL<<min(s.count-s.maxCrashes, maxRejectDoublings)))
}

// keptUntil returns when the state is dropped. A rejected request remains a suspect for as long again
// after its rejection, so that its next crash rejects it again.
func (s *suspect) keptUntil() time.Time {
	// Other processes may still report a crash that is cleared here.
	latest := later(s.aloneRejectedUntil, s.lastReport.Add(suspectTTL))
	if s.count >= s.maxCrashes {
		latest = later(latest, s.rejectedUntil().Add(s.rejectedUntil().Sub(s.lastCrash)))
	}
	return latest
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

// expiryInterval is the minimum time between two searches for what has expired.
const expiryInterval = time.Second

// expire removes old crashes and suspects.
func (q *Quarantine) expire(now time.Time) {
	if now.Sub(q.expiredAt) < expiryInterval {
		return
	}
	q.expiredAt = now
	q.crashes = slices.DeleteFunc(q.crashes, func(c crashRecord) bool { return now.Sub(c.at) > crashTTL })
	for fingerprint, s := range q.suspects {
		if now.After(s.keptUntil()) {
			delete(q.suspects, fingerprint)
			q.blamed.isValid = false
		}
	}
}

func (q *Quarantine) isRejected(fingerprint uint64, now time.Time) bool {
	s := q.suspects[fingerprint]
	return s != nil && now.Before(s.rejectedUntil()) && (!IsPart(fingerprint) || q.blamedParts()[fingerprint] != nil)
}

// sharedBlameTTL is how long a rejection holds at least that other rejected requests may come to explain.
const sharedBlameTTL = time.Second

// Check returns the action for a request and the time until which this action holds.
func (q *Quarantine) Check(fingerprint uint64, now time.Time) (QuarantineAction, time.Time) {
	s := q.suspects[fingerprint]
	if s == nil {
		return QuarantineAllow, time.Time{}
	}
	if now.Before(s.aloneRejectedUntil) {
		return QuarantineReject, s.rejectedUntil()
	}
	if until := s.rejectedUntil(); now.Before(until) {
		switch q.blameOf(fingerprint, now) {
		case blameSole:
			return QuarantineReject, until
		case blameShared:
			return QuarantineReject, now.Add(sharedBlameTTL)
		}
	}
	if until := s.lastCrash.Add(q.policy.AloneFor); s.count >= q.policy.AloneAfter && now.Before(until) {
		return QuarantineRunAlone, until
	}
	return QuarantineAllow, time.Time{}
}

// blame says whether a rejected request may have caused its crashes.
type blame uint8

const (
	blameSole   blame = iota // one of its crashes concerns no other request that may be to blame
	blameShared              // each crash concerns another one as well
	blameOthers              // others are to blame for its crashes
)

// blameOf returns the blame of a rejected request. A request that ran beside several requests that
// crash targets may have been on three of their targets. All its crashes are theirs too then, while
// each of them usually has a crash at which no other rejected request was running.
func (q *Quarantine) blameOf(fingerprint uint64, now time.Time) blame {
	running := make(map[uint64]int) // rejected requests by crash
	q.eachRejected(now, func(_ uint64, s *suspect) {
		s.eachCrash(func(id uint64) { running[id]++ })
	})
	explained := make(map[uint64]bool) // crashes of requests that are to blame
	isSole := false
	q.eachRejected(now, func(other uint64, s *suspect) {
		hasSole := false
		s.eachCrash(func(id uint64) { hasSole = hasSole || running[id] == 1 })
		if !hasSole {
			return
		}
		isSole = isSole || other == fingerprint
		s.eachCrash(func(id uint64) { explained[id] = true })
	})
	if isSole {
		return blameSole
	}
	result := blameOthers
	q.suspects[fingerprint].eachCrash(func(id uint64) {
		if !explained[id] {
			result = blameShared
		}
	})
	return result
}

// eachRejected calls do for each request, or part, that has crashed too many targets.
func (q *Quarantine) eachRejected(now time.Time, do func(fingerprint uint64, s *suspect)) {
	for fingerprint, s := range q.suspects {
		if s.count >= s.maxCrashes && q.isRejected(fingerprint, now) {
			do(fingerprint, s)
		}
	}
}

// eachCrash calls do for each crash that is not cleared.
func (s *suspect) eachCrash(do func(id uint64)) {
	for id, c := range s.crashes {
		if !c.cleared {
			do(id)
		}
	}
}

// Crashes returns the number of crashes that a request may have caused.
func (q *Quarantine) Crashes(fingerprint uint64) int {
	if s := q.suspects[fingerprint]; s != nil {
		return s.count
	}
	return 0
}

// Clear clears a request that completed of the crashes known so far: a request that crashes each
// target that runs it never completes. It returns false if the request was not a suspect.
func (q *Quarantine) Clear(fingerprint uint64, now time.Time) bool {
	s := q.suspects[fingerprint]
	if s == nil {
		return false
	}
	q.blamed.isValid = false
	changed := !s.aloneRejectedUntil.IsZero()
	s.aloneRejectedUntil = time.Time{}
	for id, c := range s.crashes {
		changed = changed || !c.cleared
		c.cleared = true
		s.crashes[id] = c
	}
	s.summarise()
	if changed {
		s.changedAt = now
	}
	return changed
}
