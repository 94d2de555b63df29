package agent

import (
	"context"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

const (
	// failureBatchWindow is how long the agent waits for other requests to fail after one
	// has lost its engine.
	failureBatchWindow = 50 * time.Millisecond
	// crashRefusalPeriod is how long the agent refuses a request that crashed its engine
	// while it ran alone.
	crashRefusalPeriod     = 5 * time.Minute
	maxRefusedFingerprints = 1024
)

// crashDetector tracks the requests on the engine. After a crash it reports the requests
// that may have caused it, the suspects, and it runs suspects alone.
type crashDetector struct {
	agent *Agent
	slot  chan struct{} // held by the crash suspect that runs alone

	mu           sync.Mutex
	running      map[*engineRequest]bool
	isolated     bool          // a suspect runs alone, or waits until it can
	noneRunning  chan struct{} // signalled when no request runs on the engine
	failures     *failureBatch
	refusedUntil map[uint64]time.Time
	seq          uint64
	reports      []crashReport // the latest maxCrashReports
}

// crashReport is a crash kept for entries that connect after it: an entry that does not
// know the suspects would retry them on another target.
type crashReport struct {
	note wire.Crash
	at   time.Time
}

// maxCrashReports bounds the crash reports that a newly connected entry receives.
const maxCrashReports = 16

// engineRequest is one request on the engine.
type engineRequest struct {
	detector    *crashDetector
	fingerprint uint64
	suspect     bool
	lostEngine  bool
}

// failureBatch is the set of requests that ran when one of them lost its engine.
type failureBatch struct {
	members []*engineRequest
	done    chan struct{}
}

func newCrashDetector(a *Agent) *crashDetector {
	return &crashDetector{
		agent:        a,
		slot:         make(chan struct{}, 1),
		running:      make(map[*engineRequest]bool),
		noneRunning:  make(chan struct{}, 1),
		refusedUntil: make(map[uint64]time.Time),
	}
}

// start registers a request as running. A suspect waits until it is alone on the engine.
// Meanwhile other requests are refused, as they would become suspects too.
func (d *crashDetector) start(ctx context.Context, req *wire.Request) (*engineRequest, error) {
	run := &engineRequest{detector: d, fingerprint: req.Fingerprint, suspect: req.Suspect}
	if req.Suspect {
		return run, d.startAlone(ctx, req, run)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isolated {
		return nil, result.New(result.TargetIsolated, "%s is running a crash suspect alone", d.agent.opts.Settings.Target)
	}
	d.running[run] = true
	return run, nil
}

func (d *crashDetector) startAlone(ctx context.Context, req *wire.Request, run *engineRequest) error {
	ctx, cancel := context.WithTimeoutCause(ctx, time.Duration(req.DeadlineMs)*time.Millisecond/2,
		result.New(result.SuspectHeld, "other requests are running on %s", d.agent.opts.Settings.Target))
	defer cancel()
	select {
	case d.slot <- struct{}{}:
	case <-ctx.Done():
		return notRunError(ctx)
	}
	d.mu.Lock()
	d.isolated = true
	d.mu.Unlock()
	for {
		d.mu.Lock()
		refused := time.Now().Before(d.refusedUntil[run.fingerprint])
		alone := len(d.running) == 0
		if alone && !refused {
			d.running[run] = true
		}
		d.mu.Unlock()
		if refused {
			d.releaseSlot()
			return result.New(result.CrashSuspect, "request crashed %s before", d.agent.opts.Settings.Target)
		}
		if alone {
			return nil
		}
		select {
		case <-d.noneRunning:
		case <-ctx.Done():
			d.releaseSlot()
			return notRunError(ctx)
		}
	}
}

// notRunError converts the end of a wait into a result that says that the request did not
// run.
func notRunError(ctx context.Context) error {
	e := result.From(context.Cause(ctx))
	if e.Run() == result.RunNot {
		return e
	}
	return result.New(result.SuspectHeld, "suspect did not get to run alone: %w", e)
}

func (d *crashDetector) releaseSlot() {
	d.mu.Lock()
	d.isolated = false
	d.mu.Unlock()
	<-d.slot
}

// finish removes the request from the running requests.
func (r *engineRequest) finish() {
	d := r.detector
	d.mu.Lock()
	delete(d.running, r)
	idle := len(d.running) == 0
	d.mu.Unlock()
	if r.suspect {
		d.releaseSlot()
	}
	if idle {
		select {
		case d.noneRunning <- struct{}{}:
		default:
		}
	}
}

// recordEngineLoss records that the request lost its engine, and returns once it is known
// whether the engine crashed. The crash report is sent before the failed answers are,
// because an entry needs the suspects when it decides about a retry.
func (r *engineRequest) recordEngineLoss() {
	d := r.detector
	d.mu.Lock()
	r.lostEngine = true
	g := d.failures
	if g == nil {
		g = &failureBatch{done: make(chan struct{})}
		for member := range d.running {
			g.members = append(g.members, member)
		}
		d.failures = g
		time.AfterFunc(failureBatchWindow, func() { d.evaluate(g) })
	}
	d.mu.Unlock()
	<-g.done
}

// evaluate decides whether the engine crashed. A batch of failures counts as a crash if at
// least half of the running requests were lost within failureBatchWindow.
func (d *crashDetector) evaluate(g *failureBatch) {
	defer close(g.done)
	d.mu.Lock()
	d.failures = nil
	d.seq++
	note := wire.Crash{ID: d.agent.opts.Incarnation<<16 ^ d.seq, Target: d.agent.opts.Settings.Target}
	for _, member := range g.members {
		if member.lostEngine {
			note.Suspects = append(note.Suspects, member.fingerprint)
		}
	}
	crashed := 2*len(note.Suspects) >= len(g.members)
	if crashed && len(g.members) == 1 && g.members[0].suspect {
		note.Alone = true
		d.refuseFingerprint(g.members[0].fingerprint)
	}
	if crashed {
		d.reports = append(d.reports[max(0, len(d.reports)-maxCrashReports+1):], crashReport{note: note, at: time.Now()})
	}
	d.mu.Unlock()
	if !crashed {
		return
	}
	d.agent.health.recordDown()
	d.agent.opts.Metrics.Count("engine_crashes_total", 1)
	d.agent.log.Info("engine crashed", "suspects", len(note.Suspects), "alone", note.Alone)
	for _, c := range d.agent.conns() {
		_ = c.SendNote(wire.NoteCrash, &note) // an entry that has lost its connection has no request on this target
	}
}

// replayReports sends the crashes of the last crashRefusalPeriod to an entry that has just
// connected.
func (d *crashDetector) replayReports(c *wire.Conn) {
	d.mu.Lock()
	reports := d.reports
	d.mu.Unlock()
	for _, r := range reports {
		age := time.Since(r.at)
		if age > crashRefusalPeriod {
			continue
		}
		r.note.AgeMs = max(age.Milliseconds(), 1)
		_ = c.SendNote(wire.NoteCrash, &r.note) // on a lost connection there is no receiver
	}
}

// refuseFingerprint refuses requests with a fingerprint for crashRefusalPeriod; mu is
// held.
func (d *crashDetector) refuseFingerprint(fingerprint uint64) {
	now := time.Now()
	for f, until := range d.refusedUntil {
		if now.After(until) || len(d.refusedUntil) >= maxRefusedFingerprints {
			delete(d.refusedUntil, f)
		}
	}
	d.refusedUntil[fingerprint] = now.Add(crashRefusalPeriod)
}
