package route

import (
	"slices"
	"time"
)

// MaxPartCrashes is the number of targets that may crash while they run requests with one part of a prompt before such
// requests are rejected. It is higher than MaxCrashes, as a part may stand beside the cause by chance much more often.
const MaxPartCrashes = 5

// maxProvenCrashes is the same for a part that targets have answered before, and whose crashes no other part explains.
const maxProvenCrashes = 2 * MaxPartCrashes

// Fingerprints of parts have partTag in their upper bits, so that processes that know only requests can pass them on.
const (
	partHashBits        = 48
	partTag      uint64 = 0xffff << partHashBits
)

// PartFingerprint identifies a part that prompts to a service share.
func PartFingerprint(service, part string) uint64 {
	return Fingerprint([]byte(part), service) | partTag
}

// RequestFingerprint is Fingerprint for requests whose parts are suspects too. The body may come in parts.
func RequestFingerprint(body [][]byte, identity ...string) uint64 {
	fingerprint := fingerprintOfParts(body, identity)
	if IsPart(fingerprint) {
		return ^fingerprint
	}
	return fingerprint
}

// IsPart reports whether a fingerprint is that of a part.
func IsPart(fingerprint uint64) bool { return fingerprint&partTag == partTag }

// provenParts remembers the parts of prompts that targets have answered lately, in two generations.
type provenParts struct {
	recent, previous map[uint64]time.Time
	turnedAt         time.Time
}

const (
	maxProvenParts   = 4096             // of a generation
	provenGeneration = 10 * time.Minute // time after which a generation is replaced
)

func (p *provenParts) add(part uint64, now time.Time) {
	if p.recent == nil || len(p.recent) >= maxProvenParts || now.Sub(p.turnedAt) > provenGeneration {
		p.previous, p.recent, p.turnedAt = p.recent, make(map[uint64]time.Time), now
	}
	p.recent[part] = now
}

func (p *provenParts) at(part uint64) time.Time {
	if at, ok := p.recent[part]; ok {
		return at
	}
	return p.previous[part]
}

// proofID is the id of a cleared crash that stands for an answer: the part has been answered before. A part that crashes
// each target that begins to answer it never has this proof.
const proofID = 0

// Prove records that a target has answered a request with these parts for long enough to show that none of them crashes it. It returns
// whether this clears a suspect.
func (q *Quarantine) Prove(parts []uint64, now time.Time) (cleared bool) {
	for _, part := range parts {
		q.proven.add(part, now)
		if s := q.suspects[part]; s != nil {
			cleared = q.Clear(part, now) || cleared
			q.addProof(part, s, now)
		}
	}
	return cleared
}

// addProof adds what this process has seen answered to the state of a part. It returns whether this is news.
func (q *Quarantine) addProof(part uint64, s *suspect, now time.Time) bool {
	at := q.proven.at(part)
	if !IsPart(part) || at.IsZero() || s.isProven() {
		return false
	}
	s.changedAt = now
	q.blamed.isValid = false
	return s.addCrash(proofID, suspectCrash{at: at, cleared: true})
}

func (s *suspect) isProven() bool {
	_, ok := s.crashes[proofID]
	return ok
}

// isSettled reports whether other processes have had time to tell which parts were running at the crash that made a part
// one of too many crashes.
func (s *suspect) isSettled(now time.Time) bool {
	var times []time.Time
	for _, c := range s.crashes {
		if !c.cleared {
			times = append(times, c.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return len(times) >= s.maxCrashes && now.Sub(times[s.maxCrashes-1]) >= blameSettleTime
}

// blamedParts are the parts that may have caused enough crashes, by fingerprint.
type blamedParts struct {
	isValid bool // no suspect has changed since
	parts   map[uint64]*suspect
}

const (
	// blameSettleTime is the time after the crash that is one too many in which processes tell each other which parts were running. Before, a
	// process may know of the parts beside the cause only.
	blameSettleTime = 400 * time.Millisecond
	// minOtherCrashes is the number of crashes at which another part was not running that shows that the other part did not
	// cause all of them. One crash may have a cause of its own.
	minOtherCrashes = 2
	// commonFactor is how many times as many requests have a part that is much more common than another one.
	commonFactor = 3
	// minExplaining is the number of crashes from which a part that was never answered explains the crashes of parts that were.
	minExplaining = 2
)

// blamedParts returns the parts with MaxPartCrashes crashes that no better suspect explains. The
// first part of a prompt and popular parts are at each crash that a part beside them causes, and while targets crash one after the other
// no request may complete that would clear them. So the crashes of a part that was answered before count only where
// no part was running that is at several of them and was never answered.
func (q *Quarantine) blamedParts() map[uint64]*suspect {
	if q.blamed.isValid {
		return q.blamed.parts
	}
	parts := make(map[uint64]*suspect)
	explained := make(map[uint64]bool)
	for fingerprint, s := range q.suspects {
		if IsPart(fingerprint) && !s.isProven() && s.count >= minExplaining {
			s.eachCrash(func(id uint64) { explained[id] = true })
		}
	}
	for fingerprint, s := range q.suspects {
		if !IsPart(fingerprint) || s.count < MaxPartCrashes {
			continue
		}
		unexplained := 0
		s.eachCrash(func(id uint64) {
			if !explained[id] {
				unexplained++
			}
		})
		if !s.isProven() || unexplained >= maxProvenCrashes {
			parts[fingerprint] = s
		}
	}
	q.blamed = blamedParts{isValid: true, parts: parts}
	return parts
}

// RejectedParts returns the parts of prompts that are to blame for the crash of too many targets.
func (q *Quarantine) RejectedParts(now time.Time) (parts []uint64) {
	for part, s := range q.blamedParts() {
		if s.isSettled(now) && now.Before(s.rejectedUntil()) {
			parts = append(parts, part)
		}
	}
	return parts
}

// Observe counts a request with these parts that a caller has sent.
func (q *Quarantine) Observe(parts []uint64) {
	if len(q.suspects) == 0 {
		return
	}
	for _, part := range parts {
		if s := q.suspects[part]; s != nil {
			s.seen++
		}
	}
}

// CheckParts returns the action for a request with these parts, the part that is the reason, and the time until which
// the action holds.
//
// Parts that were at the same crashes can't be told apart. A request is rejected only if it has all of them: one that
// has some of them runs, and clears these if it is answered.
func (q *Quarantine) CheckParts(parts []uint64, now time.Time) (action QuarantineAction, part uint64, until time.Time) {
	blamed := q.blamedParts()
	if len(blamed) == 0 {
		return QuarantineAllow, 0, time.Time{}
	}
	for _, p := range parts {
		s := blamed[p]
		if s == nil || !s.isSettled(now) || !isCause(s, parts, blamed) {
			continue
		}
		if end := s.rejectedUntil(); now.Before(end) {
			return QuarantineReject, p, end
		}
		action, part, until = QuarantineRunAlone, p, s.keptUntil()
	}
	return action, part, until
}

// isCause reports whether a blamed part has caused its crashes, as far as parts are concerned that a request lacks. A
// part that is much more common than s is no rival: it would stand beside s at each crash whatever causes them.
func isCause(s *suspect, parts []uint64, blamed map[uint64]*suspect) bool {
	for other, o := range blamed {
		if slices.Contains(parts, other) || o.seen >= commonFactor*(s.seen+1) {
			continue
		}
		without := 0
		s.eachCrash(func(id uint64) {
			if c, ok := o.crashes[id]; !ok || c.cleared {
				without++
			}
		})
		if without < minOtherCrashes {
			return false
		}
	}
	return true
}
