package entry

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/control"
	"github.com/heatherrail/heatherrail/internal/safeguard"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/wire"
)

// requestOutcomes holds the results of earlier requests that affect later ones: the dispatch
// log, retry budgets, ejection, quarantine and the newest agent incarnations.
type requestOutcomes struct {
	dispatchLog *dispatchLog
	registered  atomic.Pointer[registration] // nil before the first presence record is written
	folded      atomic.Pointer[foldedLog]
	logLost     chan struct{} // signalled when the log may have lost the presence record

	mu           sync.Mutex
	newestAgents map[string]seenAgent          // newest agent seen for each target, by target
	retryBudgets map[string]*route.RetryBudget // retry budgets, by service
	ejector      *route.Ejector[string]
	quarantine   *route.Quarantine
	off          safeguard.Off
}

func newRequestOutcomes(o *Options) *requestOutcomes {
	outcomes := &requestOutcomes{
		dispatchLog:  newDispatchLog(o.Off),
		logLost:      make(chan struct{}, 1),
		newestAgents: make(map[string]seenAgent),
		retryBudgets: make(map[string]*route.RetryBudget),
		ejector:      route.NewEjector[string](),
		quarantine:   route.NewQuarantine(route.QuarantinePolicy{AloneAfter: 1, AloneFor: suspectAloneTime}),
		off:          o.Off,
	}
	outcomes.folded.Store(new(foldedLog))
	return outcomes
}

// suspectAloneTime is how long after its latest crash a suspect runs alone on its target.
const suspectAloneTime = time.Minute

// seenAgent is the newest agent of a target that the entry knows of.
type seenAgent struct {
	incarnation uint64
	firstSeenAt time.Time
	seenAt      time.Time
}

// registration is the place of an entry's presence record on the log.
type registration struct {
	offset uint64 // offset after the record
	losses int    // losses of the log that were known when the record was written
}

// foldedLog is the part of the log of which this entry knows the configuration versions.
type foldedLog struct {
	next   uint64 // offset after it
	losses control.LogLosses
}

// supersededAgentTTL is how long an older agent of a target is rejected. It exceeds the rest of
// any deduplication window that such an agent could still serve.
const supersededAgentTTL = 24 * time.Hour

// acceptAgent records an agent of a target. It returns false if a newer agent of the target is
// known: the older agent must get no more requests.
func (o *requestOutcomes) acceptAgent(target string, incarnation uint64, seenAt time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := o.newestAgents[target]
	if o.off.Supersede {
		return true
	}
	if incarnation < seen.incarnation && time.Since(seen.seenAt) < supersededAgentTTL {
		return false
	}
	first := seenAt
	if incarnation == seen.incarnation {
		first = seen.firstSeenAt
	}
	o.newestAgents[target] = seenAgent{incarnation: incarnation, firstSeenAt: first, seenAt: seenAt}
	return true
}

// agentsSince returns the newest agents that this entry has known since a time or later, by target.
func (o *requestOutcomes) agentsSince(since time.Time) map[string]seenAgent {
	o.mu.Lock()
	defer o.mu.Unlock()
	agents := make(map[string]seenAgent)
	for target, seen := range o.newestAgents {
		if !seen.firstSeenAt.Before(since) {
			agents[target] = seen
		}
	}
	return agents
}

// retryBudget returns the retry budget of a service. The caller holds mu.
func (o *requestOutcomes) retryBudget(service string) *route.RetryBudget {
	b := o.retryBudgets[service]
	if b == nil {
		b = new(route.RetryBudget)
		o.retryBudgets[service] = b
	}
	return b
}

// recordRequest adds a caller's request to the retry budget of its service. share is the
// number of retries that one request allows.
func (o *requestOutcomes) recordRequest(service string, share float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.retryBudget(service).RecordRequest(share)
}

// takeRetry takes a retry from the budget of a service. It returns false if none is left.
func (o *requestOutcomes) takeRetry(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.retryBudget(service).TakeRetry()
}

// recordResult records the result of an attempt for ejection. Errors that are not the fault of
// the target are ignored.
func (o *requestOutcomes) recordResult(target string, err error) {
	isTargetFault := err != nil && route.IsTargetFault(result.From(err).Code)
	if err != nil && !isTargetFault {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ejector.RecordResult(target, !isTargetFault, time.Now())
}

// excludedTargets returns the ejected targets and those that the request avoids.
func (o *requestOutcomes) excludedTargets(declared []config.Target, avoid map[string]bool) map[string]bool {
	o.mu.Lock()
	excluded := o.ejector.Excluded(targetNames(declared), time.Now(), rand.Float64)
	o.mu.Unlock()
	for name := range avoid {
		excluded[name] = true
	}
	return excluded
}

// checkQuarantine returns the quarantine action for a request with this fingerprint, and the
// time for which the action still holds.
func (o *requestOutcomes) checkQuarantine(fingerprint uint64) (route.QuarantineAction, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.off.Quarantine {
		return route.QuarantineAllow, 0
	}
	now := time.Now()
	action, until := o.quarantine.Check(fingerprint, now)
	return action, until.Sub(now)
}

// clearQuarantine clears the suspicion on a fingerprint, whose request has been answered.
func (o *requestOutcomes) clearQuarantine(fingerprint uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.quarantine.Clear(fingerprint, time.Now())
}

// handleCrash applies an agent's report that its engine crashed.
func (e *Entry) handleCrash(payload []byte) {
	var c wire.Crash
	if _, err := c.UnmarshalMsg(payload); err != nil {
		e.log.Error(err, "malformed crash report")
		return
	}
	e.outcomes.mu.Lock()
	now := time.Now()
	age := time.Duration(c.AgeMs) * time.Millisecond
	rejected := e.outcomes.quarantine.RecordCrash(c.ID, c.Alone, c.Suspects, now.Add(-age), now)
	if age == 0 {
		e.outcomes.ejector.Eject(c.Target, now)
	}
	e.outcomes.mu.Unlock()
	e.opts.Metrics.Count("quarantine_suspects_total", int64(len(c.Suspects)))
	e.opts.Metrics.Count("quarantine_refused_total", int64(len(rejected)))
	e.log.Info("target crashed", "target", c.Target, "suspects", len(c.Suspects), "refused", len(rejected))
}
