package relay

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/bench"
)

// benchAllocations reports the allocations per request, and those per event that entry and
// agent add. Allocations per event are the difference between long and short streams.
func benchAllocations(r *bench.Report, s *system) error {
	var perEvent [2]float64
	for i, v := range s.newPair(1) {
		if err := v.connect(context.Background()); err != nil {
			return err
		}
		c := v.clients[0]
		short, err := allocationsPerRequest(c, shortEvents)
		if err != nil {
			return fmt.Errorf("allocations, %s: %w", v.name, err)
		}
		long, err := allocationsPerRequest(c, longEvents)
		if err != nil {
			return fmt.Errorf("allocations, %s: %w", v.name, err)
		}
		v.close()
		perEvent[i] = (long - short) / (longEvents - shortEvents)
		r.Add(v.name, "allocations_per_request", "", short)
	}
	r.Add("added", "allocations_per_event", "", perEvent[1]-perEvent[0])
	return nil
}

// allocationsPerRequest returns the mean number of allocations in the process for a request
// with the given number of events.
func allocationsPerRequest(c *client, events int) (float64, error) {
	request := streamRequest{Events: events, Bytes: eventBytes}
	for range 3 { // warm-up, which fills the pools
		if err := c.run(request); err != nil {
			return 0, err
		}
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range allocRuns {
		if err := c.run(request); err != nil {
			return 0, err
		}
	}
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / allocRuns, nil
}

// benchDisconnect measures the time from the disconnect of a caller until its request has
// ended at the stand-in, which frees the slot.
func benchDisconnect(r *bench.Report, s *system) error {
	const eventIntervalUS = int(time.Minute / time.Microsecond)
	var delays []time.Duration
	for range disconnectRuns {
		c := &client{base: s.standin.base, addr: s.entry.Addr()}
		if err := c.connect(context.Background()); err != nil {
			return err
		}
		if err := c.send(streamRequest{Events: 1, EventIntervalUS: eventIntervalUS, Bytes: eventBytes}); err != nil {
			return err
		}
		for s.standin.activeRequests.Load() == 0 {
			time.Sleep(100 * time.Microsecond)
		}
		disconnectedAt := time.Since(c.base)
		c.close()
		select {
		case seenAt := <-s.standin.disconnects:
			delays = append(delays, seenAt-disconnectedAt)
		case <-time.After(readyTimeout):
			return errors.New("the stand-in did not see the disconnect of a caller in time")
		}
		for s.standin.activeRequests.Load() != 0 {
			time.Sleep(100 * time.Microsecond)
		}
	}
	slices.Sort(delays)
	r.Add("caller gone", "slot_freed_median", "ms", delays[len(delays)/2].Seconds()*1e3)
	r.Add("caller gone", "slot_freed_max", "ms", delays[len(delays)-1].Seconds()*1e3)
	return nil
}
