package gateway

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/logging"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/serving"
)

func (g *Gateway) refuseAndLog(c *fasthttp.RequestCtx, r *request, e *result.Error) {
	g.refuse(c, e)
	g.opts.Log.Info("refused", append(r.fields(), "code", int(e.Code), "reason", e.Code.Info().Name,
		"detail", e.Detail, "retry_ms", e.Wait().Milliseconds(), "ms", time.Since(r.arrived).Milliseconds())...)
}

func (r *request) fields() []any {
	f := []any{"request", r.id}
	if r.route != nil {
		f = append(f, "route", r.route.Name, "kind", r.route.Kind.String())
	}
	if r.team != nil {
		f = append(f, "team", r.team.Name)
	}
	return f
}

// logPlaced tells where a try goes, and what was known of the target then.
func (t *tries) logPlaced(target *serving.Target) {
	now := time.Now()
	if t.count == 0 {
		t.waited = now.Sub(t.r.arrived)
	}
	known := t.g.book.Snapshot(target, now)
	t.g.opts.Log.Info("placed", "request", t.r.id, "target", target.ID, "try", t.count+1, "wait_ms", now.Sub(t.r.arrived).Milliseconds(),
		"load", known.Requests, "report_ms", known.ReportAge.Milliseconds(), "imbalance", logging.Round2(known.Imbalance), "pace", logging.Round2(known.MaxSlowdown),
		"rate_limit", known.RateLimit)
}

// logFailed tells why a try did not give an answer, and whether there will be
// another.
func (t *tries) logFailed(target *serving.Target, e *result.Error, again bool) {
	t.g.opts.Log.Info("try failed", "request", t.r.id, "target", target.ID, "try", t.count, "code", int(e.Code),
		"reason", e.Code.Info().Name, "detail", e.Detail, "again", again)
}

func (g *Gateway) logDone(r *request, t *tries, x *exchange) {
	g.opts.Metrics.Result(result.OK)
	took := time.Since(r.arrived)
	late := lateNot
	if r.route.LatencyObjective > 0 && took > r.route.LatencyObjective {
		late = lateAnswer
	}
	g.opts.Log.Info("answered", append(r.fields(), "target", x.target.ID, "status", x.resp.Status,
		"tries", t.count, "ms", took.Milliseconds(), "late", late)...)
}

func (g *Gateway) logStream(r *request, t *tries, b *streamBody) {
	f := append(r.fields(), "tries", t.count, "wait_ms", t.waited.Milliseconds(), "ms", time.Since(r.arrived).Milliseconds(),
		"gap_ms", b.gap.Milliseconds(), "late", b.lateBy())
	if !b.first.IsZero() {
		g.opts.Metrics.FirstToken(b.first.Sub(r.arrived))
		f = append(f, "first_ms", b.first.Sub(r.arrived).Milliseconds())
	}
	if b.ended == io.EOF {
		g.opts.Metrics.Result(result.OK)
		g.opts.Log.Info("answered", f...)
		return
	}
	g.opts.Metrics.Result(b.reason.Code)
	g.opts.Log.Info("broken off", append(f, "code", int(b.reason.Code), "reason", b.reason.Code.Info().Name,
		"detail", b.reason.Detail, "last_event", b.events.last)...)
}
