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

// allocations compares short with long streams: what grows with the length
// would be paid for each event.
func allocations(r *bench.Report, s *system) error {
	var perEvent [2]float64
	for i, sd := range s.sides(1) {
		if err := sd.connect(context.Background()); err != nil {
			return err
		}
		c := sd.clients[0]
		short, err := mallocs(c, shortEvents)
		if err != nil {
			return fmt.Errorf("allocations, %s: %w", sd.name, err)
		}
		long, err := mallocs(c, longEvents)
		if err != nil {
			return fmt.Errorf("allocations, %s: %w", sd.name, err)
		}
		sd.close()
		perEvent[i] = (long - short) / (longEvents - shortEvents)
		r.Add(sd.name, "allocations_per_request", "", short)
	}
	r.Add("added", "allocations_per_event", "", perEvent[1]-perEvent[0])
	return nil
}

// mallocs returns the allocations of a request of so many events.
func mallocs(c *client, events int) (float64, error) {
	work := order{Events: events, Bytes: eventBytes}
	for range 3 { // fills pools
		if err := c.run(work); err != nil {
			return 0, err
		}
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range allocRuns {
		if err := c.run(work); err != nil {
			return 0, err
		}
	}
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / allocRuns, nil
}

// gone measures how long after its caller left a request still holds its place.
func gone(r *bench.Report, s *system) error {
	const longPause = int(time.Minute / time.Microsecond)
	var took []time.Duration
	for range goneRuns {
		c := &client{base: s.standin.base, addr: s.entry.Addr()}
		if err := c.connect(context.Background()); err != nil {
			return err
		}
		if err := c.send(order{Events: 1, EveryU: longPause, Bytes: eventBytes}); err != nil {
			return err
		}
		for s.standin.active.Load() == 0 {
			time.Sleep(100 * time.Microsecond)
		}
		left := time.Since(c.base)
		c.close()
		select {
		case at := <-s.standin.gone:
			took = append(took, at-left)
		case <-time.After(ready):
			return errors.New("a caller that left was not missed")
		}
		for s.standin.active.Load() != 0 {
			time.Sleep(100 * time.Microsecond)
		}
	}
	slices.Sort(took)
	r.Add("caller gone", "slot_freed_median", "ms", took[len(took)/2].Seconds()*1e3)
	r.Add("caller gone", "slot_freed_max", "ms", took[len(took)-1].Seconds()*1e3)
	return nil
}
