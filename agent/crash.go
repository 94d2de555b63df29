package agent

import (
	"context"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

const (
	// crashGather is how long the agent waits for the other requests to fail when
	// one has lost its engine.
	crashGather = 50 * time.Millisecond
	// crashRefuse is how long the agent itself refuses a request that crashed its
	// engine alone.
	crashRefuse = 5 * time.Minute
	crashLimit  = 1024
)

// crashWatch knows what is running on the engine, so that the agent can say
// after a crash what may have caused it, and runs suspects alone.
type crashWatch struct {
	agent *Agent
	slot  chan struct{} // held by the suspect that runs

	mu       sync.Mutex
	running  map[*crashRun]bool
	isolated bool
	empty    chan struct{} // signalled when nothing runs
	gather   *crashGathering
	refused  map[uint64]time.Time
	seq      uint64
	reports  []crashReport // the latest ones
}

// crashReport is kept for entries that come after the crash: one that does not
// know the suspects would send them to another target.
type crashReport struct {
	note wire.Crash
	at   time.Time
}

// reportsKept bounds the crash reports that an entry gets with its link.
const reportsKept = 16

// crashRun is one request on the engine.
type crashRun struct {
	watch       *crashWatch
	fingerprint uint64
	suspect     bool
	lost        bool
}

// crashGathering collects the requests that fail together.
type crashGathering struct {
	members []*crashRun
	done    chan struct{}
}

func newCrashWatch(a *Agent) *crashWatch {
	return &crashWatch{
		agent:   a,
		slot:    make(chan struct{}, 1),
		running: make(map[*crashRun]bool),
		empty:   make(chan struct{}, 1),
		refused: make(map[uint64]time.Time),
	}
}

// begin books a request as running. A suspect waits until it is alone; while it
// is, others are refused, as they would become suspects too.
func (w *crashWatch) begin(ctx context.Context, req *wire.Request) (*crashRun, error) {
	run := &crashRun{watch: w, fingerprint: req.Fingerprint, suspect: req.Suspect}
	if req.Suspect {
		return run, w.beginAlone(ctx, req, run)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isolated {
		return nil, result.New(result.TargetIsolated, "a suspected request runs alone on %s", w.agent.opts.Settings.Target)
	}
	w.running[run] = true
	return run, nil
}

func (w *crashWatch) beginAlone(ctx context.Context, req *wire.Request, run *crashRun) error {
	ctx, cancel := context.WithTimeoutCause(ctx, time.Duration(req.DeadlineMs)*time.Millisecond/2,
		result.New(result.SuspectHeld, "other requests run on %s", w.agent.opts.Settings.Target))
	defer cancel()
	select {
	case w.slot <- struct{}{}:
	case <-ctx.Done():
		return notRun(ctx)
	}
	w.mu.Lock()
	w.isolated = true
	w.mu.Unlock()
	for {
		w.mu.Lock()
		refused := time.Now().Before(w.refused[run.fingerprint])
		alone := len(w.running) == 0
		if alone && !refused {
			w.running[run] = true
		}
		w.mu.Unlock()
		if refused {
			w.release()
			return result.New(result.CrashSuspect, "it crashed %s", w.agent.opts.Settings.Target)
		}
		if alone {
			return nil
		}
		select {
		case <-w.empty:
		case <-ctx.Done():
			w.release()
			return notRun(ctx)
		}
	}
}

// notRun turns the end of a wait into a result that says "not run".
func notRun(ctx context.Context) error {
	e := result.From(context.Cause(ctx))
	if e.Run() == result.RunNot {
		return e
	}
	return result.New(result.SuspectHeld, "gave up waiting to run alone: %w", e)
}

func (w *crashWatch) release() {
	w.mu.Lock()
	w.isolated = false
	w.mu.Unlock()
	<-w.slot
}

// end books that the request is over.
func (r *crashRun) end() {
	w := r.watch
	w.mu.Lock()
	delete(w.running, r)
	idle := len(w.running) == 0
	w.mu.Unlock()
	if r.suspect {
		w.release()
	}
	if idle {
		select {
		case w.empty <- struct{}{}:
		default:
		}
	}
}

// engineLost books that the request lost its engine, and returns when it is
// known whether that was a crash. The report goes out before the failed answers
// do: an entry must know its suspects when it decides about a retry.
func (r *crashRun) engineLost() {
	w := r.watch
	w.mu.Lock()
	r.lost = true
	g := w.gather
	if g == nil {
		g = &crashGathering{done: make(chan struct{})}
		for member := range w.running {
			g.members = append(g.members, member)
		}
		w.gather = g
		time.AfterFunc(crashGather, func() { w.settle(g) })
	}
	w.mu.Unlock()
	<-g.done
}

// settle decides whether a gathering was a crash of the engine: at least half of
// what ran was lost at once.
func (w *crashWatch) settle(g *crashGathering) {
	defer close(g.done)
	w.mu.Lock()
	w.gather = nil
	w.seq++
	note := wire.Crash{ID: w.agent.opts.Incarnation<<16 ^ w.seq, Target: w.agent.opts.Settings.Target}
	for _, member := range g.members {
		if member.lost {
			note.Suspects = append(note.Suspects, member.fingerprint)
		}
	}
	crashed := 2*len(note.Suspects) >= len(g.members)
	if crashed && len(g.members) == 1 && g.members[0].suspect {
		note.Alone = true
		w.refuse(g.members[0].fingerprint)
	}
	if crashed {
		w.reports = append(w.reports[max(0, len(w.reports)-reportsKept+1):], crashReport{note: note, at: time.Now()})
	}
	w.mu.Unlock()
	if !crashed {
		return
	}
	w.agent.health.lost()
	w.agent.opts.Metrics.Count("engine_crashes_total", 1)
	w.agent.log.Info("engine crashed", "suspects", len(note.Suspects), "alone", note.Alone)
	for _, c := range w.agent.conns() {
		_ = c.SendNote(wire.NoteCrash, &note) // an entry without a link has no request here
	}
}

// tell repeats the crashes of the last minutes to an entry that has just come.
func (w *crashWatch) tell(c *wire.Conn) {
	w.mu.Lock()
	reports := w.reports
	w.mu.Unlock()
	for _, r := range reports {
		age := time.Since(r.at)
		if age > crashRefuse {
			continue
		}
		r.note.AgeMs = max(age.Milliseconds(), 1)
		_ = c.SendNote(wire.NoteCrash, &r.note) // a lost entry needs none
	}
}

func (w *crashWatch) refuse(fingerprint uint64) {
	now := time.Now()
	for f, until := range w.refused {
		if now.After(until) || len(w.refused) >= crashLimit {
			delete(w.refused, f)
		}
	}
	w.refused[fingerprint] = now.Add(crashRefuse)
}
