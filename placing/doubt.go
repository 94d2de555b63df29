package placing

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/serving"
)

// Doubt is what one entry has seen of a target that broke off connections.
type Doubt struct {
	Entry  string // that has seen it
	Run    serving.Run
	Broken time.Time // the latest connection that broke off
	Well   time.Time // the latest whole answer; zero: none
}

// Figures of doubts.
const (
	// doubtLife is for how long a broken connection counts: as long as a target is kept out
	// at first.
	doubtLife = 2 * time.Second
	// witnesses are the other entries that must have seen a target break off before this one
	// keeps it out. One alone may be cut off itself.
	witnesses = 2
	// doubtsMost bounds what one message carries.
	doubtsMost = 16
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
	seen  map[doubtKey]Doubt
}

type doubtKey struct {
	run   serving.Run
	entry string
}

func newDoubts(entry string) doubts {
	return doubts{entry: entry, seen: make(map[doubtKey]Doubt)}
}

// broke notes that a target broke off a connection of this entry.
func (d *doubts) broke(run serving.Run, now time.Time) {
	own := d.own(run)
	own.Broken = now
	d.put(own)
}

// well notes a whole answer of a target that is in doubt.
func (d *doubts) well(run serving.Run, now time.Time) {
	if !d.inDoubt(run) {
		return
	}
	own := d.own(run)
	own.Well = now
	d.put(own)
}

// own returns what this entry has seen of a target.
func (d *doubts) own(run serving.Run) Doubt {
	if known, ok := d.seen[doubtKey{run: run, entry: d.entry}]; ok {
		return known
	}
	return Doubt{Entry: d.entry, Run: run}
}

func (d *doubts) put(o Doubt) { d.seen[doubtKey{run: o.Run, entry: o.Entry}] = o }

func (d *doubts) inDoubt(run serving.Run) bool {
	for key := range d.seen {
		if key.run == run {
			return true
		}
	}
	return false
}

// take takes what another entry has seen; it tells whether that is news.
func (d *doubts) take(o Doubt, now time.Time) bool {
	if o.Entry == d.entry || now.Sub(o.latest()) >= doubtLife {
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

func (o *Doubt) latest() time.Time {
	if o.Well.After(o.Broken) {
		return o.Well
	}
	return o.Broken
}

// forget drops what no longer counts.
func (d *doubts) forget(now time.Time) {
	for key, o := range d.seen {
		if now.Sub(o.latest()) >= doubtLife {
			delete(d.seen, key)
		}
	}
}

// condemned tells whether enough others have seen a target break off since it answered
// anybody last.
func (d *doubts) condemned(run serving.Run, now time.Time) bool {
	var well time.Time
	for key, o := range d.seen {
		if key.run == run && o.Well.After(well) {
			well = o.Well
		}
	}
	seenBy := 0
	for key, o := range d.seen {
		if key.run == run && o.Broken.After(well) && now.Sub(o.Broken) < doubtLife {
			seenBy++
		}
	}
	return seenBy >= witnesses
}

// Broke books that a target of a plain service broke off a connection, which is certain
// enough to keep it out at once. It tells whether others should hear of it.
//
// A rank of a group is left to its failures in a row: the ranks fall together, and without
// some of them the others would run all the streams.
func (b *Book) Broke(t *serving.Target, now time.Time) (tell bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ablate.Off(ablate.Ejection) || ablate.Off(ablate.Doubts) {
		return false
	}
	b.doubts.broke(t.Run(), now)
	b.ejector.Hold(t.Run(), now)
	return true
}

// Doubts returns what this entry and others have seen lately, the latest first, for one
// message.
func (b *Book) Doubts(now time.Time) []Doubt {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.doubts.forget(now)
	list := make([]Doubt, 0, len(b.doubts.seen))
	for _, o := range b.doubts.seen {
		list = append(list, o)
	}
	slices.SortFunc(list, func(x, y Doubt) int {
		return cmp.Or(y.latest().Compare(x.latest()), cmp.Compare(x.Entry, y.Entry), cmp.Compare(x.Run.ID, y.Run.ID))
	})
	return list[:min(len(list), doubtsMost)]
}

// Doubted takes what another entry has seen, or has heard of. It tells whether that is news.
func (b *Book) Doubted(list []Doubt, now time.Time) (news bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range list {
		if !b.doubts.take(o, now) {
			continue
		}
		news = true
		if b.doubts.condemned(o.Run, now) && !ablate.Off(ablate.Doubts) {
			b.ejector.Hold(o.Run, now)
		}
	}
	return news
}
