package soak

import (
	"context"
	"fmt"
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
	switch s.rng.IntN(20) {
	case 0:
		ended := s.disturbances.begin(e.address(portCallers))
		s.injectFor("suspend "+e.name, duration, func() { e.signal(syscall.SIGSTOP) }, func() {
			e.signal(syscall.SIGCONT)
			ended()
		})
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
		s.injectStoreProxyFault(e, " cut off from the store", duration, proxyFaults{Refuse: true, Blackhole: true})
	case 9:
		s.injectStoreProxyFault(e, " receives nothing from the store", duration, proxyFaults{DropReplies: true, Delay: 5 * time.Millisecond})
	case 10:
		s.logEvent("reset %s's connections to the store", e.name)
		s.disturbStore(e.proxy, 0)
		e.proxy.reset()
	case 11:
		s.injectTargetFault(target, duration, standin.TargetFaults{DropResponse: 0.2, Truncate: 0.2, NotExecuted: 0.2, Fail: 0.1})
	case 12:
		announceAfter := time.Duration(s.rng.Int64N(int64(maxAnnounceDelay)))
		s.logEvent("target %d is replaced; its record says so after %s", target, announceAfter.Round(time.Millisecond))
		if err := s.fleet.replaceTarget(target, announceAfter); err != nil {
			s.logEvent("replacement target not started: %v", err)
		}
	case 13:
		s.logEvent("new configuration")
		s.fleet.publishConfig()
	case 14:
		s.injectTargetProxyFault(target, "target cut off", duration, proxyFaults{Refuse: true, Blackhole: true})
	case 15:
		s.injectTargetProxyFault(target, "target's responses dropped", duration, proxyFaults{DropReplies: true})
	case 16:
		s.injectTargetProxyFault(target, "target behind a slow link", duration, proxyFaults{Delay: 40 * time.Millisecond})
	case 17:
		s.logEvent("reset connections to target %d", target)
		p := s.fleet.proxyOf(target)
		s.disturbances.begin(p)()
		p.reset()
	case 18, 19:
		s.injectRestore(duration)
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

	numStatementSeries = uint64(2)
	firstRateStream    = 20 // PCG stream of the first series of rate limits; other random generators use lower streams
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

// Timing of rests. A target that asks for rest rejects all requests for a time of its own, which may
// be shorter or longer than the rest.
const (
	meanRestPause    = 2 * time.Second // between the rests of two targets
	minRest          = time.Second
	maxRest          = 4 * time.Second
	maxRestRejecting = 3 * time.Second
	firstRestStream  = 30 // PCG stream of the first series of rests
)

// injectRests makes targets ask for rest until ctx ends. Several series run at once, so that now and
// then all targets of a service rest.
func (s *soak) injectRests(ctx context.Context, series uint64) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, firstRestStream+series))
	for sleep(ctx, time.Duration(rng.Int64N(int64(2*meanRestPause)))) {
		target := s.fleet.target(rng.IntN(64))
		rest := minRest + time.Duration(rng.Int64N(int64(maxRest-minRest)))
		s.logEvent("%s asks for %s of rest", target.ID, rest.Round(time.Millisecond))
		target.SetRest(rest)
		sleep(ctx, time.Duration(rng.Int64N(int64(maxRestRejecting))))
		s.logEvent("%s takes requests again", target.ID)
		target.SetRest(0)
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

// Parameters of restores of the store.
const (
	maxCopyAge      = 8 * time.Second
	maxRewriteDelay = 1500 * time.Millisecond // until the operator has written its lost records again
)

// injectRestore takes the store away for a moment and brings it back from a copy some seconds old.
func (s *soak) injectRestore(outage time.Duration) {
	outage /= 4
	age, rewriteAfter := time.Duration(s.rng.Int64N(int64(maxCopyAge))), time.Duration(s.rng.Int64N(int64(maxRewriteDelay)))
	s.disturbStore(s.fleet.store, outage+rewriteAfter)
	s.injectFor(fmt.Sprintf("store away, comes back from a copy %s old", age.Round(time.Millisecond)), outage,
		func() { s.fleet.store.SetFaults(standin.StoreFaults{Down: true}) },
		func() {
			rewrite := s.fleet.restoreStore(age)
			s.fleet.store.SetFaults(standin.StoreFaults{})
			time.AfterFunc(rewriteAfter, rewrite)
		})
}

// storeStabilityTime is the time after a disturbance of the store, or of the connection to it, in
// which configurations may be in force late. Source: the platform's rule.
const storeStabilityTime = 3 * time.Second

// disturbStore records a disturbance of the store or of an entry's connection to it.
func (s *soak) disturbStore(subject any, d time.Duration) {
	time.AfterFunc(d+storeStabilityTime, s.disturbances.begin(subject))
}

// injectStoreProxyFault injects a fault between an entry and the store.
func (s *soak) injectStoreProxyFault(e *entryProc, name string, d time.Duration, f proxyFaults) {
	s.disturbStore(e.proxy, d)
	s.injectProxyFault(e.proxy, e.name+name, d, f)
}

func (s *soak) injectStoreFault(name string, d time.Duration, f standin.StoreFaults) {
	s.disturbStore(s.fleet.store, d)
	s.injectFor(name, d, func() { s.fleet.store.SetFaults(f) }, func() { s.fleet.store.SetFaults(standin.StoreFaults{}) })
}

func (s *soak) injectProxyFault(p *proxy, name string, d time.Duration, f proxyFaults) {
	s.injectFor(name, d, func() { p.setFaults(f) }, func() {
		p.setFaults(proxyFaults{})
		p.reset() // bytes were dropped, so open connections can't continue
	})
}

// injectTargetProxyFault injects a fault between the entries and a target.
func (s *soak) injectTargetProxyFault(target int, name string, d time.Duration, f proxyFaults) {
	p := s.fleet.proxyOf(target)
	ended := s.disturbances.begin(p)
	s.injectProxyFault(p, name, d, f)
	time.AfterFunc(d, ended)
}

func (s *soak) injectTargetFault(target int, d time.Duration, f standin.TargetFaults) {
	s.injectFor("target returns faulty answers", d, func() { s.fleet.setTargetFaults(target, f) }, func() { s.fleet.setTargetFaults(target, standin.TargetFaults{}) })
}

// restartEntry stops the process of an entry with a signal and starts it again after
// the process has exited and the pause has passed.
func (s *soak) restartEntry(e *entryProc, sig syscall.Signal, pause time.Duration) {
	s.logEvent("%s to %s", sig, e.name)
	ended := s.disturbances.begin(e.address(portCallers))
	e.signal(syscall.SIGCONT)
	e.signal(sig)
	if !e.restarting.TryLock() {
		ended()
		return // another restart of this entry is in progress
	}
	go func() {
		defer e.restarting.Unlock()
		defer ended()
		e.wait()
		time.Sleep(pause)
		if err := s.fleet.startEntry(e); err != nil {
			s.logEvent("%s failed to start: %v", e.name, err)
			return
		}
		s.logEvent("%s restarted", e.name)
	}()
}
