package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/serving"
)

// Times of reads from the store. Most are shares of time limits that the platform sets; the rest of
// each limit is left for the read itself, a failed read, and the propagation to peers.
const (
	targetsLeadShare    = 0.35 // share of the time within which a leaving target must stop getting requests
	targetsFollowShare  = 0.5  // share of the same time, for entries that are usually notified by a peer
	configWaitShare     = 0.45 // share of the time within which a configuration must be in force
	configFollowShare   = 0.6
	entriesReadInterval = 10 * time.Second
	// takeoverSpreadShare is the share of the time limit over which the other entries take over
	// one after the other, if the entries that should read the store fail.
	takeoverSpreadShare = 0.25
	minReadDelay        = 100 * time.Millisecond
	maxReadDelay        = 500 * time.Millisecond
	maintenanceInterval = 100 * time.Millisecond
)

// readSchedule defines when an entry reads a topic.
type readSchedule struct {
	topic          serving.Topic
	leadAge        time.Duration // age of the replica at which the first entry reads
	followAge      time.Duration // age of the replica at which the next entry reads
	takeoverSpread time.Duration // additional age at which the last entry reads
	pollWait       time.Duration // how long the store lets a read by the first entry wait for changes
}

// readLimits returns the replica age at which the entry at a position among count entries reads
// the store, and how long the read waits in the store for changes.
//
// Each call to the store is billed, and the calls of all entries add up. So only the first live
// entry reads, and it notifies the others at once. An entry that has not been notified reads a
// little later than the entry before it. A reader that fails or loses the store therefore costs
// only a part of the time limit, and after several failures the other entries do not all read at
// once.
func (s *readSchedule) readLimits(position, count int) (age, wait time.Duration) {
	if position == 0 || ablate.Off(ablate.StoreTurns) {
		return s.leadAge, s.pollWait
	}
	return s.followAge + s.takeoverSpread*time.Duration(position)/time.Duration(count), 0
}

// followTopic keeps the replica of a topic up to date.
func (g *Gateway) followTopic(ctx context.Context, s readSchedule) {
	g.awaitFirstRead(s.topic)
	delay := minReadDelay
	for ctx.Err() == nil {
		maxAge, wait := s.readLimits(g.cluster.readerPosition())
		if age, alone := g.aloneReadAge(); alone && s.topic == serving.TopicEntries {
			maxAge = age
		}
		position, _ := g.cluster.readerPosition()
		mustRead := position == 0 && g.state.isOfEarlierEra(s.topic)
		if age := g.state.age(s.topic, time.Now()); age < maxAge && !mustRead {
			sleep(ctx, min(maxAge-age, minReadDelay))
			continue
		}
		err := g.readTopic(ctx, s.topic, wait)
		switch {
		case err == nil:
			delay = minReadDelay
			g.state.recordStoreSuccess()
			g.cluster.notify()
			if mustRead {
				sleep(ctx, minReadDelay) // a store that answers in an earlier era than a peer has seen is not read in a loop
			}
		default:
			g.opts.Metrics.Count("store_failures", 1)
			g.state.recordStoreFailure(err)
			sleep(ctx, delay)
			delay = min(2*delay, maxReadDelay)
		}
	}
}

// readTopic reads a topic once: the newest record of each key if the topic has not been read, or if
// the store has dropped records or come back from an older copy; otherwise the changes.
func (g *Gateway) readTopic(ctx context.Context, t serving.Topic, wait time.Duration) error {
	next, loaded := g.state.readOffset(t)
	g.opts.Metrics.Count("store_reads", 1)
	start := time.Now()
	if loaded {
		records, after, err := g.opts.Store.Changes(ctx, t, next, wait)
		if err == nil {
			if len(records) == 0 {
				start = start.Add(wait) // nothing was written during the wait: the replica is complete up to its end
			}
			g.state.applyChanges(t, records, after, start)
			return nil
		}
		if !errors.Is(err, serving.ErrTrimmed) && !errors.Is(err, serving.ErrRestored) {
			return err
		}
		g.opts.Metrics.Count("store_reads_gone", 1)
	}
	records, end, err := g.opts.Store.Newest(ctx, t)
	if err != nil {
		return err
	}
	if end < next {
		return fmt.Errorf("%w: topic %s ends at %d, %d is known", serving.ErrEarlierEra, t, end, next)
	}
	g.state.applyNewest(t, records, end, start)
	if loaded {
		g.state.logGone(t, next, end)
	}
	return nil
}

// sleep waits for d or until ctx ends.
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

// fractionOf returns a fraction of a duration.
func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}
