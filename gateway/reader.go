package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/serving"
)

// Shares of the platform's bounds after which the store is read again. The rest
// is left for the read itself, one that fails, and the way to the peers.
const (
	targetsEvery  = 0.35 // of the time in which a leaving target must get no more work
	targetsFollow = 0.5  // the same, for entries that hear of it from another one
	configWait    = 0.45 // of the time in which a configuration must be in force
	configFollow  = 0.6
	entriesEvery  = 10 * time.Second
	// takeOver is the part of the bound over which the entries follow each other
	// in reading, should those before them fail.
	takeOver     = 0.25
	readPauseMin = 100 * time.Millisecond
	readPauseMax = 500 * time.Millisecond
	expireEvery  = 100 * time.Millisecond
)

// pace says when an entry reads a topic.
type pace struct {
	topic  serving.Topic
	lead   time.Duration // age at which the first of the entries reads
	follow time.Duration // age at which the next one does
	spread time.Duration // by how much later the last one does
	wait   time.Duration // that a read of the first stays open for news
}

// limit returns the age at which the entry at a place among several reads, and
// for how long the read may stay open.
//
// The calls of all entries add up at the store, and are paid for. So the first
// of those that hear each other reads, and tells the rest at once; each next one
// reads by itself a little later if it has heard nothing, so that a reader that
// dies or is cut off from the store costs a part of the bound and no more, and
// many that fail do not make all others read at once.
func (p *pace) limit(place, of int) (age, wait time.Duration) {
	if place == 0 || ablate.Off(ablate.StoreTurns) {
		return p.lead, p.wait
	}
	return p.follow + p.spread*time.Duration(place)/time.Duration(of), 0
}

// follow keeps one topic up to date.
func (g *Gateway) follow(ctx context.Context, p pace) {
	g.awaitPeers(p.topic)
	pause := readPauseMin
	for ctx.Err() == nil {
		limit, wait := p.limit(g.mesh.position())
		if age, alone := g.aloneAge(); alone && p.topic == serving.TopicEntries {
			limit = age
		}
		if age := g.knowledge.age(p.topic, time.Now()); age < limit {
			sleep(ctx, min(limit-age, readPauseMin))
			continue
		}
		err := g.read(ctx, p.topic, wait)
		switch {
		case err == nil:
			pause = readPauseMin
			g.knowledge.storeAnswered()
			g.mesh.tell()
		case errors.Is(err, serving.ErrTrimmed):
			g.opts.Log.Info("store has dropped records, reading the newest", "topic", p.topic.String())
		default:
			g.opts.Metrics.Count("store_failures", 1)
			g.knowledge.storeFailed(err)
			sleep(ctx, pause)
			pause = min(2*pause, readPauseMax)
		}
	}
}

// read reads a topic once: the newest of each key at first and after a gap, and
// what has changed after that.
func (g *Gateway) read(ctx context.Context, t serving.Topic, wait time.Duration) error {
	next, loaded := g.knowledge.position(t)
	g.opts.Metrics.Count("store_reads", 1)
	begun := time.Now()
	if loaded {
		records, after, err := g.opts.Store.Changes(ctx, t, next, wait)
		if err == nil {
			if len(records) == 0 {
				begun = begun.Add(wait) // nothing was written meanwhile
			}
			g.knowledge.changes(t, records, after, begun)
			return nil
		}
		if !errors.Is(err, serving.ErrTrimmed) {
			return err
		}
	}
	records, end, err := g.opts.Store.Newest(ctx, t)
	if err != nil {
		return err
	}
	g.knowledge.newest(t, records, end, begun)
	return nil
}

// sleep waits, or less if ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// share returns a part of a time.
func share(d time.Duration, part float64) time.Duration {
	return time.Duration(float64(d) * part)
}
