package gateway

import (
	"time"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/serving"
	"github.com/heatherrail/heatherrail/upstream"
)

// A target that has not begun to answer after so many times the aim for its first event, or
// a part of the request's time where there is no aim, is doubted. The request goes on.
const (
	silentAims  = 2
	silentShare = 0.5
)

// silentAfter returns when the target of this request is doubted.
func (r *request) silentAfter() time.Duration {
	if r.route.LatencyObjective > 0 {
		return silentAims * r.route.LatencyObjective
	}
	return share(r.deadline.Sub(r.arrived), silentShare)
}

// expect has a target doubted if it does not begin to answer; heard ends that.
func (t *tries) expect(target *serving.Target) (heard func(answered bool)) {
	sentAt, ranked := time.Now(), t.g.gate(t.r.service) != nil
	timer := time.AfterFunc(t.r.silentAfter(), func() {
		t.doubted(target, "silent", t.g.book.RecordTimeout(target, ranked, sentAt, time.Now()))
	})
	return func(answered bool) {
		timer.Stop()
		if answered && ranked {
			t.g.book.RecordRankResponse(target, sentAt, time.Now())
		}
	}
}

// doubt has this entry and the others keep out a target that broke off a connection that was
// new. One that had rested may have been closed for that, which says nothing.
func (t *tries) doubt(target *serving.Target, failed *upstream.SendError) {
	if failed == nil || !failed.NewConnection || t.g.gate(t.r.service) != nil {
		return
	}
	t.doubted(target, "broke off", t.g.book.RecordBrokenConnection(target, time.Now()))
}

// doubted carries out what follows from a doubt of this entry's own.
func (t *tries) doubted(target *serving.Target, seen string, v placing.EjectionDecision) {
	if v.Ejected {
		t.g.opts.Log.Info("target kept out", "target", target.ID, "seen", seen, "request", t.r.id)
		t.g.opts.Metrics.Count("targets_kept_out", 1)
	}
	if v.Propagate {
		t.g.mesh.tell()
	}
}

// doubts returns what this entry tells others of targets in doubt.
func (m *mesh) doubts() []peers.FailureReport {
	now := time.Now()
	var list []peers.FailureReport
	for _, o := range m.g.book.FailureReports(now) {
		list = append(list, peers.FailureReport{
			Entry:           o.Entry,
			Target:          o.Run.ID,
			StartedAtMS:     o.Run.StartedAtMS,
			ConnBrokenAgeMS: agoMS(o.LastBroken, now),
			TimeoutAgeMS:    agoMS(o.LastTimeout, now),
			Timeouts:        peers.ClampUint16(o.ConsecutiveTimeouts),
			SuccessAgeMS:    agoMS(o.LastSuccess, now),
		})
	}
	return list
}

// doubted takes what another entry tells of targets; it tells whether others should hear of it
// at once.
func (m *mesh) doubted(list []peers.FailureReport) bool {
	if len(list) == 0 {
		return false
	}
	now := time.Now()
	told := make([]placing.FailureReport, 0, len(list))
	for i := range list {
		o := &list[i]
		told = append(told, placing.FailureReport{
			Entry:               o.Entry,
			Run:                 serving.Run{ID: o.Target, StartedAtMS: o.StartedAtMS},
			LastBroken:          before(now, o.ConnBrokenAgeMS),
			LastTimeout:         before(now, o.TimeoutAgeMS),
			ConsecutiveTimeouts: int(o.Timeouts),
			LastSuccess:         before(now, o.SuccessAgeMS),
		})
	}
	kept, tell := m.g.book.MergeFailureReports(told, now)
	for _, run := range kept {
		m.g.opts.Log.Info("target kept out", "target", run.ID, "seen", "by others")
		m.g.opts.Metrics.Count("targets_kept_out", 1)
	}
	return tell
}

// agoMS returns how long ago something was; peers.Never if it never was.
func agoMS(at, now time.Time) uint32 {
	if at.IsZero() {
		return peers.Never
	}
	return uint32(min(max(now.Sub(at), 0), time.Hour).Milliseconds())
}

// before is the reverse of agoMS.
func before(now time.Time, ms uint32) time.Time {
	if ms == peers.Never {
		return time.Time{}
	}
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
