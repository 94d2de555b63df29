package gateway

import "time"

// recordRest records that a target has asked this entry for rest.
func (d *dispatch) recordRest(a *attempt) {
	if a.answer.Rest <= 0 {
		return
	}
	d.g.opts.Metrics.Count("rests_asked", 1)
	if d.g.tracker.RecordRest(a.target.Run(), a.answer.Rest, time.Now()) {
		d.g.opts.Log.Info("target asks for rest", "target", a.target.ID, "ms", a.answer.Rest.Milliseconds(), "request", d.r.id)
	}
}
