package placing

import (
	"sync"
	"time"
)

// EntryStatus is what this entry knows of another one.
type EntryStatus struct {
	Name  string
	Alive bool
	Ended bool // the entry has said that it stops, and is lost
}

// SlackShare decides which share of a quantity that all entries divide belongs to this entry: one part
// for each entry that may use one. The shares of all entries never exceed the whole within a window, however many of
// them end, start, are paused or cut off:
//
//   - An entry uses no share until it has seen all other entries alive for longer than a window. Before, they may not know of it, and
//     its predecessor on the same VM may have used a share.
//   - An entry that is lost keeps its part, as it may be cut off, until its loss is forgotten; see members.Table.Others. An entry that has
//     stopped keeps it for as long as it may have used it.
type SlackShare struct {
	window time.Duration

	mu           sync.Mutex
	updatedAt    time.Time
	incompleteAt time.Time // when an entry was last missing
	isComplete   bool      // all entries were alive for long enough once
	stopped      bool
	parts        int                  // entries that may use a share, including this one
	endedAt      map[string]time.Time // when a known entry was first seen to have ended; zero: it has not
}

// newsDelay is how long it may take until all entries that reach each other know of an entry that has started
// or is lost.
const newsDelay = 5 * time.Second

// NewSlackShare returns the share of an entry that has just started.
func NewSlackShare(window time.Duration, now time.Time) *SlackShare {
	return &SlackShare{window: window, updatedAt: now, incompleteAt: now, parts: 1, endedAt: make(map[string]time.Time)}
}

// Update updates what is known of the other entries. It must be called more often than newsDelay. isListed means that others
// would be known if there were any.
func (s *SlackShare) Update(others []EntryStatus, isListed bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	missing := !isListed || now.Sub(s.updatedAt) > newsDelay // after a pause, what is known may be old
	s.updatedAt = now
	listed := make(map[string]bool, len(others))
	for _, entry := range others {
		listed[entry.Name] = true
		endedAt, known := s.endedAt[entry.Name]
		switch {
		case !entry.Ended:
			endedAt = time.Time{}
		case endedAt.IsZero():
			endedAt = now
		}
		s.endedAt[entry.Name] = endedAt
		missing = missing || !known || !entry.Alive && !entry.Ended
	}
	s.parts = 1
	for name, endedAt := range s.endedAt {
		mayUse := endedAt.IsZero() || now.Sub(endedAt) <= s.settleTime()
		switch {
		case mayUse && (listed[name] || !endedAt.IsZero()):
			s.parts++
		case !listed[name]:
			delete(s.endedAt, name)
		}
	}
	if missing {
		s.incompleteAt = now
	}
	s.isComplete = s.isComplete || now.Sub(s.incompleteAt) > s.settleTime()
}

// settleTime is how long a change takes to reach all entries, and what they did before to leave the window.
func (s *SlackShare) settleTime() time.Duration { return s.window + newsDelay }

// Stop gives the share up for good: another process may be about to start on this VM.
func (s *SlackShare) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
}

// Share returns the share of this entry, 0 to 1.
func (s *SlackShare) Share() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || !s.isComplete {
		return 0
	}
	return 1 / float64(s.parts)
}
