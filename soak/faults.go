package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/heatherrail/heatherrail/platform/standin"
)

// Durations of injected faults, and the pause between their starts.
const (
	meanFaultPause   = 400 * time.Millisecond // between the starts of two faults
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

// injectFault starts a random fault and then waits for a random pause. A fault may
// outlast the pause, so faults overlap.
func (s *soak) injectFault(ctx context.Context) {
	e := s.fleet.entries[s.rng.IntN(len(s.fleet.entries))]
	target := s.rng.IntN(64)
	duration := minFaultDuration + time.Duration(s.rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
	s.faults++
	switch s.rng.IntN(18) {
	case 0:
		s.injectFor("suspend "+e.name, duration, func() { e.signal(syscall.SIGSTOP) }, func() { e.signal(syscall.SIGCONT) })
	case 1:
		s.restartEntry(e, syscall.SIGKILL, duration/4)
	case 2:
		s.restartEntry(e, syscall.SIGTERM, 0)
	case 3:
		s.logEvent("SIGHUP to %s", e.name)
		e.signal(syscall.SIGHUP)
	case 4:
		s.injectStoreFault("store down", duration, standin.StoreFaults{Down: true})
	case 5:
		s.injectStoreFault("store slow", duration, standin.StoreFaults{Delay: 300 * time.Millisecond})
	case 6:
		s.injectStoreFault("store does not answer", duration, standin.StoreFaults{Hang: true})
	case 7:
		s.logEvent("store trims its history")
		s.fleet.store.TrimHistory()
	case 8:
		s.injectProxyFault(e.proxy, e.name+" cut off from the store", duration, proxyFaults{Refuse: true, Blackhole: true})
	case 9:
		s.injectProxyFault(e.proxy, e.name+" receives nothing from the store", duration, proxyFaults{DropReplies: true, Delay: 5 * time.Millisecond})
	case 10:
		s.logEvent("reset %s's connections to the store", e.name)
		e.proxy.reset()
	case 11:
		s.injectTargetFault(target, duration, standin.TargetFaults{DropResponse: 0.2, Truncate: 0.2, NotExecuted: 0.2, Fail: 0.1})
	case 12:
		s.logEvent("target %d is replaced", target)
		if err := s.fleet.replaceTarget(target); err != nil {
			s.logEvent("replacement target not started: %v", err)
		}
	case 13:
		s.logEvent("new configuration")
		s.fleet.publishConfig()
	case 14:
		s.injectProxyFault(s.fleet.proxyOf(target), "target cut off", duration, proxyFaults{Refuse: true, Blackhole: true})
	case 15:
		s.injectProxyFault(s.fleet.proxyOf(target), "target's responses dropped", duration, proxyFaults{DropReplies: true})
	case 16:
		s.injectProxyFault(s.fleet.proxyOf(target), "target behind a slow link", duration, proxyFaults{Delay: 40 * time.Millisecond})
	case 17:
		s.logEvent("reset connections to target %d", target)
		s.fleet.proxyOf(target).reset()
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(s.rng.Int64N(int64(2 * meanFaultPause)))):
	}
}

// Timing of rate limits. Each limit outlasts rateSettleTime by at least half of
// rateWindow, so that requests after the settling time are checked.
const (
	firstRateDelay  = 500 * time.Millisecond
	meanRatePause   = 2 * time.Second // between the limits of two targets
	minRateDuration = rateSettleTime + rateWindow/2
	maxRateDuration = 2*rateSettleTime + rateWindow

	numRateSeries   = uint64(2)
	firstRateStream = 20 // PCG stream of the first series of rate limits; other random generators use lower streams
)

// injectRateLimits sets rate limits on targets until ctx ends. Each target gets two
// different limits in turn before its limit is removed. Several series run at once,
// independently of the other faults.
func (s *soak) injectRateLimits(ctx context.Context, series uint64) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, firstRateStream+series))
	pause := firstRateDelay
	for sleep(ctx, pause) {
		target := rng.IntN(64)
		for _, rate := range []float64{1 + 5*rng.Float64(), 0.5 + 2*rng.Float64()} {
			s.logEvent("target %d sets a rate limit of %.1f requests/s", target, rate)
			s.fleet.setRateLimit(target, rate)
			if !sleep(ctx, minRateDuration+time.Duration(rng.Int64N(int64(maxRateDuration-minRateDuration)))) {
				return
			}
		}
		s.logEvent("target %d removes its rate limit", target)
		s.fleet.setRateLimit(target, 0)
		pause = time.Duration(rng.Int64N(int64(2 * meanRatePause)))
	}
}

// sleep waits for d and returns true, or returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// injectFor starts a fault and ends it after d.
func (s *soak) injectFor(name string, d time.Duration, start, end func()) {
	s.logEvent("%s for %s", name, d.Round(time.Millisecond))
	start()
	time.AfterFunc(d, func() {
		s.logEvent("end of: %s", name)
		end()
	})
}

func (s *soak) injectStoreFault(name string, d time.Duration, f standin.StoreFaults) {
	s.injectFor(name, d, func() { s.fleet.store.SetFaults(f) }, func() { s.fleet.store.SetFaults(standin.StoreFaults{}) })
}

func (s *soak) injectProxyFault(p *proxy, name string, d time.Duration, f proxyFaults) {
	s.injectFor(name, d, func() { p.setFaults(f) }, func() {
		p.setFaults(proxyFaults{})
		p.reset() // bytes were dropped, so open connections can't continue
	})
}

func (s *soak) injectTargetFault(target int, d time.Duration, f standin.TargetFaults) {
	s.injectFor("target returns faulty answers", d, func() { s.fleet.setTargetFaults(target, f) }, func() { s.fleet.setTargetFaults(target, standin.TargetFaults{}) })
}

// restartEntry stops the process of an entry with a signal and starts it again after
// the process has exited and the pause has passed.
func (s *soak) restartEntry(e *entryProc, sig syscall.Signal, pause time.Duration) {
	s.logEvent("%s to %s", sig, e.name)
	e.signal(syscall.SIGCONT)
	e.signal(sig)
	if !e.restarting.TryLock() {
		return // another restart of this entry is in progress
	}
	go func() {
		defer e.restarting.Unlock()
		e.wait()
		time.Sleep(pause)
		if err := s.fleet.startEntry(e); err != nil {
			s.logEvent("%s failed to start: %v", e.name, err)
			return
		}
		s.logEvent("%s restarted", e.name)
	}()
}
