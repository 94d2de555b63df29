package entry

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/internal/safeguard"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/wire"
)

// outcomes is what an entry remembers of how requests ended.
type outcomes struct {
	book      *book
	presentAt atomic.Uint64 // log offset after the first presence record
	foldedTo  atomic.Uint64 // log offset up to which versions are known here

	mu         sync.Mutex
	agents     map[string]agentSeen          // newest agent known of each target
	budgets    map[string]*route.RetryBudget // by service
	ejector    *route.Ejector[string]
	quarantine *route.Quarantine
	off        safeguard.Off
}

func newOutcomes(o *Options) *outcomes {
	return &outcomes{
		book:       newBook(o.Off),
		agents:     make(map[string]agentSeen),
		budgets:    make(map[string]*route.RetryBudget),
		ejector:    route.NewEjector[string](),
		quarantine: route.NewQuarantine(),
		off:        o.Off,
	}
}

// agentSeen is the newest agent of a target that the entry knows of.
type agentSeen struct {
	incarnation uint64
	at          time.Time
}

// agentMemory is how long an older agent of a target is refused. It exceeds every
// dedup window's remainder that such an agent could still serve.
const agentMemory = 24 * time.Hour

// supersede books an agent of a target. It returns false if a newer one is known:
// the older one must get nothing more.
func (o *outcomes) supersede(target string, incarnation uint64, at time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := o.agents[target]
	if o.off.Supersede {
		return true
	}
	if incarnation < seen.incarnation && time.Since(seen.at) < agentMemory {
		return false
	}
	o.agents[target] = agentSeen{incarnation: incarnation, at: at}
	return true
}

func (o *outcomes) budget(service string) *route.RetryBudget {
	b := o.budgets[service]
	if b == nil {
		b = new(route.RetryBudget)
		o.budgets[service] = b
	}
	return b
}

// request books a caller's request in the service's retry budget.
func (o *outcomes) request(service string, share float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.budget(service).RecordRequest(share)
}

func (o *outcomes) takeRetry(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.budget(service).TakeRetry()
}

// ended books the end of a try in the target's health.
func (o *outcomes) ended(target string, err error) {
	fault := err != nil && route.IsTargetFault(result.From(err).Code)
	if err != nil && !fault {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ejector.RecordResult(target, !fault, time.Now())
}

// keepOut adds the ejected targets to those that one request avoids.
func (o *outcomes) keepOut(declared []config.Target, avoid map[string]bool) map[string]bool {
	o.mu.Lock()
	skip := o.ejector.Excluded(targetNames(declared), time.Now(), rand.Float64)
	o.mu.Unlock()
	for name := range avoid {
		skip[name] = true
	}
	return skip
}

func (o *outcomes) judge(fingerprint uint64) (route.QuarantineAction, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	verdict, until := o.quarantine.Check(fingerprint, now)
	return verdict, until.Sub(now)
}

func (o *outcomes) clear(fingerprint uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.quarantine.Clear(fingerprint)
}

// serveCrash takes an agent's report of a crashed engine.
func (e *Entry) serveCrash(payload []byte) {
	var c wire.Crash
	if _, err := c.UnmarshalMsg(payload); err != nil {
		e.log.Error(err, "bad crash report")
		return
	}
	e.out.mu.Lock()
	now := time.Now()
	age := time.Duration(c.AgeMs) * time.Millisecond
	refused := e.out.quarantine.RecordCrash(c.ID, c.Alone, c.Suspects, now.Add(-age), now)
	if age == 0 {
		e.out.ejector.Eject(c.Target, now)
	}
	e.out.mu.Unlock()
	e.opts.Metrics.Count("quarantine_suspects_total", int64(len(c.Suspects)))
	e.opts.Metrics.Count("quarantine_refused_total", int64(refused))
	e.log.Info("target crashed", "target", c.Target, "suspects", len(c.Suspects), "refused", refused)
}
