package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/oklog/ulid/v2"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/platform"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

// Headers of the callers' interface.
const (
	HeaderRequestID  = "Heatherrail-Request-Id"
	HeaderResult     = "Heatherrail-Result"
	HeaderRun        = "Heatherrail-Run"
	HeaderTarget     = "Heatherrail-Target"
	HeaderRepeatable = "Heatherrail-Repeatable"
	HeaderDeadline   = "Heatherrail-Deadline-Ms"
	HeaderPriority   = "Heatherrail-Priority"
	HeaderKey        = "Idempotency-Key"
)

const (
	callerReadTimeout = 30 * time.Second
	callerIdle        = 2 * time.Minute
	callerReadBuffer  = 16 << 10
)

func (e *Entry) newApp() *fiber.App {
	app := fiber.New(fiber.Config{
		BodyLimit:      int(e.opts.Settings.MaxBody),
		ReadTimeout:    callerReadTimeout,
		IdleTimeout:    callerIdle,
		ReadBufferSize: callerReadBuffer,
		ErrorHandler:   e.httpError,
	})
	app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", e.serveReady)
	app.Get("/metrics", e.serveMetrics)
	app.Get("/v1/entries", e.serveEntries)
	app.Get("/v1/models", e.serveModels)
	app.Get("/v1/explain/:id", e.serveExplain)
	app.Post("/v1/completions", e.serveCompletion)
	app.Post("/v1/chat/completions", e.serveCompletion)
	app.All("/v1/services/:service/*", e.servePlain)
	return app
}

// httpError answers what the library itself refuses.
func (e *Entry) httpError(c fiber.Ctx, err error) error {
	var fe *fiber.Error
	if errors.As(err, &fe) {
		return e.refuse(c, &result.Error{Code: codeOfStatus(fe.Code), Detail: fe.Message})
	}
	return e.refuse(c, err)
}

func codeOfStatus(status int) result.Code {
	if status == fiber.StatusRequestEntityTooLarge {
		return result.BodyTooLarge
	}
	return result.BadRequest
}

func (e *Entry) serveReady(c fiber.Ctx) error {
	if e.current.Load() == nil || e.leaving.Load() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

func (e *Entry) serveMetrics(c fiber.Ctx) error {
	var b strings.Builder
	if err := e.opts.Metrics.Write(&b); err != nil {
		return err
	}
	return c.SendString(b.String())
}

// EntriesAnswer is the body of GET /v1/entries.
type EntriesAnswer struct {
	Entries  []string `json:"entries"`  // addresses in order of preference
	Lifetime int      `json:"lifetime"` // seconds for which a caller may keep the answer
}

func (e *Entry) serveEntries(c fiber.Ctx) error {
	answer := EntriesAnswer{Lifetime: int(e.opts.Settings.AnswerLife.Seconds())}
	vms := e.vms.Load()
	if vms == nil {
		vms = new([]platform.VM)
	}
	var others []string
	for _, vm := range *vms {
		switch {
		case vm.Role != platform.RoleEntry || vm.State != platform.StateLive:
		case vm.Name == e.opts.Settings.Name:
			if !e.leaving.Load() {
				answer.Entries = append(answer.Entries, vm.Callers)
			}
		default:
			others = append(others, vm.Callers)
		}
	}
	answer.Entries = append(answer.Entries, others...)
	return c.JSON(answer)
}

type modelRow struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (e *Entry) serveModels(c fiber.Ctx) error {
	snap, team, err := e.authenticate(c)
	if err != nil {
		return e.refuse(c, err)
	}
	rows := make([]modelRow, 0, len(team.Services))
	for _, name := range team.Services {
		if svc := snap.Service(name); svc != nil && svc.Model != "" {
			rows = append(rows, modelRow{ID: name, Object: "model"})
		}
	}
	return c.JSON(fiber.Map{"object": "list", "data": rows})
}

// authenticate returns the configuration that the request is handled under, from
// start to end, and its team.
func (e *Entry) authenticate(c fiber.Ctx) (*config.Snapshot, *config.Team, error) {
	snap := e.current.Load()
	if snap == nil {
		return nil, nil, result.New(result.NoConfig, "no configuration yet")
	}
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok {
		return nil, nil, result.New(result.Unauthorized, "want Authorization: Bearer KEY")
	}
	team := snap.TeamByKey(key)
	if team == nil {
		return nil, nil, result.New(result.Unauthorized, "the key belongs to no team")
	}
	return snap, team, nil
}

func (e *Entry) serveCompletion(c fiber.Ctx) error {
	var body struct {
		Model string `json:"model"`
	}
	if err := c.App().Config().JSONDecoder(c.Body(), &body); err != nil {
		return e.refuse(c, result.New(result.BadRequest, "body: %w", err))
	}
	return e.serve(c, strings.Clone(body.Model), strings.Clone(c.Path()))
}

func (e *Entry) servePlain(c fiber.Ctx) error {
	path := "/" + c.Params("*")
	if q := c.RequestCtx().URI().QueryString(); len(q) > 0 {
		path += "?" + string(q)
	}
	return e.serve(c, strings.Clone(c.Params("service")), strings.Clone(path))
}

// serve runs a request and streams its answer back.
func (e *Entry) serve(c fiber.Ctx, service, path string) error {
	snap, team, err := e.authenticate(c)
	if err != nil {
		return e.refuse(c, err)
	}
	call, err := newCall(c, snap, team, service, path)
	if err != nil {
		return e.refuse(c, err)
	}
	c.Set(HeaderRequestID, call.ID)
	ctx, cancel := context.WithCancelCause(context.Background())
	stop := watchCaller(c, cancel)
	e.begin()
	x, err := e.Do(ctx, snap, call)
	if err != nil {
		stop()
		cancel(nil)
		e.end()
		return e.refuse(c, err)
	}
	e.answer(c, x, func() {
		stop()
		cancel(nil)
		e.end()
	})
	return nil
}

func watchCaller(c fiber.Ctx, cancel context.CancelCauseFunc) func() {
	conn, ok := c.RequestCtx().Conn().(*callerConn)
	if !ok {
		return func() {}
	}
	return conn.watch(func() { cancel(result.New(result.CallerGone, "caller closed its connection")) })
}

// newCall copies everything out of the library's buffers, which it reuses for
// another caller's request once the handler has returned.
func newCall(c fiber.Ctx, snap *config.Snapshot, team *config.Team, service, path string) (*Call, error) {
	svc := snap.Service(service)
	if svc == nil {
		return nil, result.New(result.UnknownService, "no service %q", service)
	}
	allowed := false
	for _, name := range team.Services {
		allowed = allowed || name == service
	}
	if !allowed {
		return nil, result.New(result.ServiceDenied, "team %s may not use %s", team.Name, service)
	}
	call := &Call{
		ID:         ulid.Make().String(),
		Team:       team.Name,
		Service:    service,
		Method:     strings.Clone(c.Method()),
		Path:       path,
		Headers:    []wire.Header{{Name: "Content-Type", Value: strings.Clone(c.Get(fiber.HeaderContentType))}},
		Body:       append([]byte(nil), c.Body()...),
		Key:        strings.Clone(c.Get(HeaderKey)),
		Repeatable: true,
	}
	return call, call.readHeaders(c, snap.Policy(svc))
}

func (call *Call) readHeaders(c fiber.Ctx, policy *config.Policy) error {
	switch v := c.Get(HeaderRepeatable); v {
	case "", "yes":
	case "no":
		call.Repeatable = false
		if call.Key == "" {
			return result.New(result.KeyMissing, "%s: no needs an %s", HeaderRepeatable, HeaderKey)
		}
	default:
		return result.New(result.MalformedHeader, "%s: %q is not allowed, send yes or no", HeaderRepeatable, v)
	}
	wait := policy.Deadline
	if v := c.Get(HeaderDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 32)
		if err != nil || ms <= 0 {
			return result.New(result.MalformedHeader, "%s: %q is no number of milliseconds", HeaderDeadline, v)
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	call.Deadline = time.Now().Add(wait)
	if v := c.Get(HeaderPriority); v != "" {
		n, err := strconv.ParseInt(v, 10, 8)
		if err != nil {
			return result.New(result.MalformedHeader, "%s: %q is no number from -128 to 127", HeaderPriority, v)
		}
		call.Priority = int8(n)
	}
	return nil
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "transfer-encoding": true,
	"content-length": true, "te": true, "trailer": true, "upgrade": true, "date": true, "server": true,
}

// answer hands the exchange to the library as a body that it reads while it
// writes to the caller: a slow caller holds back the target, and a body that
// ends with an error closes the connection instead of looking complete.
func (e *Entry) answer(c fiber.Ctx, x *Exchange, done func()) {
	resp := c.Response()
	resp.SetStatusCode(x.Answer.Status)
	sse := false
	for _, h := range x.Answer.Headers {
		if !hopHeaders[strings.ToLower(h.Name)] {
			resp.Header.Set(h.Name, h.Value)
		}
		sse = sse || (strings.EqualFold(h.Name, "Content-Type") && strings.HasPrefix(h.Value, "text/event-stream"))
	}
	resp.Header.Set(HeaderTarget, x.Target)
	resp.Header.Set(HeaderRun, result.RunDone.String())
	resp.SetBodyStream(&answerBody{entry: e, x: x, done: done, sse: sse}, -1)
}

type answerBody struct {
	entry  *Entry
	x      *Exchange
	done   func()
	rest   []byte
	sse    bool
	failed error
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.failed != nil {
			return 0, b.failed
		}
		data, err := b.x.Recv()
		if err != nil {
			b.end(err)
			continue
		}
		b.rest = data
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// end decides how the body stops: cleanly, or with an error event (where the
// caller reads events) and a cut connection.
func (b *answerBody) end(err error) {
	b.failed = err
	if errors.Is(err, io.EOF) {
		b.entry.opts.Metrics.Result(result.OK)
		b.failed = io.EOF
		return
	}
	r := result.From(err)
	b.entry.opts.Metrics.Result(r.Code)
	if b.sse {
		b.rest = fmt.Appendf(nil, "event: error\ndata: %s\n\n", errorJSON(r))
	}
}

// Close implements io.Closer; the library calls it when the answer is over.
func (b *answerBody) Close() error {
	b.x.Close()
	b.done()
	return nil
}
