package placing

import (
	"cmp"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/internal/ablate"
	"github.com/heatherrail/heatherrail/serving"
)

// FailureReport is what one entry has observed of a target that broke connections or timed out.
type FailureReport struct {
	Entry               string // name of the entry that made the observation
	Run                 serving.Run
	LastBroken          time.Time // time of the latest broken connection; zero: none
	LastTimeout         time.Time // time of the latest timeout; zero: none
	ConsecutiveTimeouts int       // timeouts in a row up to LastTimeout
	LastSuccess         time.Time // time of the latest complete response; zero: none
}

// Bounds of failure reports.
const (
	// failureReportTTL is how long a failure counts. It equals the duration of a first ejection.
	failureReportTTL = 2 * time.Second
	// ejectionQuorum is the number of entries that must have seen a target fail before entries that
	// have not seen a failure eject it. A single entry may be partitioned or slow itself.
	ejectionQuorum = 2
	// maxTimeouts is the number of consecutive timeouts that eject a target: at all entries if
	// ejectionQuorum entries have seen them, otherwise only at the entry that has seen all of them.
	// A single request may exceed its time limit for reasons of its own.
	maxTimeouts = 3
	// maxFailureReports is the maximum number of reports in one message.
	maxFailureReports = 16
	// maxKeptReports is the number of reports up to which those of other entries on further targets are kept.
	maxKeptReports = 1 << 14
)

// failureReports are the failure reports of this entry and of others.
//
// Shared reports guard against a target of a plain service that repeatedly breaks every connection
// for a second, while many entries share a few targets and each entry uses this target only every
// few seconds. An entry that relied on its own observations alone would fail a request each time,
// and most of the requests sent there that may not be retried would be lost. With shared reports,
// failures at two entries are enough for all entries to stop sending there.
type failureReports struct {
	entry   string
	reports map[reportKey]FailureReport
}

type reportKey struct {
	run   serving.Run
	entry string
}

func newFailureReports(entry string) failureReports {
	return failureReports{entry: entry, reports: make(map[reportKey]FailureReport)}
}

// recordBrokenConnection records that a target broke a connection of this entry.
func (f *failureReports) recordBrokenConnection(run serving.Run, now time.Time) {
	own := f.ownReport(run)
	own.LastBroken = now
	f.put(own)
}

// recordTimeout records that a target did not respond to a request of this entry in time. A success
// at any entry resets the count of consecutive timeouts.
func (f *failureReports) recordTimeout(run serving.Run, now time.Time) {
	own := f.ownReport(run)
	if f.lastSuccess(run).After(own.LastTimeout) {
		own.ConsecutiveTimeouts = 0
	}
	own.LastTimeout = now
	own.ConsecutiveTimeouts++
	f.put(own)
}

// recordSuccess records a complete response of a target that has failure reports.
func (f *failureReports) recordSuccess(run serving.Run, now time.Time) {
	if !f.hasReport(run) {
		return
	}
	own := f.ownReport(run)
	own.LastSuccess, own.ConsecutiveTimeouts = now, 0
	f.put(own)
}

// ownReport returns this entry's report on a target.
func (f *failureReports) ownReport(run serving.Run) FailureReport {
	if known, ok := f.reports[reportKey{run: run, entry: f.entry}]; ok {
		return known
	}
	return FailureReport{Entry: f.entry, Run: run}
}

func (f *failureReports) put(r FailureReport) { f.reports[reportKey{run: r.Run, entry: r.Entry}] = r }

func (f *failureReports) hasReport(run serving.Run) bool {
	for key := range f.reports {
		if key.run == run {
			return true
		}
	}
	return false
}

// merge adds a failure report of another entry and returns true if the report holds a new event.
func (f *failureReports) merge(r FailureReport, now time.Time) bool {
	if r.Entry == f.entry || now.Sub(r.latestEvent()) >= failureReportTTL {
		return false
	}
	known, ok := f.reports[reportKey{run: r.Run, entry: r.Entry}]
	if !ok && len(f.reports) >= maxKeptReports {
		return false
	}
	if r.latestEvent().Sub(known.latestEvent()) < sameEventTolerance {
		return false
	}
	f.put(r)
	return true
}

// sameEventTolerance is the difference up to which two times denote the same event. Messages carry
// ages instead of times, so the time that a receiver computes is too late by the delivery time of
// the message. The tolerance must exceed the delivery time.
const sameEventTolerance = 50 * time.Millisecond

// latestEvent returns the time of the latest event in the report.
func (r *FailureReport) latestEvent() time.Time {
	return later(later(r.LastBroken, r.LastTimeout), r.LastSuccess)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// prune drops expired reports.
func (f *failureReports) prune(now time.Time) {
	for key, r := range f.reports {
		if now.Sub(r.latestEvent()) >= failureReportTTL {
			delete(f.reports, key)
		}
	}
}

// lastSuccess returns the latest success of a target at any entry that has reported one.
func (f *failureReports) lastSuccess(run serving.Run) (latest time.Time) {
	for key, r := range f.reports {
		if key.run == run {
			latest = later(latest, r.LastSuccess)
		}
	}
	return latest
}

// failureScore rates the failures of a target since its last success at any entry. From 1 on every
// entry ejects the target.
func (f *failureReports) failureScore(run serving.Run, now time.Time) float64 {
	lastSuccess := f.lastSuccess(run)
	isCurrent := func(at time.Time) bool { return at.After(lastSuccess) && now.Sub(at) < failureReportTTL }
	brokenEntries, timeoutEntries, timeouts := 0, 0, 0 // brokenEntries and timeoutEntries count entries
	for key, r := range f.reports {
		if key.run != run {
			continue
		}
		if isCurrent(r.LastBroken) {
			brokenEntries++
		}
		if isCurrent(r.LastTimeout) {
			timeoutEntries++
			timeouts += r.ConsecutiveTimeouts
		}
	}
	return max(float64(brokenEntries)/ejectionQuorum, min(float64(timeoutEntries)/ejectionQuorum, float64(timeouts)/maxTimeouts))
}

// shouldPropagate reports whether an event that changed a target's failure score from before to
// after must be sent to the other entries at once. This is so if the event may lead to an ejection
// that was not due before. All other events go with the next regular message, because sending each
// failure and success at once would use more bandwidth between data centres than the requests do.
func shouldPropagate(before, after float64) bool {
	return before < 1 && after > before && after >= 1.0/ejectionQuorum
}

// EjectionDecision is the consequence of a recorded failure.
type EjectionDecision struct {
	Ejected   bool // the target is ejected from now on
	Propagate bool // other entries must be notified at once
}

// RecordBrokenConnection records that a target of a plain service broke a connection, and ejects
// the target at once.
//
// Do not call it for ranks of a group. Ranks are ejected for consecutive failures only: they fail
// together, and ejecting some of them would put all streams on the others.
func (tr *Tracker) RecordBrokenConnection(t *serving.Target, now time.Time) EjectionDecision {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if ablate.Off(ablate.Ejection) || ablate.Off(ablate.FailureReports) {
		return EjectionDecision{}
	}
	before := tr.failures.failureScore(t.Run(), now)
	tr.failures.recordBrokenConnection(t.Run(), now)
	tr.ejector.EjectMinimum(t.Run(), now)
	return EjectionDecision{Ejected: true, Propagate: shouldPropagate(before, tr.failures.failureScore(t.Run(), now))}
}

// RecordTimeout records that a target has not begun to respond to a request of this entry within
// several times the usual time. isRank reports whether the target is a rank of a group.
//
// A rank's timeout counts only if another rank has responded to a request that was sent later: if
// the whole group is stalled, no rank responds and none is at fault.
func (tr *Tracker) RecordTimeout(t *serving.Target, isRank bool, sentAt, now time.Time) EjectionDecision {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if isRank && !tr.group(tr.groupKeyOf(t, now)).latestAnsweredSend.After(sentAt) || ablate.Off(ablate.Ejection) || ablate.Off(ablate.FailureReports) {
		return EjectionDecision{}
	}
	before := tr.failures.failureScore(t.Run(), now)
	tr.failures.recordTimeout(t.Run(), now)
	after := tr.failures.failureScore(t.Run(), now)
	ejected := after >= 1 || tr.failures.ownReport(t.Run()).ConsecutiveTimeouts >= maxTimeouts
	if ejected {
		tr.ejector.EjectMinimum(t.Run(), now)
	}
	return EjectionDecision{Ejected: ejected, Propagate: shouldPropagate(before, after)}
}

// RecordRankResponse records that a rank has begun to respond to a request that was sent at sentAt.
func (tr *Tracker) RecordRankResponse(t *serving.Target, sentAt, now time.Time) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	g := tr.group(tr.groupKeyOf(t, now))
	g.latestAnsweredSend = later(g.latestAnsweredSend, sentAt)
}

// FailureReports returns the unexpired reports of this entry and of others for one message, latest
// first.
func (tr *Tracker) FailureReports(now time.Time) []FailureReport {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.failures.prune(now)
	list := make([]FailureReport, 0, len(tr.failures.reports))
	for _, r := range tr.failures.reports {
		list = append(list, r)
	}
	slices.SortFunc(list, func(x, y FailureReport) int {
		return cmp.Or(y.latestEvent().Compare(x.latestEvent()), cmp.Compare(x.Entry, y.Entry), cmp.Compare(x.Run.ID, y.Run.ID))
	})
	return list[:min(len(list), maxFailureReports)]
}

// MergeFailureReports adds failure reports that another entry has made or passed on. It returns the
// targets that are ejected as a consequence, and whether other entries must be notified at once.
func (tr *Tracker) MergeFailureReports(list []FailureReport, now time.Time) (ejected []serving.Run, propagate bool) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, r := range list {
		before := tr.failures.failureScore(r.Run, now)
		if !tr.failures.merge(r, now) {
			continue
		}
		after := tr.failures.failureScore(r.Run, now)
		if after >= 1 && after > before && !ablate.Off(ablate.FailureReports) {
			tr.ejector.EjectMinimum(r.Run, now)
			ejected = append(ejected, r.Run)
		}
		propagate = propagate || shouldPropagate(before, after)
	}
	return ejected, propagate
}
