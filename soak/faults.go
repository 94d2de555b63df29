package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/heatherrail/heatherrail/platform/standin"
)

// Times of faults.
const (
	faultPause = 400 * time.Millisecond // mean, between the beginnings of two
	faultLeast = 200 * time.Millisecond
	faultMost  = 2500 * time.Millisecond
)

// fault begins one fault and waits a moment; faults overlap.
func (s *soak) fault(ctx context.Context) {
	e := s.fleet.entries[s.rng.IntN(len(s.fleet.entries))]
	at := s.rng.IntN(64)
	last := faultLeast + time.Duration(s.rng.Int64N(int64(faultMost-faultLeast)))
	s.faults++
	switch s.rng.IntN(18) {
	case 0:
		s.during("freeze "+e.name, last, func() { e.signal(syscall.SIGSTOP) }, func() { e.signal(syscall.SIGCONT) })
	case 1:
		s.restart(e, syscall.SIGKILL, last/4)
	case 2:
		s.restart(e, syscall.SIGTERM, 0)
	case 3:
		s.note("hang up %s", e.name)
		e.signal(syscall.SIGHUP)
	case 4:
		s.storeFault("store down", last, standin.StoreFaults{Down: true})
	case 5:
		s.storeFault("store slow", last, standin.StoreFaults{Delay: 300 * time.Millisecond})
	case 6:
		s.storeFault("store silent", last, standin.StoreFaults{Hang: true})
	case 7:
		s.note("store forgets its history")
		s.fleet.store.TrimHistory()
	case 8:
		s.proxyFault(e.proxy, e.name+" cut off from the store", last, proxyFaults{Refuse: true, Silent: true})
	case 9:
		s.proxyFault(e.proxy, e.name+" hears nothing from the store", last, proxyFaults{OneWay: true, Delay: 5 * time.Millisecond})
	case 10:
		s.note("reset %s's connections to the store", e.name)
		e.proxy.reset()
	case 11:
		s.targetFault(at, last, standin.TargetFaults{DropAnswer: 0.2, Truncate: 0.2, NotExecuted: 0.2, Fail: 0.1})
	case 12:
		s.note("target %d is replaced", at)
		if err := s.fleet.replaceTarget(at); err != nil {
			s.note("no other target: %v", err)
		}
	case 13:
		s.note("new configuration")
		s.fleet.configure()
	case 14:
		s.proxyFault(s.fleet.proxyOf(at), "target cut off", last, proxyFaults{Refuse: true, Silent: true})
	case 15:
		s.proxyFault(s.fleet.proxyOf(at), "target is not heard", last, proxyFaults{OneWay: true})
	case 16:
		s.proxyFault(s.fleet.proxyOf(at), "target far away", last, proxyFaults{Delay: 40 * time.Millisecond})
	case 17:
		s.note("reset connections to target %d", at)
		s.fleet.proxyOf(at).reset()
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(s.rng.Int64N(int64(2 * faultPause)))):
	}
}

// Times of named rates: long enough for a window of the rule after a rate has settled.
const (
	rateFirst = 500 * time.Millisecond
	ratePause = 2 * time.Second // mean, between two
	rateLeast = rateSettles + rateWindow/2
	rateMost  = 2*rateSettles + rateWindow

	rateSeries      = uint64(2)
	firstRateSeries = 20 // of numbers drawn
)

// nameRates has targets name rates until ctx ends, in a series of its own beside the faults and
// others like it, each of them another rate before it ends.
func (s *soak) nameRates(ctx context.Context, series uint64) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, firstRateSeries+series))
	pause := rateFirst
	for sleep(ctx, pause) {
		at := rng.IntN(64)
		for _, rate := range []float64{1 + 5*rng.Float64(), 0.5 + 2*rng.Float64()} {
			s.note("target %d names a rate of %.1f a second", at, rate)
			s.fleet.nameRate(at, rate)
			if !sleep(ctx, rateLeast+time.Duration(rng.Int64N(int64(rateMost-rateLeast)))) {
				return
			}
		}
		s.note("target %d names no rate", at)
		s.fleet.nameRate(at, 0)
		pause = time.Duration(rng.Int64N(int64(2 * ratePause)))
	}
}

// sleep waits; false if ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// during begins something and ends it after a time.
func (s *soak) during(what string, d time.Duration, begin, end func()) {
	s.note("%s for %s", what, d.Round(time.Millisecond))
	begin()
	time.AfterFunc(d, func() {
		s.note("end of: %s", what)
		end()
	})
}

func (s *soak) storeFault(what string, d time.Duration, f standin.StoreFaults) {
	s.during(what, d, func() { s.fleet.store.SetFaults(f) }, func() { s.fleet.store.SetFaults(standin.StoreFaults{}) })
}

func (s *soak) proxyFault(p *proxy, what string, d time.Duration, f proxyFaults) {
	s.during(what, d, func() { p.set(f) }, func() {
		p.set(proxyFaults{})
		p.reset() // what it swallowed can't be made up for
	})
}

func (s *soak) targetFault(at int, d time.Duration, f standin.TargetFaults) {
	s.during("bad target", d, func() { s.fleet.setTargetFaults(at, f) }, func() { s.fleet.setTargetFaults(at, standin.TargetFaults{}) })
}

// restart ends the process of an entry by a signal and starts it again.
func (s *soak) restart(e *entryProc, sig syscall.Signal, pause time.Duration) {
	s.note("%s to %s", sig, e.name)
	e.signal(syscall.SIGCONT)
	e.signal(sig)
	if !e.restarting.TryLock() {
		return // it is on its way out already
	}
	go func() {
		defer e.restarting.Unlock()
		e.wait()
		time.Sleep(pause)
		if err := s.fleet.start(e); err != nil {
			s.note("%s does not start: %v", e.name, err)
			return
		}
		s.note("%s started again", e.name)
	}()
}
