// Package relay measures what entry and agent add to a streamed answer, against
// calling the same stand-in directly. Everything runs in one process on
// loopback: the callers and the stand-in share the processors with the system
// that is measured, so throughput is that of a whole small machine.
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

// Options of a run.
type Options struct {
	Seed    uint64
	Streams []int         // counts of concurrent streams
	Rounds  int           // of each pair
	Time    time.Duration // of one half of a pair
}

// Sizes of the streams.
const (
	eventBytes  = 160
	pacedEvery  = 20 * time.Millisecond // between events, as engines send them
	bulkEvents  = 400
	shortEvents = 200
	longEvents  = 20 * shortEvents
	allocRuns   = 20
	goneRuns    = 40
)

// side is one half of a pair.
type side struct {
	name    string
	addr    string
	clients []*client
}

// Run measures and reports.
func Run(ctx context.Context, o Options) (*bench.Report, error) {
	r := bench.NewReport("relay", o.Seed)
	s, err := startSystem()
	if err != nil {
		return nil, err
	}
	defer s.close()
	for _, n := range o.Streams {
		if err := paced(ctx, r, s, n, o); err != nil {
			return nil, fmt.Errorf("%d paced streams: %w", n, err)
		}
		if err := bulk(ctx, r, s, n, o); err != nil {
			return nil, fmt.Errorf("%d bulk streams: %w", n, err)
		}
	}
	if err := allocations(r, s); err != nil {
		return nil, err
	}
	return r, gone(r, s)
}

func (s *system) sides(n int) []*side {
	pair := []*side{{name: "direct", addr: s.server.Addr}, {name: "relayed", addr: s.entry.Addr()}}
	for _, sd := range pair {
		for range n {
			sd.clients = append(sd.clients, &client{base: s.standin.base, addr: sd.addr})
		}
	}
	return pair
}

// each runs f for all clients of a side at once.
func (sd *side) each(f func(*client) error) error {
	p := pool.New().WithErrors().WithFirstError()
	for _, c := range sd.clients {
		p.Go(func() error { return f(c) })
	}
	return p.Wait()
}

func (sd *side) connect(ctx context.Context) error {
	return sd.each(func(c *client) error { return c.connect(ctx) })
}

func (sd *side) close() {
	for _, c := range sd.clients {
		c.close()
	}
}

// paced measures the way of one event while engines send at their usual pace,
// and the memory of a stream.
func paced(ctx context.Context, r *bench.Report, s *system, n int, o Options) error {
	pair := s.sides(n)
	events := max(1, int(o.Time/pacedEvery))
	work := order{Events: events, EveryU: int(pacedEvery.Microseconds()), Bytes: eventBytes}
	memory, err := memoryOf(ctx, pair, work, o)
	if err != nil {
		return err
	}
	for range o.Rounds {
		for _, sd := range pair {
			if err := pacedRound(ctx, sd, work); err != nil {
				return fmt.Errorf("%s: %w", sd.name, err)
			}
		}
	}
	direct, relayed := quantiles(pair[0], delaysOf), quantiles(pair[1], delaysOf)
	name := strconv.Itoa(n)
	r.Add(name, "event_direct_median", "us", direct[0])
	r.Add(name, "event_added_median", "us", relayed[0]-direct[0])
	r.Add(name, "event_direct_p99", "us", direct[1])
	r.Add(name, "event_added_p99", "us", relayed[1]-direct[1])
	r.Add(name, "memory_added_per_stream", "KB", (memory["relayed"]-memory["direct"])/float64(n)/1024)
	return nil
}

// memoryOf runs each half once for the memory in use in the midst of it. Looking
// stops the world, so the delays of these rounds are dropped.
func memoryOf(ctx context.Context, pair []*side, work order, o Options) (map[string]float64, error) {
	memory := make(map[string]float64)
	for _, sd := range pair {
		before := inUse()
		ended := make(chan error, 1)
		go func() { ended <- pacedRound(ctx, sd, work) }()
		time.Sleep(o.Time / 2)
		memory[sd.name] = inUse() - before
		if err := <-ended; err != nil {
			return nil, fmt.Errorf("%s: %w", sd.name, err)
		}
		for _, c := range sd.clients {
			c.forget()
		}
	}
	return memory, nil
}

func pacedRound(ctx context.Context, sd *side, work order) error {
	if err := sd.connect(ctx); err != nil {
		return err
	}
	defer sd.close()
	return sd.each(func(c *client) error { return c.run(work) })
}

func inUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) + float64(m.StackInuse)
}

// bulk measures throughput and whole requests while the stand-in sends as fast
// as it is read.
func bulk(ctx context.Context, r *bench.Report, s *system, n int, o Options) error {
	pair := s.sides(n)
	work := order{Events: bulkEvents, Bytes: eventBytes}
	var spent [2]time.Duration
	for range o.Rounds {
		for i, sd := range pair {
			took, err := bulkRound(ctx, sd, work, o.Time)
			if err != nil {
				return fmt.Errorf("%s: %w", sd.name, err)
			}
			spent[i] += took
		}
	}
	name := strconv.Itoa(n)
	direct, relayed := pair[0].rate(spent[0]), pair[1].rate(spent[1])
	r.Add(name, "throughput_direct", "events/s", direct)
	r.Add(name, "throughput_relayed", "events/s", relayed)
	r.Add(name, "throughput_ratio", "", relayed/direct)
	starts := [2][2]float64{quantiles(pair[0], startsOf), quantiles(pair[1], startsOf)}
	r.Add(name, "start_direct_median", "us", starts[0][0])
	r.Add(name, "start_added_median", "us", starts[1][0]-starts[0][0])
	r.Add(name, "start_added_p99", "us", starts[1][1]-starts[0][1])
	return nil
}

func bulkRound(ctx context.Context, sd *side, work order, length time.Duration) (time.Duration, error) {
	if err := sd.connect(ctx); err != nil {
		return 0, err
	}
	defer sd.close()
	begun := time.Now()
	err := sd.each(func(c *client) error {
		for time.Since(begun) < length {
			if err := c.run(work); err != nil {
				return err
			}
		}
		return nil
	})
	return time.Since(begun), err
}

func (sd *side) rate(spent time.Duration) float64 {
	events := 0
	for _, c := range sd.clients {
		events += c.events
	}
	return float64(events) / spent.Seconds()
}

func delaysOf(c *client) []time.Duration { return c.delays }
func startsOf(c *client) []time.Duration { return c.starts }

// quantiles returns median and 99th percentile in microseconds.
func quantiles(sd *side, of func(*client) []time.Duration) [2]float64 {
	var all []time.Duration
	for _, c := range sd.clients {
		all = append(all, of(c)...)
	}
	if len(all) == 0 {
		return [2]float64{}
	}
	slices.Sort(all)
	us := func(q int) float64 { return float64(all[len(all)*q/100].Nanoseconds()) / 1e3 }
	return [2]float64{us(50), us(99)}
}
