package gateway

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/result"
)

// statusOf returns the HTTP status of a result. The statuses that say that the request did not
// run are used only if it certainly did not run and never will.
func statusOf(e *result.Error) int { return e.Code.Info().Status }

// refuse answers a request with an error of the gateway itself.
func (g *Gateway) refuse(c *fasthttp.RequestCtx, e *result.Error) {
	g.opts.Metrics.CountResult(e.Code)
	c.Response.Reset()
	c.SetStatusCode(statusOf(e))
	c.Response.Header.SetBytesV(g.opts.Headers.RequestID, c.Request.Header.Peek(g.opts.Headers.RequestID))
	if wait := e.Wait(); wait > 0 && e.Run() == result.RunNot {
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, formatSeconds(wait))
	}
	c.SetContentType("text/plain")
	c.SetBodyString(e.Code.Info().Name + "\n")
	if g.stopping.Load() {
		c.SetConnectionClose()
	}
}

func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
}
