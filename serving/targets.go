package serving

import (
	"slices"
	"time"
)

// Target is one engine or one instance of a plain service.
type Target struct {
	ID            string
	StartedAtMS   int64  // when this run began, in Unix milliseconds; 0: not told
	Sequence      uint64 // counts the records of one run
	Service       string
	Address       string
	DataCentre    string
	Version       string // of its software
	Slots         int
	Leaving       bool
	ColdRemaining time.Duration // how much longer it is cold, as of its record
	ColdUntil     time.Time     // when it is not cold any more, at the latest
	// Evacuated: an operator has ordered that its data centre gets no work.
	Evacuated bool
}

// IsAvailable tells whether the target may get work.
func (t *Target) IsAvailable() bool { return !t.Leaving && !t.Evacuated }

// IsCold tells whether the target bears only a few requests a second.
func (t *Target) IsCold(now time.Time) bool { return now.Before(t.ColdUntil) }

// Run names one run of a target. A target that starts again under its id holds and
// knows nothing of before, so what is booked of it goes by this.
type Run struct {
	ID          string
	StartedAtMS int64
}

// Run returns the target's run.
func (t *Target) Run() Run { return Run{ID: t.ID, StartedAtMS: t.StartedAtMS} }

// Equivalent tells whether two records of a target say the same: the number that only counts
// them is left out.
func (t Target) Equivalent(o Target) bool {
	t.Sequence, o.Sequence = 0, 0
	t.ColdUntil, o.ColdUntil = time.Time{}, time.Time{}
	return t == o
}

// follows tells whether a record comes after another one of the same id.
//
// Failure: the store carries out a write of a target seconds after it was sent.
// Symptom: a record of before the target's restart, or of before it began to leave,
// lies on top of the newer one, and a leaving target gets work again.
func (t *Target) follows(o *Target) bool {
	return t.StartedAtMS > o.StartedAtMS || t.StartedAtMS == o.StartedAtMS && t.Sequence >= o.Sequence
}

// LapsedGrace is how long the entry of a target that lapsed during an outage of
// the store may take to come back after the outage, with a margin for the read
// that notices. Source: the platform's statement of two seconds.
const LapsedGrace = 2300 * time.Millisecond

// TargetSet is what is known of the targets.
//
// Failure: the store forgets targets that can't renew their entries while it is
// down. Symptom: after an outage of seconds no target is left, and every request
// is refused though all engines are well. So an entry that lapses around an
// outage stays usable for LapsedGrace after it; then what is missing is gone.
type TargetSet struct {
	byID   map[string]*Target
	offset map[string]uint64    // of the record of each
	lapsed map[string]time.Time // removed around an outage; when to believe it
}

// NewTargetSet returns an empty set.
func NewTargetSet() *TargetSet {
	return &TargetSet{byID: make(map[string]*Target), offset: make(map[string]uint64), lapsed: make(map[string]time.Time)}
}

// Put adds or replaces a target by its record at an offset; it reports whether
// anything changed.
func (s *TargetSet) Put(t Target, offset uint64) bool {
	old := s.byID[t.ID]
	if old != nil && !t.follows(old) {
		return false
	}
	delete(s.lapsed, t.ID)
	s.offset[t.ID] = offset
	if old != nil && old.Equivalent(t) {
		return false
	}
	s.byID[t.ID] = &t
	return true
}

// Remove takes a target out; if believeAt is later than now it is kept until
// then. It reports whether anything changed.
func (s *TargetSet) Remove(id string, now, believeAt time.Time) bool {
	if s.byID[id] == nil {
		return false
	}
	if believeAt.After(now) {
		s.lapsed[id] = believeAt
		return false
	}
	s.drop(id)
	return true
}

func (s *TargetSet) drop(id string) {
	delete(s.byID, id)
	delete(s.offset, id)
	delete(s.lapsed, id)
}

// CountInDataCentre returns how many targets a data centre has.
func (s *TargetSet) CountInDataCentre(dataCentre string) int {
	n := 0
	for _, t := range s.byID {
		if t.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// ExpireLapsed removes lapsed targets that have not come back; down keeps them, since
// nothing can come back while the store is away.
func (s *TargetSet) ExpireLapsed(now time.Time, down bool) bool {
	changed := false
	for id, at := range s.lapsed {
		if down {
			s.lapsed[id] = now.Add(LapsedGrace)
			continue
		}
		if now.After(at) {
			s.drop(id)
			changed = true
		}
	}
	return changed
}

// ByService returns the targets of services that named knows, each list ordered by
// id. A record with another service is of another writer, and its address may be one
// of a target.
//
// Of two records with one address the later is true: the earlier run has ended
// without a word, and its record takes seconds to lapse. After a loss of power
// half of all records are such, and requests for them are turned away one after
// the other.
func (s *TargetSet) ByService(named func(service string) bool) map[string][]*Target {
	holder := make(map[string]*Target, len(s.byID))
	for _, t := range s.byID {
		if !named(t.Service) {
			continue
		}
		if h := holder[t.Address]; h == nil || s.offset[h.ID] < s.offset[t.ID] {
			holder[t.Address] = t
		}
	}
	lists := make(map[string][]*Target)
	for _, t := range holder {
		lists[t.Service] = append(lists[t.Service], t)
	}
	for _, list := range lists {
		slices.SortFunc(list, func(a, b *Target) int {
			if a.ID < b.ID {
				return -1
			}
			return 1
		})
	}
	return lists
}

// MarkEvacuated returns the targets of each service with those of some data centres marked as
// evacuated. They stay listed, since their engines still work for the rest of their group.
func MarkEvacuated(byService map[string][]*Target, evacuated map[string]bool) map[string][]*Target {
	if len(evacuated) == 0 {
		return byService
	}
	marked := make(map[string][]*Target, len(byService))
	for service, list := range byService {
		for _, t := range list {
			if evacuated[t.DataCentre] {
				closed := *t
				closed.Evacuated = true
				t = &closed
			}
			marked[service] = append(marked[service], t)
		}
	}
	return marked
}
