package placing

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/serving"
)

// FailureReport is what one entry has seen of a target that broke off connections or did not answer.
type FailureReport struct {
	Entry               string // that has seen it
	Run                 serving.Run
	LastBroken          time.Time // the latest connection that broke off; zero: none
	LastTimeout         time.Time // the latest request without an answer; zero: none
	ConsecutiveTimeouts int       // requests in a row without an answer, up to LastTimeout
	LastSuccess         time.Time // the latest whole answer; zero: none
}

// Figures of doubts.
const (
	// doubtTTL is for how long a failure counts: as long as a target is kept out at first.
	doubtTTL = 2 * time.Second
	// witnesses are the entries that must have seen a target fail before those that have not
	// keep it out. One alone may be cut off, or be slow itself.
	witnesses = 2
	// maxHung requests without an answer in a row, at all entries together, keep a target
	// out; so many at one entry keep it out there. One may be longer than its time by itself.
	maxHung = 3
	// maxDoubts bounds what one message carries.
	maxDoubts = 16
)

// doubts are what this entry and others have seen of targets.
//
// Load pattern: many entries share a few targets of a plain service, and each sees one of
// them every few seconds. A target breaks off every connection for a second, again and again.
// An entry that learns by itself alone fails a request at each look, and most requests that
// may not be repeated and go there are lost. What one has seen, all know a moment later, and
// none of them sends there.
type doubts struct {
	entry string
	seen  map[doubtKey]FailureReport
}

type doubtKey struct {
	run   serving.Run
	entry string
}

func newDoubts(entry string) doubts {
	return doubts{entry: entry, seen: make(map[doubtKey]FailureReport)}
}

// broke notes that a target broke off a connection of this entry.
func (d *doubts) broke(run serving.Run, now time.Time) {
	own := d.own(run)
	own.LastBroken = now
	d.put(own)
}

// hung notes that a target did not answer a request of this entry in its time. What went
// before an answer to anybody does not count.
func (d *doubts) hung(run serving.Run, now time.Time) {
	own := d.own(run)
	if d.lastWell(run).After(own.LastTimeout) {
		own.ConsecutiveTimeouts = 0
	}
	own.LastTimeout = now
	own.ConsecutiveTimeouts++
	d.put(own)
}

// well notes a whole answer of a target that is in doubt.
func (d *doubts) well(run serving.Run, now time.Time) {
	if !d.inDoubt(run) {
		return
	}
	own := d.own(run)
	own.LastSuccess, own.ConsecutiveTimeouts = now, 0
	d.put(own)
}

// own returns what this entry has seen of a target.
func (d *doubts) own(run serving.Run) FailureReport {
	if known, ok := d.seen[doubtKey{run: run, entry: d.entry}]; ok {
		return known
	}
	return FailureReport{Entry: d.entry, Run: run}
}

func (d *doubts) put(o FailureReport) { d.seen[doubtKey{run: o.Run, entry: o.Entry}] = o }

func (d *doubts) inDoubt(run serving.Run) bool {
	for key := range d.seen {
		if key.run == run {
			return true
		}
	}
	return false
}

// take takes what another entry has seen; it tells whether that is new.
func (d *doubts) take(o FailureReport, now time.Time) bool {
	if o.Entry == d.entry || now.Sub(o.latest()) >= doubtTTL {
		return false
	}
	known := d.seen[doubtKey{run: o.Run, entry: o.Entry}]
	if o.latest().Sub(known.latest()) < sameMoment {
		return false
	}
	d.put(o)
	return true
}

// sameMoment is more than the way of a message: ages are told, and grow on the way by what
// it took.
const sameMoment = 50 * time.Millisecond

// latest returns when the entry last saw something of the target.
func (o *FailureReport) latest() time.Time {
	return later(later(o.LastBroken, o.LastTimeout), o.LastSuccess)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// forget drops what no longer counts.
func (d *doubts) forget(now time.Time) {
	for key, o := range d.seen {
		if now.Sub(o.latest()) >= doubtTTL {
			delete(d.seen, key)
		}
	}
}

// lastWell returns when a target answered anybody last, as far as that is told.
func (d *doubts) lastWell(run serving.Run) (well time.Time) {
	for key, o := range d.seen {
		if key.run == run {
			well = later(well, o.LastSuccess)
		}
	}
	return well
}

// weight is what speaks against a target since it last answered anybody; from 1 on every
// entry keeps it out.
func (d *doubts) weight(run serving.Run, now time.Time) float64 {
	well := d.lastWell(run)
	counts := func(at time.Time) bool { return at.After(well) && now.Sub(at) < doubtTTL }
	brokenAt, hungAt, unanswered := 0, 0, 0 // the first two: entries
	for key, o := range d.seen {
		if key.run != run {
			continue
		}
		if counts(o.LastBroken) {
			brokenAt++
		}
		if counts(o.LastTimeout) {
			hungAt++
			unanswered += o.ConsecutiveTimeouts
		}
	}
	return max(float64(brokenAt)/witnesses, min(float64(hungAt)/witnesses, float64(unanswered)/maxHung))
}

// urgent tells whether others should hear at once of what has made a target's weight rise:
// if it may keep the target out, and did not before. The rest goes along with what is told
// in any case; pushed as well, single failures and answers would take more of the links
// between data centres than requests do.
func urgent(before, after float64) bool {
	return before < 1 && after > before && after >= 1.0/witnesses
}

// EjectionDecision is what follows from something that was seen of a target.
type EjectionDecision struct {
	Ejected   bool // the target is kept out from now on
	Propagate bool // others should hear of it at once
}

// RecordBrokenConnection books that a target of a plain service broke off a connection, which is certain
// enough to keep it out at once.
//
// A rank of a group is left to its failures in a row: the ranks fall together, and without
// some of them the others would run all the streams.
func (b *Tracker) RecordBrokenConnection(t *serving.Target, now time.Time) EjectionDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ablate.Off(ablate.Ejection) || ablate.Off(ablate.Doubts) {
		return EjectionDecision{}
	}
	before := b.doubts.weight(t.Run(), now)
	b.doubts.broke(t.Run(), now)
	b.ejector.EjectMinimum(t.Run(), now)
	return EjectionDecision{Ejected: true, Propagate: urgent(before, b.doubts.weight(t.Run(), now))}
}

// RecordTimeout books that a target has not begun to answer a request of this entry in several times
// the usual time. ranked tells that the target is a rank of a group.
//
// Of a rank that counts only if another rank has answered a request that was sent later: when
// the whole group stands still no rank answers, and none is to blame.
func (b *Tracker) RecordTimeout(t *serving.Target, ranked bool, sentAt, now time.Time) EjectionDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ranked && !b.group(b.keyOf(t, now)).answered.After(sentAt) || ablate.Off(ablate.Ejection) || ablate.Off(ablate.Doubts) {
		return EjectionDecision{}
	}
	before := b.doubts.weight(t.Run(), now)
	b.doubts.hung(t.Run(), now)
	after := b.doubts.weight(t.Run(), now)
	kept := after >= 1 || b.doubts.own(t.Run()).ConsecutiveTimeouts >= maxHung
	if kept {
		b.ejector.EjectMinimum(t.Run(), now)
	}
	return EjectionDecision{Ejected: kept, Propagate: urgent(before, after)}
}

// RecordRankResponse notes that a rank has begun to answer a request that was sent at a time.
func (b *Tracker) RecordRankResponse(t *serving.Target, sentAt, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.group(b.keyOf(t, now))
	g.answered = later(g.answered, sentAt)
}

// FailureReports returns what this entry and others have seen lately, the latest first, for one
// message.
func (b *Tracker) FailureReports(now time.Time) []FailureReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.doubts.forget(now)
	list := make([]FailureReport, 0, len(b.doubts.seen))
	for _, o := range b.doubts.seen {
		list = append(list, o)
	}
	slices.SortFunc(list, func(x, y FailureReport) int {
		return cmp.Or(y.latest().Compare(x.latest()), cmp.Compare(x.Entry, y.Entry), cmp.Compare(x.Run.ID, y.Run.ID))
	})
	return list[:min(len(list), maxDoubts)]
}

// MergeFailureReports takes what another entry has seen, or has heard of. It returns the targets that are
// kept out for it, and whether others should hear of it at once.
func (b *Tracker) MergeFailureReports(list []FailureReport, now time.Time) (kept []serving.Run, tell bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range list {
		before := b.doubts.weight(o.Run, now)
		if !b.doubts.take(o, now) {
			continue
		}
		after := b.doubts.weight(o.Run, now)
		if after >= 1 && after > before && !ablate.Off(ablate.Doubts) {
			b.ejector.EjectMinimum(o.Run, now)
			kept = append(kept, o.Run)
		}
		tell = tell || urgent(before, after)
	}
	return kept, tell
}
