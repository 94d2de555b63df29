package placing

import "time"

// shortGroup tells since when a group is known to lack engines.
//
// Failure: fewer engines run than the group has ranks. Symptom: every engine refuses all
// requests, and each caller waits for as long as it may and is refused then. The group can't
// run anything before the missing engines have started, so callers are told at once.
type shortGroup struct {
	ranks int       // of the group
	told  time.Time // when its size was told last
	since time.Time // since when there are fewer targets; zero: there are not
}

// Figures of short groups.
const (
	// sizeTTL is for how long the size of a group is believed.
	sizeTTL = 5 * time.Second
	// shortAfter is longer than records of targets take to come back after a loss of power
	// or an outage of the store.
	shortAfter = 3 * time.Second
	// Callers are told to come back after as long as the group has been short, within these.
	minShort = time.Second
	maxShort = 30 * time.Second
)

func (s *shortGroup) size(ranks int, now time.Time) { s.ranks, s.told = ranks, now }

// note takes how many targets the group has.
func (s *shortGroup) note(targets int, now time.Time) {
	switch {
	case targets >= s.ranks || now.Sub(s.told) > sizeTTL:
		s.since = time.Time{}
	case s.since.IsZero():
		s.since = now
	}
}

// lasting returns for how long a group has been short; 0 if not for long.
func (s *shortGroup) lasting(now time.Time) time.Duration {
	if s.since.IsZero() || now.Sub(s.since) < shortAfter {
		return 0
	}
	return now.Sub(s.since)
}

// ShortageRetryAfter returns when the caller of a group that has been short for a time does best to
// come back: nobody knows when the missing engines start.
func ShortageRetryAfter(short time.Duration) time.Duration {
	return min(max(short, minShort), maxShort)
}
