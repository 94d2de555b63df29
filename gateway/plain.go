package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/result"
)

// maxBufferedBytes limits a response that is buffered completely before delivery.
const maxBufferedBytes = 16 << 20

// servePlain delivers the complete response of a target. The response is buffered first. If the
// target's connection breaks in the middle, the request can thus be retried at another target, and
// callers never get a partial response.
func (g *Gateway) servePlain(ctx context.Context, c *fasthttp.RequestCtx, d *dispatch) (*attempt, *result.Error) {
	for {
		a, e := d.nextResponse(ctx, "")
		if e != nil {
			return nil, e
		}
		body, err := readBody(a)
		if err == nil {
			g.crashes.recordCompleted(a)
			g.copyHeader(c, a)
			c.Response.SetBodyRaw(body)
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

var errResponseTooLarge = errors.New("response exceeds the size limit")

func readBody(a *attempt) ([]byte, error) {
	size := max(a.resp.Header.ContentLength(), 0)
	if size > maxBufferedBytes {
		return nil, errResponseTooLarge
	}
	body := make([]byte, 0, size+1)
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := a.resp.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, fmt.Errorf("response broken after %d bytes: %w", len(body), err)
		case len(body) > maxBufferedBytes:
			return nil, errResponseTooLarge
		}
	}
}
