package entry

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/heatherrail/heatherrail/callers"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "transfer-encoding": true,
	"content-length": true, "te": true, "trailer": true, "upgrade": true, "date": true, "server": true,
}

// streamsEvents tells whether an answer is a stream of server-sent events.
func streamsEvents(a *wire.Answer) bool {
	return slices.ContainsFunc(a.Headers, func(h wire.Header) bool {
		return strings.EqualFold(h.Name, fiber.HeaderContentType) && strings.HasPrefix(h.Value, eventStream)
	})
}

// answer hands the exchange to the library as a body that it reads while it
// writes to the caller: a slow caller holds back the target, and a body that
// ends with an error closes the connection instead of looking complete.
func (e *Entry) answer(c fiber.Ctx, b *answerBody) {
	resp := c.Response()
	resp.SetStatusCode(b.x.Answer.Status)
	for _, h := range b.x.Answer.Headers {
		if !hopHeaders[strings.ToLower(h.Name)] {
			resp.Header.Add(h.Name, h.Value)
		}
	}
	b.sse = streamsEvents(&b.x.Answer)
	resp.Header.Set(HeaderTarget, b.x.Target)
	resp.Header.Set(HeaderRun, result.RunDone.String())
	if conn, ok := c.RequestCtx().Conn().(*callers.Conn); ok {
		b.conn = conn
		conn.Cork()
	}
	resp.SetBodyStream(b, -1)
}

const eventStream = "text/event-stream"

// answerBody is an answer on its way to the caller.
type answerBody struct {
	entry  *Entry
	call   *Call
	x      *Exchange
	conn   *callers.Conn // gathers what is written; nil if it can't
	done   func()
	begun  time.Time
	last   time.Time // arrival of the latest chunk; zero before the first
	chunk  []byte    // the latest bytes of the answer
	rest   []byte    // what of them the caller does not have yet
	sse    bool
	failed error

	chunkSeen bool // bytes of the answer have come
	begunBody bool // the caller has the first of them
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		wire.Free(b.chunk)
		b.chunk = nil
		if b.failed != nil {
			return 0, b.failed
		}
		if err := b.flushBeforeWait(); err != nil {
			b.end(result.New(result.CallerGone, "write: %w", err))
			return 0, b.failed
		}
		data, err := b.x.Recv()
		if err != nil {
			b.end(err)
			continue
		}
		b.observe()
		b.chunk, b.rest = data, data
		b.chunkSeen = true
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// flushBeforeWait hands the caller all that it can have before more is awaited.
// The first bytes never wait for others.
func (b *answerBody) flushBeforeWait() error {
	if b.conn == nil || (b.begunBody && b.x.stream.Ready()) {
		return nil
	}
	b.begunBody = b.chunkSeen
	return b.conn.Flush()
}

// observe measures event streams: engines send about one event a token.
func (b *answerBody) observe() {
	if !b.sse {
		return
	}
	now := time.Now()
	if b.last.IsZero() {
		b.entry.opts.Metrics.FirstToken(now.Sub(b.begun))
	} else {
		b.entry.opts.Metrics.BetweenTokens(now.Sub(b.last))
	}
	b.last = now
}

// end decides how the body stops: cleanly, or with an error event (where the
// caller reads events) and a cut connection.
func (b *answerBody) end(err error) {
	if errors.Is(err, io.EOF) {
		b.failed = io.EOF
		b.finished(result.OK, "")
		return
	}
	b.failed = err
	r := result.From(err)
	b.finished(r.Code, r.Detail)
	if b.sse {
		b.rest = fmt.Appendf(nil, "event: error\ndata: %s\n\n", errorJSON(r))
	}
}

// finished counts and logs the outcome.
func (b *answerBody) finished(code result.Code, detail string) {
	b.entry.opts.Metrics.Result(code)
	level := 1
	if code != result.OK {
		level = 0
	}
	b.entry.log.V(level).Info("answered", "request", b.call.ID, "team", b.call.Team, "service", b.call.Service,
		"target", b.x.Target, "code", int(code), "reason", code.Info().Name, "detail", detail,
		"ms", time.Since(b.begun).Milliseconds())
}

// Close implements io.Closer; the library calls it when the answer is over. An
// answer that has not ended by then is one that the caller did not want, or did
// not read for too long.
func (b *answerBody) Close() error {
	if b.failed == nil {
		b.finished(result.CallerGone, "caller stopped reading")
	}
	b.x.Close()
	var err error
	if b.conn != nil {
		err = b.conn.Uncork()
	}
	b.done()
	return err
}
