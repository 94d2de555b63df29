// Package relay measures the overhead of entry and agent on a streamed answer, relative to
// direct calls to the same stand-in. All run in one process on loopback. Callers and stand-in
// share the processors with the measured system, so the throughput is that of all of them
// together.
package relay

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/heatherrail/heatherrail/bench"
)

// Options configure a run.
type Options struct {
	Seed    uint64
	Streams []int         // numbers of concurrent streams to measure
	Rounds  int           // rounds per number of streams
	Time    time.Duration // duration of a round of each variant
}

// Sizes of streams, and numbers of runs.
const (
	eventBytes     = 160
	pacedInterval  = 20 * time.Millisecond // between events, as with real engines
	bulkEvents     = 400
	shortEvents    = 200
	longEvents     = 20 * shortEvents
	allocRuns      = 20
	disconnectRuns = 40
)

// variant is one of the two compared paths, direct or relayed, with its clients.
type variant struct {
	name    string
	addr    string
	clients []*client
}

// Run runs all relay benchmarks and reports their figures.
func Run(ctx context.Context, o Options) (*bench.Report, error) {
	r := bench.NewReport("relay", o.Seed)
	s, err := startSystem()
	if err != nil {
		return nil, err
	}
	defer s.close()
	for _, n := range o.Streams {
		if err := benchPaced(ctx, r, s, n, o); err != nil {
			return nil, fmt.Errorf("%d paced streams: %w", n, err)
		}
		if err := benchBulk(ctx, r, s, n, o); err != nil {
			return nil, fmt.Errorf("%d bulk streams: %w", n, err)
		}
	}
	if err := benchAllocations(r, s); err != nil {
		return nil, err
	}
	return r, benchDisconnect(r, s)
}

// newPair returns the direct and the relayed variant, each with n clients.
func (s *system) newPair(n int) []*variant {
	pair := []*variant{{name: "direct", addr: s.server.Addr}, {name: "relayed", addr: s.entry.Addr()}}
	for _, v := range pair {
		for range n {
			v.clients = append(v.clients, &client{base: s.standin.base, addr: v.addr})
		}
	}
	return pair
}

// each runs f for all clients of a variant concurrently and returns the first error.
func (v *variant) each(f func(*client) error) error {
	p := pool.New().WithErrors().WithFirstError()
	for _, c := range v.clients {
		p.Go(func() error { return f(c) })
	}
	return p.Wait()
}

func (v *variant) connect(ctx context.Context) error {
	return v.each(func(c *client) error { return c.connect(ctx) })
}

func (v *variant) close() {
	for _, c := range v.clients {
		c.close()
	}
}

// benchPaced measures the delay of events that are sent at the interval of real engines, and
// the memory per stream.
func benchPaced(ctx context.Context, r *bench.Report, s *system, n int, o Options) error {
	pair := s.newPair(n)
	events := max(1, int(o.Time/pacedInterval))
	request := streamRequest{Events: events, EventIntervalUS: int(pacedInterval.Microseconds()), Bytes: eventBytes}
	memory, err := measureMemory(ctx, pair, request, o)
	if err != nil {
		return err
	}
	for range o.Rounds {
		for _, v := range pair {
			if err := pacedRound(ctx, v, request); err != nil {
				return fmt.Errorf("%s: %w", v.name, err)
			}
		}
	}
	direct, relayed := quantiles(pair[0], eventDelaysOf), quantiles(pair[1], eventDelaysOf)
	name := strconv.Itoa(n)
	r.Add(name, "event_direct_median", "us", direct[0])
	r.Add(name, "event_added_median", "us", relayed[0]-direct[0])
	r.Add(name, "event_direct_p99", "us", direct[1])
	r.Add(name, "event_added_p99", "us", relayed[1]-direct[1])
	r.Add(name, "memory_added_per_stream", "KB", (memory["relayed"]-memory["direct"])/float64(n)/1024)
	return nil
}

// measureMemory runs one round of each variant and returns the memory in use in the middle of the
// round, by variant. The measurement stops the world, so the delays of these rounds are discarded.
func measureMemory(ctx context.Context, pair []*variant, request streamRequest, o Options) (map[string]float64, error) {
	memory := make(map[string]float64)
	for _, v := range pair {
		before := memoryInUse()
		ended := make(chan error, 1)
		go func() { ended <- pacedRound(ctx, v, request) }()
		time.Sleep(o.Time / 2)
		memory[v.name] = memoryInUse() - before
		if err := <-ended; err != nil {
			return nil, fmt.Errorf("%s: %w", v.name, err)
		}
		for _, c := range v.clients {
			c.resetMeasurements()
		}
	}
	return memory, nil
}

// pacedRound runs one request on each client of a variant.
func pacedRound(ctx context.Context, v *variant, request streamRequest) error {
	if err := v.connect(ctx); err != nil {
		return err
	}
	defer v.close()
	return v.each(func(c *client) error { return c.run(request) })
}

// memoryInUse returns the bytes of heap and stack after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) + float64(m.StackInuse)
}

// benchBulk measures throughput and the time to the first event while the stand-in sends events
// as fast as they are read.
func benchBulk(ctx context.Context, r *bench.Report, s *system, n int, o Options) error {
	pair := s.newPair(n)
	request := streamRequest{Events: bulkEvents, Bytes: eventBytes}
	var spent [2]time.Duration
	for range o.Rounds {
		for i, v := range pair {
			elapsed, err := bulkRound(ctx, v, request, o.Time)
			if err != nil {
				return fmt.Errorf("%s: %w", v.name, err)
			}
			spent[i] += elapsed
		}
	}
	name := strconv.Itoa(n)
	direct, relayed := pair[0].eventsPerSecond(spent[0]), pair[1].eventsPerSecond(spent[1])
	r.Add(name, "throughput_direct", "events/s", direct)
	r.Add(name, "throughput_relayed", "events/s", relayed)
	r.Add(name, "throughput_ratio", "", relayed/direct)
	firstEvents := [2][2]float64{quantiles(pair[0], firstEventTimesOf), quantiles(pair[1], firstEventTimesOf)}
	r.Add(name, "start_direct_median", "us", firstEvents[0][0])
	r.Add(name, "start_added_median", "us", firstEvents[1][0]-firstEvents[0][0])
	r.Add(name, "start_added_p99", "us", firstEvents[1][1]-firstEvents[0][1])
	return nil
}

// bulkRound sends requests on all clients of a variant for a duration, and returns the time
// until the last one has ended.
func bulkRound(ctx context.Context, v *variant, request streamRequest, duration time.Duration) (time.Duration, error) {
	if err := v.connect(ctx); err != nil {
		return 0, err
	}
	defer v.close()
	start := time.Now()
	err := v.each(func(c *client) error {
		for time.Since(start) < duration {
			if err := c.run(request); err != nil {
				return err
			}
		}
		return nil
	})
	return time.Since(start), err
}

// eventsPerSecond returns the rate of all events of a variant in the given time.
func (v *variant) eventsPerSecond(spent time.Duration) float64 {
	events := 0
	for _, c := range v.clients {
		events += c.events
	}
	return float64(events) / spent.Seconds()
}

func eventDelaysOf(c *client) []time.Duration     { return c.eventDelays }
func firstEventTimesOf(c *client) []time.Duration { return c.firstEventTimes }

// quantiles returns the median and the 99th percentile of durations of all clients, in
// microseconds.
func quantiles(v *variant, durationsOf func(*client) []time.Duration) [2]float64 {
	var all []time.Duration
	for _, c := range v.clients {
		all = append(all, durationsOf(c)...)
	}
	if len(all) == 0 {
		return [2]float64{}
	}
	slices.Sort(all)
	microseconds := func(percent int) float64 { return float64(all[len(all)*percent/100].Nanoseconds()) / 1e3 }
	return [2]float64{microseconds(50), microseconds(99)}
}
