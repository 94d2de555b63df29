package route

import "time"

// Trial is a run of a suspect that may only run alone. Entries tell each other of it before it starts,
// so that no two of them run the same suspect at once, or two suspects on one target. If the entry is
// lost, its trial still shows the others that the suspect was running on a target that has crashed.
type Trial struct {
	Entry  string
	Seq    uint64 // rises with each trial of the entry
	Target uint64 // id of the crash that the target's end would be
	Until  time.Time
	Ended  bool
}

func (t *Trial) isRunning(now time.Time) bool { return !t.Ended && now.Before(t.Until) }

// StartTrial records that an entry is about to run a suspect on a target. It returns false if the
// suspect runs elsewhere or another suspect has a trial on the target.
func (q *Quarantine) StartTrial(fingerprint uint64, t Trial, now time.Time) bool {
	s := q.suspects[fingerprint]
	if s == nil {
		return true // cleared or expired meanwhile
	}
	if q.conflicts(fingerprint, &t, now, func(uint64, *Trial) bool { return true }) {
		return false
	}
	if !s.setTrial(t, now) {
		return false
	}
	s.changedAt = now
	q.trialsUntil = later(q.trialsUntil, t.Until)
	return true
}

// HasPrecedence reports whether a trial that was started may go on, now that other entries have had
// time to tell of theirs. Of two conflicting trials that were started at the same moment only one has
// precedence, at all entries alike.
func (q *Quarantine) HasPrecedence(fingerprint uint64, t Trial, now time.Time) bool {
	return !q.conflicts(fingerprint, &t, now, func(otherFingerprint uint64, other *Trial) bool {
		if other.Entry != t.Entry {
			return other.Entry < t.Entry
		}
		return otherFingerprint < fingerprint
	})
}

// conflicts reports whether a running trial that counts excludes a trial.
func (q *Quarantine) conflicts(fingerprint uint64, t *Trial, now time.Time, counts func(uint64, *Trial) bool) bool {
	for otherFingerprint, s := range q.suspects {
		for _, other := range s.trials {
			if otherFingerprint == fingerprint && other.Entry == t.Entry && other.Seq == t.Seq {
				continue
			}
			if (otherFingerprint == fingerprint || other.Target == t.Target) && other.isRunning(now) && counts(otherFingerprint, &other) {
				return true
			}
		}
	}
	return false
}

// EndTrial records that a trial has ended.
func (q *Quarantine) EndTrial(fingerprint uint64, t Trial, now time.Time) {
	if s := q.suspects[fingerprint]; s != nil && s.trials[t.Entry].Seq == t.Seq {
		t.Ended = true
		s.setTrial(t, now)
		s.changedAt = now
	}
}

// maxTrials limits the entries whose trials of one suspect are known. Only one of them runs it at a time.
const maxTrials = 32

// setTrial records the latest trial of an entry. It returns false if there is no room: the trials of other entries still run.
func (s *suspect) setTrial(t Trial, now time.Time) bool {
	if s.trials == nil {
		s.trials = make(map[string]Trial)
	}
	if _, ok := s.trials[t.Entry]; !ok && len(s.trials) >= maxTrials && !s.forgetTrial(now) {
		return false
	}
	s.trials[t.Entry] = t
	return true
}

// forgetTrial removes the trial that was over first, and reports whether there was one.
func (s *suspect) forgetTrial(now time.Time) bool {
	oldest := ""
	for entry, t := range s.trials {
		if !t.isRunning(now) && (oldest == "" || t.Until.Before(s.trials[oldest].Until)) {
			oldest = entry
		}
	}
	delete(s.trials, oldest)
	return oldest != ""
}

// mergeTrial merges a trial of another entry; it returns false if it is known, or if there is no room for it.
func (s *suspect) mergeTrial(t Trial, now time.Time) bool {
	known, ok := s.trials[t.Entry]
	if ok && (t.Seq < known.Seq || t.Seq == known.Seq && t.Ended == known.Ended || t.Seq == known.Seq && known.Ended) {
		return false
	}
	return s.setTrial(t, now)
}

// HasTrial reports whether a suspect is known to have a trial on a target. Requests that are not
// suspects should go elsewhere: one that crashes the target would cast suspicion on the trial.
func (q *Quarantine) HasTrial(target uint64, now time.Time) bool {
	return now.Before(q.trialsUntil) && len(q.trialsOn(target, now)) > 0
}

// trialsOn returns the suspects that have a running trial on a target.
func (q *Quarantine) trialsOn(target uint64, now time.Time) (fingerprints []uint64) {
	for fingerprint, s := range q.suspects {
		for _, t := range s.trials {
			if t.Target == target && t.isRunning(now) {
				fingerprints = append(fingerprints, fingerprint)
			}
		}
	}
	return fingerprints
}
