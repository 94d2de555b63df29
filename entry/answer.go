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

// hopByHopHeaders belong to one connection and are not forwarded to the caller.
var hopByHopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "transfer-encoding": true,
	"content-length": true, "te": true, "trailer": true, "upgrade": true, "date": true, "server": true,
}

// isEventStream reports whether an answer is a stream of server-sent events.
func isEventStream(a *wire.Answer) bool {
	return slices.ContainsFunc(a.Headers, func(h wire.Header) bool {
		return strings.EqualFold(h.Name, fiber.HeaderContentType) && strings.HasPrefix(h.Value, eventStreamType)
	})
}

// streamAnswer hands the answer to the HTTP library as a body that the library reads while it
// writes to the caller. A slow caller thus slows down its target, and a body that ends with
// an error closes the connection instead of looking complete.
func (e *Entry) streamAnswer(c fiber.Ctx, b *answerBody) {
	resp := c.Response()
	resp.SetStatusCode(b.exchange.Answer.Status)
	resp.Header.SetNoDefaultContentType(true)
	for _, h := range b.exchange.Answer.Headers {
		if !hopByHopHeaders[strings.ToLower(h.Name)] {
			resp.Header.Add(h.Name, h.Value)
		}
	}
	b.sse = isEventStream(&b.exchange.Answer)
	resp.Header.Set(HeaderTarget, b.exchange.Target)
	resp.Header.Set(HeaderRun, result.RunDone.String())
	if conn, ok := c.RequestCtx().Conn().(*callers.Conn); ok {
		b.conn = conn
		conn.Cork()
	}
	resp.SetBodyStream(b, -1)
}

const eventStreamType = "text/event-stream"

// answerBody is the body of an answer that is being streamed to the caller.
type answerBody struct {
	entry       *Entry
	call        *Call
	exchange    *Exchange
	conn        *callers.Conn // caller's connection; nil if it does not support buffered writes
	onClose     func()
	startedAt   time.Time
	lastChunkAt time.Time // zero before the first chunk
	chunk       []byte    // the latest bytes of the answer
	unsent      []byte    // the part of chunk that the HTTP library has not read
	sse         bool
	endErr      error

	hasData        bool // bytes of the answer have arrived
	hasFlushedData bool // the first bytes have been flushed to the caller
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	for len(b.unsent) == 0 {
		wire.Free(b.chunk)
		b.chunk = nil
		if b.endErr != nil {
			return 0, b.endErr
		}
		if err := b.flushBeforeWait(); err != nil {
			b.endBody(result.New(result.CallerGone, "write to caller: %w", err))
			return 0, b.endErr
		}
		data, err := b.exchange.Recv()
		if err != nil {
			b.endBody(err)
			continue
		}
		b.recordEventTime()
		b.chunk, b.unsent = data, data
		b.hasData = true
	}
	n := copy(p, b.unsent)
	b.unsent = b.unsent[n:]
	return n, nil
}

// flushBeforeWait flushes buffered bytes to the caller before Read waits for more. The first
// bytes of the answer are flushed at once.
func (b *answerBody) flushBeforeWait() error {
	if b.conn == nil || (b.hasFlushedData && b.exchange.stream.Ready()) {
		return nil
	}
	b.hasFlushedData = b.hasData
	return b.conn.Flush()
}

// recordEventTime measures the time to the first event and between events of an event
// stream. Engines send about one event a token.
func (b *answerBody) recordEventTime() {
	if !b.sse {
		return
	}
	now := time.Now()
	if b.lastChunkAt.IsZero() {
		b.entry.opts.Metrics.FirstToken(now.Sub(b.startedAt))
	} else {
		b.entry.opts.Metrics.BetweenTokens(now.Sub(b.lastChunkAt))
	}
	b.lastChunkAt = now
}

// endBody sets how the body ends: cleanly, or with an error that closes the connection. An
// event stream gets an error event first.
func (b *answerBody) endBody(err error) {
	if errors.Is(err, io.EOF) {
		b.endErr = io.EOF
		b.recordOutcome(result.OK, "")
		return
	}
	b.endErr = err
	r := result.From(err)
	b.recordOutcome(r.Code, r.Detail)
	if b.sse {
		b.unsent = fmt.Appendf(nil, "event: error\ndata: %s\n\n", errorJSON(r))
	}
}

// recordOutcome counts and logs the outcome of the request.
func (b *answerBody) recordOutcome(code result.Code, detail string) {
	b.entry.opts.Metrics.CountResult(code)
	level := 1
	if code != result.OK {
		level = 0
	}
	b.entry.log.V(level).Info("answered", "request", b.call.ID, "team", b.call.Team, "service", b.call.Service,
		"target", b.exchange.Target, "code", int(code), "reason", code.Info().Name, "detail", detail,
		"ms", time.Since(b.startedAt).Milliseconds())
}

// Close implements io.Closer. The HTTP library calls Close when the response is over. If the
// answer has not ended by then, the caller closed the connection or did not read for too long.
func (b *answerBody) Close() error {
	if b.endErr == nil {
		b.recordOutcome(result.CallerGone, "caller stopped reading")
	}
	b.exchange.Close()
	var err error
	if b.conn != nil {
		err = b.conn.Uncork()
	}
	b.onClose()
	return err
}
