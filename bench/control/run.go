package control

import (
	"context"
	"runtime"
	"runtime/metrics"
	"slices"
	"syscall"
	"time"

	"github.com/heatherrail/heatherrail/bench"
	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/control"
)

// Options of the bench.
type Options struct {
	Seed    uint64
	Nodes   []int // in data centres of eight
	Centre  []int // in one data centre
	Teams   []int
	Targets []int
	Window  time.Duration // of each measurement
}

// Sizes of what is held still while another size grows.
const (
	nodesInCentre = 8
	baseTeams     = 1000
	baseTargets   = 100
	comingGroups  = 34
	changesADay   = 920
	secondsADay   = 86400
)

// Run measures each case and the slopes between them.
func Run(ctx context.Context, o Options) (*bench.Report, error) {
	r := bench.NewReport("control", o.Seed)
	for _, n := range o.Nodes {
		s := shape{nodes: n, centres: max(1, n/nodesInCentre), teams: baseTeams, targets: baseTargets, owned: comingGroups}
		if err := measure(ctx, r, s, o.Window); err != nil {
			return nil, err
		}
	}
	for _, n := range o.Centre {
		s := shape{nodes: n, centres: 1, teams: baseTeams, targets: baseTargets, owned: comingGroups}
		if err := measure(ctx, r, s, o.Window); err != nil {
			return nil, err
		}
	}
	for _, teams := range o.Teams {
		s := shape{nodes: nodesInCentre, centres: 1, teams: teams, targets: baseTargets, owned: comingGroups}
		if err := measure(ctx, r, s, o.Window); err != nil {
			return nil, err
		}
	}
	for _, targets := range o.Targets {
		s := shape{nodes: nodesInCentre, centres: 1, teams: baseTeams, targets: targets, owned: comingGroups}
		if err := measure(ctx, r, s, o.Window); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// usage is what the process and the fleet have used so far.
type usage struct {
	at      time.Time
	cpu     time.Duration
	traffic []int64 // by node
	logs    int64
	appends int
}

func (f *fleet) usage() usage {
	var ru syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &ru) // never fails for this process
	u := usage{
		at:      time.Now(),
		cpu:     time.Duration(ru.Utime.Nano() + ru.Stime.Nano()),
		logs:    f.logs.Load(),
		appends: f.log.Appends() - int(f.foreign.Load()),
	}
	for _, t := range f.traffic {
		u.traffic = append(u.traffic, t.Load())
	}
	return u
}

func measure(ctx context.Context, r *bench.Report, s shape, window time.Duration) error {
	before := liveHeap()
	f, err := startFleet(s)
	if err != nil {
		return err
	}
	defer f.close()
	version, _, err := f.change(ctx)
	if err != nil {
		return err
	}
	if _, err := f.awaitInForce(version); err != nil {
		return err
	}
	for i, owner := range f.owners() {
		f.nodes[owner].Want(resourceName(i))
	}
	time.Sleep(window / 2) // claims settle
	name := s.String()
	quiet := rates(f, func() { time.Sleep(max(window, renewEvery)) }) // renewals come in bursts
	quiet.add(r, name, s)
	var took []time.Duration
	busy := rates(f, func() { took, err = f.changes(ctx, window) })
	if err != nil {
		return err
	}
	own := f.ownCost()
	addChanges(r, name, took, quiet, busy, own, s.nodes)
	heap := liveHeap() - before - own.heap
	r.Add(name, "live heap a node", "MB", float64(heap)/float64(s.nodes)/(1<<20))
	peak, err := f.peakHeap(ctx)
	if err != nil {
		return err
	}
	r.Add(name, "heap with garbage during changes, a node", "MB", float64(peak-before-own.heap)/float64(s.nodes)/(1<<20))
	return nil
}

// peakHeap makes some changes and returns the most that the heap held meanwhile.
func (f *fleet) peakHeap(ctx context.Context) (int64, error) {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	done := make(chan struct{})
	peak := make(chan int64)
	go func() {
		var most int64
		for {
			metrics.Read(sample)
			most = max(most, int64(sample[0].Value.Uint64()))
			select {
			case <-time.After(time.Millisecond):
			case <-done:
				peak <- most
				return
			}
		}
	}()
	_, err := f.changes(ctx, time.Second)
	close(done)
	return <-peak, err
}

// rate is what was used a second; traffic is that of the mean and of the busiest node.
type rate struct {
	seconds, cpu, mean, busiest, logs, appends float64
}

func rates(f *fleet, work func()) rate {
	a := f.usage()
	work()
	b := f.usage()
	s := b.at.Sub(a.at).Seconds()
	r := rate{
		seconds: s,
		cpu:     (b.cpu - a.cpu).Seconds() / s,
		logs:    float64(b.logs-a.logs) / s,
		appends: float64(b.appends-a.appends) / s,
	}
	for i := range b.traffic {
		bytes := float64(b.traffic[i]-a.traffic[i]) / s
		r.mean += bytes / float64(len(b.traffic))
		r.busiest = max(r.busiest, bytes)
	}
	return r
}

func (q rate) add(r *bench.Report, name string, s shape) {
	r.Add(name, "quiet: processor a node", "% of a core", 100*q.cpu/float64(s.nodes))
	r.Add(name, "quiet: peers, mean node", "B/s", q.mean)
	r.Add(name, "quiet: peers, busiest node", "B/s", q.busiest)
	r.Add(name, "quiet: log, each node that reads it", "B/s", q.logs/float64(min(s.nodes, s.centres*control.Tailers)))
	r.Add(name, "quiet: appends for leases", "1/s", q.appends)
}

// changes applies small changes one after another for a while and returns how long
// each took until it was in force at all nodes.
func (f *fleet) changes(ctx context.Context, window time.Duration) ([]time.Duration, error) {
	var took []time.Duration
	for end := time.Now().Add(window); time.Now().Before(end); time.Sleep(window / 20) {
		version, at, err := f.change(ctx)
		if err != nil {
			return nil, err
		}
		last, err := f.awaitInForce(version)
		if err != nil {
			return nil, err
		}
		took = append(took, last.Sub(at))
	}
	return took, nil
}

// own is what the bench itself, as the operator, spends on one change.
type own struct {
	cpu  time.Duration
	heap int64
}

// ownCost makes one change without any node and returns what it cost.
func (f *fleet) ownCost() own {
	before := f.usage()
	const rounds = 5
	next := *f.config
	next.Teams = append([]config.Team(nil), f.config.Teams...)
	for i := range rounds {
		next.Teams[i%len(next.Teams)].Weight++
		_ = config.Digest(&next)
		_ = config.NewDelta(f.config, &next)
	}
	cost := own{cpu: (f.usage().cpu - before.cpu) / rounds}
	with := liveHeap()
	held := f.config
	f.config = nil
	cost.heap = with - liveHeap()
	f.config = held
	runtime.KeepAlive(held)
	return cost
}

func addChanges(r *bench.Report, name string, took []time.Duration, quiet, busy rate, cost own, nodes int) {
	if len(took) == 0 {
		return
	}
	slices.Sort(took)
	n, count := float64(nodes), float64(len(took))
	r.Add(name, "in force at all nodes, median", "ms", ms(took[len(took)/2]))
	r.Add(name, "in force at all nodes, longest", "ms", ms(took[len(took)-1]))
	r.Add(name, "changes measured", "", count)
	cpu := max(0, (busy.cpu-quiet.cpu)*busy.seconds/count-cost.cpu.Seconds()) / n
	bytes := max(0, (busy.busiest-quiet.busiest)*busy.seconds/count)
	r.Add(name, "a change: processor a node", "ms", 1000*cpu)
	r.Add(name, "a change: peers, busiest node", "B", bytes)
	perSecond := float64(changesADay) / secondsADay
	r.Add(name, "at 920 changes a day: processor a node", "% of a core", 100*(quiet.cpu/n+cpu*perSecond))
	r.Add(name, "at 920 changes a day: peers, busiest node", "B/s", quiet.busiest+bytes*perSecond)
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// liveHeap returns the bytes that are still reachable.
func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
