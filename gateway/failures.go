package gateway

import (
	"time"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/serving"
	"github.com/heatherrail/heatherrail/upstream"
)

// A target has timed out if it does not start its response within timeoutObjectiveFactor times the
// latency objective. Without an objective, the limit is timeoutDeadlineShare of the time between
// the request's arrival and its deadline. The timeout counts against the target; the request goes
// on.
const (
	timeoutObjectiveFactor = 2
	timeoutDeadlineShare   = 0.5
)

// responseTimeout returns how long a target may take to start its response to this request.
func (r *request) responseTimeout() time.Duration {
	if r.route.LatencyObjective > 0 {
		return timeoutObjectiveFactor * r.route.LatencyObjective
	}
	return fractionOf(r.deadline.Sub(r.arrived), timeoutDeadlineShare)
}

// watchTimeout records a timeout of the target if stop is not called within responseTimeout. For a
// rank of a group, stop(true) also records the response.
func (d *dispatch) watchTimeout(target *serving.Target) (stop func(answered bool)) {
	sentAt, isRank := time.Now(), d.g.admissionQueue(d.r.service) != nil
	timer := time.AfterFunc(d.r.responseTimeout(), func() {
		d.reportFailure(target, "silent", d.g.tracker.RecordTimeout(target, isRank, sentAt, time.Now()))
	})
	return func(answered bool) {
		timer.Stop()
		if answered && isRank {
			d.g.tracker.RecordRankResponse(target, sentAt, time.Now())
		}
	}
}

// recordBrokenConn records that a target broke a newly opened connection, which may eject the
// target here and at the other entries. A reused connection is ignored: the target may have closed
// it because it was idle.
func (d *dispatch) recordBrokenConn(target *serving.Target, sendErr *upstream.SendError) {
	if sendErr == nil || !sendErr.NewConnection || d.g.admissionQueue(d.r.service) != nil {
		return
	}
	d.reportFailure(target, "broke off", d.g.tracker.RecordBrokenConnection(target, time.Now()))
}

// reportFailure logs an ejection, and notifies the other entries of a failure report that is to be
// propagated at once.
func (d *dispatch) reportFailure(target *serving.Target, cause string, decision placing.EjectionDecision) {
	if decision.Ejected {
		d.g.opts.Log.Info("target kept out", "target", target.ID, "seen", cause, "request", d.r.id)
		d.g.opts.Metrics.Count("targets_kept_out", 1)
	}
	if decision.Propagate {
		d.g.cluster.notify()
	}
}

// failureReports returns the failure reports to send to other entries.
func (c *cluster) failureReports() []peers.FailureReport {
	now := time.Now()
	var messages []peers.FailureReport
	for _, report := range c.g.tracker.FailureReports(now) {
		messages = append(messages, peers.FailureReport{
			Entry:           report.Entry,
			Target:          report.Run.ID,
			StartedAtMS:     report.Run.StartedAtMS,
			ConnBrokenAgeMS: ageMS(report.LastBroken, now),
			TimeoutAgeMS:    ageMS(report.LastTimeout, now),
			Timeouts:        peers.ClampUint16(report.ConsecutiveTimeouts),
			SuccessAgeMS:    ageMS(report.LastSuccess, now),
		})
	}
	return messages
}

// applyFailureReports merges failure reports from another entry. It returns true if other entries
// should be notified at once.
func (c *cluster) applyFailureReports(messages []peers.FailureReport) bool {
	if len(messages) == 0 {
		return false
	}
	now := time.Now()
	reports := make([]placing.FailureReport, 0, len(messages))
	for i := range messages {
		m := &messages[i]
		if !peers.IsName(m.Entry) || !peers.IsName(m.Target) {
			continue
		}
		reports = append(reports, placing.FailureReport{
			Entry:               m.Entry,
			Run:                 serving.Run{ID: m.Target, StartedAtMS: m.StartedAtMS},
			LastBroken:          timeBefore(now, m.ConnBrokenAgeMS),
			LastTimeout:         timeBefore(now, m.TimeoutAgeMS),
			ConsecutiveTimeouts: int(m.Timeouts),
			LastSuccess:         timeBefore(now, m.SuccessAgeMS),
		})
	}
	ejected, propagate := c.g.tracker.MergeFailureReports(reports, now)
	for _, run := range ejected {
		c.g.opts.Log.Info("target kept out", "target", run.ID, "seen", "by others")
		c.g.opts.Metrics.Count("targets_kept_out", 1)
	}
	return propagate
}

// ageMS returns the time since at in milliseconds, at most one hour; peers.Never for the zero
// time.
func ageMS(at, now time.Time) uint32 {
	if at.IsZero() {
		return peers.Never
	}
	return uint32(min(max(now.Sub(at), 0), time.Hour).Milliseconds())
}

// timeBefore returns the time that lies ms before now; the zero time for peers.Never.
func timeBefore(now time.Time, ms uint32) time.Time {
	if ms == peers.Never {
		return time.Time{}
	}
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
