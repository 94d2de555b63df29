package gateway

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/result"
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

func (g *Gateway) logDone(r *request, t *tries, x *exchange) {
	g.opts.Metrics.Result(result.OK)
	g.opts.Log.Info("answered", append(r.fields(), "target", x.target.ID, "status", x.resp.Status,
		"tries", t.count, "ms", time.Since(r.arrived).Milliseconds())...)
}

func (g *Gateway) logStream(r *request, t *tries, b *streamBody) {
	f := append(r.fields(), "tries", t.count, "ms", time.Since(r.arrived).Milliseconds())
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
