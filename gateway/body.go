package gateway

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/callers"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/serving"
)

// maxBufferedBytes limits a response that is buffered completely before delivery.
const maxBufferedBytes = 16 << 20

var errResponseTooLarge = errors.New("response exceeds the size limit")

// headWait limits the wait for the first byte of a body. The time for the whole body depends on the route, which is not known yet.
const headWait = time.Minute

// headReceived is called by the HTTP library when the head of a request is whole.
func (g *Gateway) headReceived(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{ReadTimeout: headWait}
}

// checkExpectation decides on its head whether a caller that waits for it is to send its body. A refusal is the response.
func (g *Gateway) checkExpectation(c *fasthttp.RequestCtx) int {
	snap := g.state.snapshot()
	if snap == nil {
		return fasthttp.StatusContinue // the handler refuses it
	}
	r, e := g.newRequest(c, snap)
	if e == nil {
		return fasthttp.StatusContinue
	}
	g.refuseAndLog(c, r, e)
	return statusOf(e)
}

// maxBodyBytes returns the limit on a body: that of the configuration, and at most what one caller may hold of the memory.
func (g *Gateway) maxBodyBytes(l *serving.Limits) int {
	limit := l.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	return min(limit, g.callers.MaxBodyBytes())
}

// receiveBody reads the body of a request whose head is accepted, until the request's deadline, and completes the request.
func (g *Gateway) receiveBody(c *fasthttp.RequestCtx, r *request) *result.Error {
	if r.team != nil {
		c.Conn().(*callers.Conn).SetKey(r.team.Name)
	}
	body, err := callers.ReadBody(c, r.maxBodyBytes, r.deadline)
	if err != nil {
		if errors.Is(err, callers.ErrNoMemory) && g.stopping.Load() {
			return newEntryLeaving()
		}
		return callers.ReceiveError(err)
	}
	r.setBody(body.Segments())
	return nil
}

// readBody reads the whole body of a response.
func (d *dispatch) readBody(a *attempt) (*callers.Buffer, error) {
	limit := min(maxBufferedBytes, d.g.callers.MaxBodyBytes())
	if a.resp.Length > limit {
		return nil, errResponseTooLarge
	}
	body, err := d.conn.ReadResponse(a.resp, a.resp.Length, limit, func() {
		d.cancel(result.New(result.AnswerBroken, "%w", callers.ErrNoMemory))
	})
	switch {
	case errors.Is(err, callers.ErrTooLarge):
		return nil, errResponseTooLarge
	case err != nil:
		return nil, fmt.Errorf("response broken off: %w", err)
	}
	return body, nil
}

// setBody makes a body that was read the body of the response to the caller.
func setBody(c *fasthttp.RequestCtx, body *callers.Buffer) {
	switch segments := body.Segments(); len(segments) {
	case 0:
		c.Response.SetBodyRaw(nil)
	case 1:
		c.Response.SetBodyRaw(segments[0])
	default:
		c.Response.SetBodyStream(io.LimitReader(body.Reader(), int64(body.Len())), body.Len())
	}
}
