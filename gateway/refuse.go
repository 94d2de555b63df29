package gateway

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/result"
)

// statusOf returns the status of a result. Only a request that certainly did not
// run, and never will, gets one that says so.
func statusOf(e *result.Error) int { return e.Code.Info().Status }

// refuse answers a request with a result of our own.
func (g *Gateway) refuse(ctx *fasthttp.RequestCtx, e *result.Error) {
	g.opts.Metrics.Result(e.Code)
	ctx.Response.Reset()
	ctx.SetStatusCode(statusOf(e))
	ctx.Response.Header.SetBytesV(g.opts.Headers.RequestID, ctx.Request.Header.Peek(g.opts.Headers.RequestID))
	if wait := e.Wait(); wait > 0 && e.Run() == result.RunNot {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, formatSeconds(wait))
	}
	ctx.SetContentType("text/plain")
	ctx.SetBodyString(e.Code.Info().Name + "\n")
	if g.stopping.Load() {
		ctx.SetConnectionClose()
	}
}

func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
