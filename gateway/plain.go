package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/result"
)

// wholeMax bounds an answer that is read whole before it is delivered.
const wholeMax = 16 << 20

// servePlain answers with the whole answer of a target. It is read to its end
// first, so one that breaks off on the way can be had from another target, and a
// caller never gets a part of one.
func (g *Gateway) servePlain(ctx context.Context, c *fasthttp.RequestCtx, t *tries) (*exchange, *result.Error) {
	for {
		x, e := t.next(ctx, "")
		if e != nil {
			return nil, e
		}
		body, err := readWhole(x)
		if err == nil {
			g.copyHead(c, x)
			c.Response.SetBodyRaw(body)
			x.close()
			return x, nil
		}
		x.close()
		if cause := t.ended(ctx); cause != nil {
			return nil, cause
		}
		g.book.RecordOutcome(x.target, false, time.Now())
		t.last = result.New(result.AnswerBroken, "%s: %w", x.target.ID, err)
		if !t.mayRetry(t.last) {
			return nil, t.last
		}
		g.opts.Metrics.Retry(t.last.Code)
	}
}

var errTooLong = errors.New("answer is too long")

func readWhole(x *exchange) ([]byte, error) {
	size := max(x.resp.Header.ContentLength(), 0)
	if size > wholeMax {
		return nil, errTooLong
	}
	body := make([]byte, 0, size+1)
	for {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := x.resp.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, fmt.Errorf("after %d bytes: %w", len(body), err)
		case len(body) > wholeMax:
			return nil, errTooLong
		}
	}
}

// copyHead passes on the status and the fields of a target's answer.
func (g *Gateway) copyHead(c *fasthttp.RequestCtx, x *exchange) {
	c.Response.SetStatusCode(x.resp.Status)
	named := namedByConnection(string(x.resp.Header.Peek(fasthttp.HeaderConnection)))
	for k, v := range x.resp.Header.All() {
		name := string(k)
		if hopFields[name] || named[name] {
			continue
		}
		c.Response.Header.SetBytesV(name, v)
	}
	if g.stopping.Load() {
		c.SetConnectionClose()
	}
}

// retryAfter reads the time to come back that a target names.
func retryAfter(value string) time.Duration {
	s, err := strconv.ParseFloat(value, 64)
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
