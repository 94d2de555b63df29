package gateway

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/result"
)

// servePlain delivers the complete response of a target. The response is buffered first. If the
// target's connection breaks in the middle, the request can thus be retried at another target, and
// callers never get a partial response.
func (g *Gateway) servePlain(ctx context.Context, c *fasthttp.RequestCtx, d *dispatch) (*attempt, *result.Error) {
	for {
		a, e := d.nextResponse(ctx, "")
		if e != nil {
			return nil, e
		}
		body, err := d.readBody(a)
		if err == nil {
			err = d.checkUnframedEnd(ctx, a)
		}
		if err == nil {
			if a.resp.Status/100 == 2 {
				g.tracker.RecordOutcome(a.target, true, time.Now())
			}
			g.crashes.recordCompleted(a)
			g.copyHeader(c, a)
			setBody(c, body)
			a.close()
			return a, nil
		}
		d.recordCutOff(ctx, a.target, a.sentAt, err)
		a.close()
		if cause := d.stopError(ctx); cause != nil {
			return nil, cause
		}
		g.tracker.RecordOutcome(a.target, false, time.Now())
		d.lastErr = result.New(result.AnswerBroken, "%s: %w", a.target.ID, err)
		if !d.canRetry(d.lastErr) {
			return nil, d.lastErr
		}
		g.opts.Metrics.CountRetry(d.lastErr.Code)
	}
}
