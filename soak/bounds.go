package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/platform/standin"
)

// Limits on the requests that an entry may send to a target that has asked it for rest, or has told
// it that it leaves. Source: the platform's rules.
const (
	restReactionTime    = 500 * time.Millisecond
	maxSendsInRest      = 2
	leavingReactionTime = drainSeconds * time.Second
)

// boundViolations lists the targets that got requests from an entry although they had asked it for
// rest or told it that they leave. The rules excuse entries that were suspended or restarted or
// whose connection to the target was disturbed since.
func (f *fleet) boundViolations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var violations []string
	for _, t := range f.allTargets {
		rests, leavings := t.Bounds()
		for i := range rests {
			if n := f.sendsBeyond(t, &rests[i], restReactionTime); n > maxSendsInRest {
				violations = append(violations, fmt.Sprintf("%s asked %s for %s of rest and received %d requests in it",
					t.ID, rests[i].Entry, rests[i].Until.Sub(rests[i].From), n))
			}
		}
		for i := range leavings {
			if n := f.sendsBeyond(t, &leavings[i], leavingReactionTime); n > 0 {
				violations = append(violations, fmt.Sprintf("%s told %s that it leaves and received %d requests later", t.ID, leavings[i].Entry, n))
			}
		}
	}
	return violations
}

// sendsBeyond counts the requests that arrived although a statement bound the entry, up to the first
// disturbance.
func (f *fleet) sendsBeyond(t *targetProc, b *standin.Bound, reactionTime time.Duration) int {
	n := 0
	for _, at := range b.ArrivalsAfter(reactionTime) {
		if f.s.disturbances.any(b.From, at, b.Entry, t.proxy) {
			break
		}
		n++
	}
	return n
}

// configApplyTime is the time after which an accepted configuration must be in force; it is in the
// settings of the processes.
const configApplyTime = drainSeconds * time.Second

// configViolations lists the requests that an entry refused because it did not know the route of an
// accepted configuration. The rules excuse entries that were disturbed since, and all while the store
// was.
func (f *fleet) configViolations(records []Record) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var violations []string
	for i := range records {
		rec := &records[i]
		accepted := rec.Config.AcceptedAt
		if rec.Status != http.StatusNotFound || rec.Sent.Sub(accepted) < configApplyTime || f.isReplaced(rec.Config, rec.Sent) {
			continue
		}
		e := f.entryAt(rec.Entry)
		if f.s.disturbances.any(accepted, rec.Sent, rec.Entry, f.store, e.proxy) {
			continue
		}
		violations = append(violations, fmt.Sprintf("%s: %s does not know configuration %d, accepted %s before", rec.ID, e.name, rec.Config.Version, rec.Sent.Sub(accepted).Round(time.Millisecond)))
	}
	return violations
}

// isReplaced reports whether another configuration was published before a request may have been
// handled.
func (f *fleet) isReplaced(c publishedConfig, sent time.Time) bool {
	for _, other := range f.configs {
		if other.Version > c.Version && other.AcceptedAt.Before(sent.Add(callTimeout)) {
			return true
		}
	}
	return false
}

// entryAt returns the entry with an address for callers.
func (f *fleet) entryAt(address string) *entryProc {
	i := slices.IndexFunc(f.entries, func(e *entryProc) bool { return e.address(portCallers) == address })
	return f.entries[i]
}

// disturbances records when entries and connections were disturbed by faults.
type disturbances struct {
	mu    sync.Mutex
	spans []*disturbance
}

type disturbance struct {
	subject  any
	from, to time.Time // to is zero while it lasts
}

// disturbanceMargin is added before and after each disturbance: requests may be on their way.
const disturbanceMargin = 300 * time.Millisecond

// begin records the start of a disturbance. The caller calls ended at its end.
func (d *disturbances) begin(subject any) (ended func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	span := &disturbance{subject: subject, from: time.Now().Add(-disturbanceMargin)}
	d.spans = append(d.spans, span)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if span.to.IsZero() {
			span.to = time.Now().Add(disturbanceMargin)
		}
	}
}

// endOf ends the disturbances of a subject after a time.
func (d *disturbances) endOf(subject any, after time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, span := range d.spans {
		if span.subject == subject && span.to.IsZero() {
			span.to = time.Now().Add(after)
		}
	}
}

// hasCalm reports whether none of the subjects was disturbed for a duration between two times.
func (d *disturbances) hasCalm(from, to time.Time, duration time.Duration, subjects ...any) bool {
	for start := from; !start.Add(duration).After(to); start = start.Add(calmStep) {
		if !d.any(start, start.Add(duration), subjects...) {
			return true
		}
	}
	return false
}

// calmStep is the resolution with which hasCalm looks for a calm time.
const calmStep = 50 * time.Millisecond

// any reports whether one of the subjects was disturbed between two times.
func (d *disturbances) any(from, to time.Time, subjects ...any) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, span := range d.spans {
		for _, subject := range subjects {
			if span.subject == subject && span.from.Before(to) && (span.to.IsZero() || span.to.After(from)) {
				return true
			}
		}
	}
	return false
}
