package serving

import (
	"slices"
	"time"
)

// Target is one engine or one instance of a plain service.
type Target struct {
	ID            string
	StartedAtMS   int64  // start of this run in Unix milliseconds; 0: unknown
	Sequence      uint64 // number of this record among the records of one run
	Service       string
	Address       string
	DataCentre    string
	Version       string // software version
	Slots         int
	Leaving       bool
	ColdRemaining time.Duration // remaining cold time (see IsCold) when the record was written
	ColdUntil     time.Time     // latest time at which the cold time may end
	// Evacuated means that an operator has ordered the data centre of the target to be
	// evacuated.
	Evacuated bool
}

// IsAvailable reports whether the target may get new requests.
func (t *Target) IsAvailable() bool { return !t.Leaving && !t.Evacuated }

// IsCold reports whether the target is cold: it has started recently and takes only a few requests
// a second, see Service.ColdRate.
func (t *Target) IsCold(now time.Time) bool { return now.Before(t.ColdUntil) }

// Run identifies one run of a target. A target that restarts under its ID has lost the state
// of its earlier run, so entries record the state of a target by its run.
type Run struct {
	ID          string
	StartedAtMS int64
}

// Run returns the target's run.
func (t *Target) Run() Run { return Run{ID: t.ID, StartedAtMS: t.StartedAtMS} }

// Equivalent reports whether two records of a target have the same content. Sequence, which
// only counts records, and ColdUntil are ignored.
func (t Target) Equivalent(o Target) bool {
	t.Sequence, o.Sequence = 0, 0
	t.ColdUntil, o.ColdUntil = time.Time{}, time.Time{}
	return t == o
}

// IsOlderThan reports whether a record of a target is certainly older than another one of the same
// ID.
func (t *Target) IsOlderThan(o *Target) bool { return !t.isAtLeastAsNewAs(o) }

// isAtLeastAsNewAs reports whether a record is at least as new as another one of the same ID.
// The store may apply a write seconds after it was sent. A record from before a restart, or
// from before the target began to leave, could then replace the newer one, and a leaving
// target would get requests again.
func (t *Target) isAtLeastAsNewAs(o *Target) bool {
	return t.StartedAtMS > o.StartedAtMS || t.StartedAtMS == o.StartedAtMS && t.Sequence >= o.Sequence
}

// LapsedGrace is the time after a store outage within which a target whose record lapsed
// during the outage must write its record again. The platform states that targets do so within
// two seconds; the rest is a margin for the entry's next read of the store.
const LapsedGrace = 2300 * time.Millisecond

// TargetSet holds the known targets.
//
// The store drops the records of targets that cannot renew them while it is down. Without a
// grace time, an outage of a few seconds would leave no targets, and every request would be
// refused although all engines are healthy. So a target whose record lapses around an outage
// stays usable until LapsedGrace after the outage.
type TargetSet struct {
	byID    map[string]*Target
	offsets map[string]uint64    // offset of each target's record
	lapsed  map[string]time.Time // targets whose record lapsed around an outage, with the time of their removal
}

// NewTargetSet returns an empty set.
func NewTargetSet() *TargetSet {
	return &TargetSet{byID: make(map[string]*Target), offsets: make(map[string]uint64), lapsed: make(map[string]time.Time)}
}

// Put adds or replaces a target from its record at an offset. It reports whether the
// target has changed.
func (s *TargetSet) Put(t Target, offset uint64) bool {
	known := s.byID[t.ID]
	if known != nil && !t.isAtLeastAsNewAs(known) {
		return false
	}
	delete(s.lapsed, t.ID)
	s.offsets[t.ID] = offset
	if known != nil && known.Equivalent(t) {
		return false
	}
	s.byID[t.ID] = &t
	return true
}

// Remove removes a target and reports whether the set has changed. If expireAt is later
// than now, the target stays in the set until expireAt.
func (s *TargetSet) Remove(id string, now, expireAt time.Time) bool {
	if s.byID[id] == nil {
		return false
	}
	if expireAt.After(now) {
		s.lapsed[id] = expireAt
		return false
	}
	s.drop(id)
	return true
}

// ExtendLapsed gives all lapsed targets until a time to write their records again.
func (s *TargetSet) ExtendLapsed(until time.Time) {
	for id := range s.lapsed {
		s.lapsed[id] = until
	}
}

func (s *TargetSet) drop(id string) {
	delete(s.byID, id)
	delete(s.offsets, id)
	delete(s.lapsed, id)
}

// CountInDataCentre returns the number of targets in a data centre.
func (s *TargetSet) CountInDataCentre(dataCentre string) int {
	n := 0
	for _, t := range s.byID {
		if t.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// ExpireLapsed removes the lapsed targets whose grace time has passed and reports whether
// there were any. While the store is down their grace time starts again, since no target can
// write its record.
func (s *TargetSet) ExpireLapsed(now time.Time, storeDown bool) bool {
	changed := false
	for id, expireAt := range s.lapsed {
		if storeDown {
			s.lapsed[id] = now.Add(LapsedGrace)
			continue
		}
		if now.After(expireAt) {
			s.drop(id)
			changed = true
		}
	}
	return changed
}

// ByService returns the targets of each service for which isConfigured is true, ordered by ID.
// Records of other services are ignored: they come from other writers to the topic, and their
// addresses may be those of targets.
//
// If two records have the same address, the later record counts: the earlier run has ended
// without removing its record, which lapses only after seconds. After a power loss half of all
// records are of ended runs, and requests for these would be rejected one after the other.
func (s *TargetSet) ByService(isConfigured func(service string) bool) map[string][]*Target {
	byAddress := make(map[string]*Target, len(s.byID))
	for _, t := range s.byID {
		if !isConfigured(t.Service) {
			continue
		}
		if known := byAddress[t.Address]; known == nil || s.offsets[known.ID] < s.offsets[t.ID] {
			byAddress[t.Address] = t
		}
	}
	lists := make(map[string][]*Target)
	for _, t := range byAddress {
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

// MarkEvacuated returns the targets of each service, with those in evacuated data centres
// marked. They stay in the lists, since their engines still work for the rest of their group.
func MarkEvacuated(byService map[string][]*Target, evacuated map[string]bool) map[string][]*Target {
	if len(evacuated) == 0 {
		return byService
	}
	marked := make(map[string][]*Target, len(byService))
	for service, list := range byService {
		for _, t := range list {
			if evacuated[t.DataCentre] {
				copied := *t
				copied.Evacuated = true
				t = &copied
			}
			marked[service] = append(marked[service], t)
		}
	}
	return marked
}
