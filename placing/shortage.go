package placing

import "time"

// engineShortage tracks how long a group has had fewer engines than ranks.
//
// Such a group refuses all requests until the missing engines have started. Callers are therefore
// refused at once: otherwise each caller would wait for its full time and be refused then.
type engineShortage struct {
	ranks     int       // number of ranks of the group
	sizeSetAt time.Time // when ranks was last set
	startedAt time.Time // when the targets became fewer than the ranks; zero: there are enough targets
}

// Parameters of engine shortages.
const (
	// sizeTTL is how long the reported size of a group counts.
	sizeTTL = 5 * time.Second
	// minShortage is how long a shortage must last to count. It exceeds the time that target
	// records take to return after a power loss or a store outage.
	minShortage = 3 * time.Second
	// Bounds of the Retry-After during a shortage, which is as long as the shortage has lasted.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

func (s *engineShortage) setSize(ranks int, now time.Time) { s.ranks, s.sizeSetAt = ranks, now }

// update starts or ends the shortage, by the current number of targets of the group.
func (s *engineShortage) update(targets int, now time.Time) {
	switch {
	case targets >= s.ranks || now.Sub(s.sizeSetAt) > sizeTTL:
		s.startedAt = time.Time{}
	case s.startedAt.IsZero():
		s.startedAt = now
	}
}

// duration returns how long the shortage has lasted; 0 if it is shorter than minShortage.
func (s *engineShortage) duration(now time.Time) time.Duration {
	if s.startedAt.IsZero() || now.Sub(s.startedAt) < minShortage {
		return 0
	}
	return now.Sub(s.startedAt)
}

// ShortageRetryAfter returns the Retry-After for callers of a group that has lacked engines for the
// given time. It grows with that time, because it is unknown when the missing engines start.
func ShortageRetryAfter(shortage time.Duration) time.Duration {
	return min(max(shortage, minRetryAfter), maxRetryAfter)
}
