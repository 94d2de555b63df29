package gateway

import (
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/logging"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/serving"
)

func (g *Gateway) refuseAndLog(c *fasthttp.RequestCtx, r *request, e *result.Error) {
	g.refuse(c, e)
	g.opts.Log.Info("refused", append(r.logFields(), "code", int(e.Code), "reason", e.Code.Info().Name,
		"detail", e.Detail, "retry_ms", e.Wait().Milliseconds(), "ms", time.Since(r.arrived).Milliseconds())...)
}

func (r *request) logFields() []any {
	fields := []any{"request", r.id}
	if r.route != nil {
		fields = append(fields, "route", r.route.Name, "kind", r.route.Kind.String())
	}
	if r.team != nil {
		fields = append(fields, "team", r.team.Name)
	}
	return fields
}

// contentID formats a fingerprint.
func contentID(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

// logPlaced logs the target of an attempt and what was known of the target.
func (d *dispatch) logPlaced(target *serving.Target) {
	now := time.Now()
	if d.sendCount == 0 {
		d.queueTime = now.Sub(d.r.arrived)
	}
	state := d.g.tracker.Snapshot(target, now)
	fields := []any{"request", d.r.id, "content", contentID(d.r.fingerprint), "target", target.ID}
	if state.Group != "" {
		fields = append(fields, "group", state.Group)
	}
	d.g.opts.Log.Info("placed", append(fields, "try", d.sendCount+1, "wait_ms", now.Sub(d.r.arrived).Milliseconds(),
		"load", state.Requests, "report_ms", state.ReportAge.Milliseconds(), "imbalance", logging.Round2(state.Imbalance), "pace", logging.Round2(state.MaxSlowdown),
		"rate_limit", state.RateLimit, "rest_ms", state.Rest.Milliseconds())...)
}

// logAttemptFailed logs a failed attempt and whether the request is retried.
func (d *dispatch) logAttemptFailed(target *serving.Target, e *result.Error, retry bool) {
	d.g.opts.Log.Info("try failed", "request", d.r.id, "target", target.ID, "try", d.sendCount, "code", int(e.Code),
		"reason", e.Code.Info().Name, "detail", e.Detail, "again", retry)
}

func (g *Gateway) logAnswered(r *request, d *dispatch, a *attempt) {
	g.opts.Metrics.CountResult(result.OK)
	elapsed := time.Since(r.arrived)
	late := notLate
	if r.route.LatencyObjective > 0 && elapsed > r.route.LatencyObjective {
		late = lateAnswer
	}
	g.opts.Log.Info("answered", append(r.logFields(), "target", a.target.ID, "status", a.resp.Status,
		"tries", d.sendCount, "ms", elapsed.Milliseconds(), "late", late)...)
}

func (g *Gateway) logStream(r *request, d *dispatch, b *streamBody) {
	fields := append(r.logFields(), "tries", d.sendCount, "wait_ms", d.queueTime.Milliseconds(), "ms", time.Since(r.arrived).Milliseconds(),
		"gap_ms", b.longestPause.Milliseconds(), "late", b.lateness())
	if !b.firstEventAt.IsZero() {
		g.opts.Metrics.FirstToken(b.firstEventAt.Sub(r.arrived))
		fields = append(fields, "first_ms", b.firstEventAt.Sub(r.arrived).Milliseconds())
	}
	if b.endErr == io.EOF {
		g.opts.Metrics.CountResult(result.OK)
		g.opts.Log.Info("answered", fields...)
		return
	}
	g.opts.Metrics.CountResult(b.failure.Code)
	g.opts.Log.Info("broken off", append(fields, "code", int(b.failure.Code), "reason", b.failure.Code.Info().Name,
		"detail", b.failure.Detail, "last_event", b.scanner.lastID)...)
}
