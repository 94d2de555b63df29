package entry

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/oklog/ulid/v2"
	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/callers"
	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/shedding"
)

// Headers of the HTTP interface for callers.
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
	defaultRequestTimeout = 30 * time.Second // limit for reading a whole request, if the settings have none
	callerIdleTimeout     = 2 * time.Minute
	callerReadBufferBytes = 8 << 10 // also the limit on the headers of a request
	defaultCallerMemory   = 128 << 20
)

func (e *Entry) newApp() *fiber.App {
	app := fiber.New(fiber.Config{
		ReadBufferSize: callerReadBufferBytes,
		ErrorHandler:   e.httpError,
	})
	app.Use(func(c fiber.Ctx) error {
		requestID(c)
		return c.Next()
	})
	app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", e.serveReady)
	app.Get("/metrics", e.serveMetrics)
	app.Get("/v1/entries", e.serveEntries)
	app.Get("/v1/models", e.serveModels)
	app.Get("/v1/explain/:id", e.serveExplain)
	app.Post("/v1/completions", e.serveCompletion)
	app.Post("/v1/chat/completions", e.serveCompletion)
	app.All("/v1/services/:service/*", e.servePlainService)
	return app
}

// newCallerServer returns the server for callers, which bounds what they make the process hold.
func (e *Entry) newCallerServer() *callers.Server {
	e.app.Handler() // prepares the routes
	server := e.app.Server()
	server.ExpectHandler = e.checkExpectation
	server.HeaderReceived = func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
		return fasthttp.RequestConfig{ReadTimeout: e.requestTimeout()}
	}
	limits := shedding.Limits{
		Connections: e.opts.Settings.MaxCallers,
		Bytes:       cmp.Or(int(e.opts.Settings.CallerMemory), defaultCallerMemory),
		MinSilence:  callers.MinSilence,
	}
	timeouts := func() callers.Timeouts { return callers.Timeouts{Head: e.requestTimeout(), Idle: callerIdleTimeout} }
	observer := e.opts.Metrics.Observer()
	observer.Refused = e.refuseConn
	return callers.NewServer(server, limits, timeouts, observer)
}

func (e *Entry) requestTimeout() time.Duration {
	return cmp.Or(e.opts.Settings.RequestTimeout, defaultRequestTimeout)
}

// maxBodyBytes returns the limit on a body: that of the settings, and at most what one caller may hold. The message to the agent is a second copy.
func (e *Entry) maxBodyBytes() int {
	return min(int(e.opts.Settings.MaxBody), e.callers.MaxBodyBytes()/2)
}

// checkExpectation decides on its head whether a caller that waits for it is to send its body.
func (e *Entry) checkExpectation(c *fasthttp.RequestCtx) int {
	if c.Request.Header.ContentLength() > e.maxBodyBytes() {
		return fasthttp.StatusRequestEntityTooLarge
	}
	return fasthttp.StatusContinue
}

// receiveBody reads the body of a request.
func (e *Entry) receiveBody(c fiber.Ctx) ([]byte, error) {
	conn, ok := c.RequestCtx().Conn().(*callers.Conn)
	if !ok {
		return c.BodyRaw(), nil // a test without connections
	}
	if length := c.Request().Header.ContentLength(); length > e.maxBodyBytes() {
		return nil, result.New(result.BodyTooLarge, "body of %d bytes exceeds the limit of %d", length, e.maxBodyBytes())
	}
	b, err := callers.ReadBody(c.RequestCtx(), e.maxBodyBytes(), conn.Began().Add(e.requestTimeout()))
	if err != nil {
		return nil, callers.ReceiveError(err)
	}
	body, err := b.Bytes()
	if err == nil {
		err = conn.Reserve(b.Len()) // for the message to the agent
	}
	if err != nil {
		return nil, callers.ReceiveError(err)
	}
	return body, nil
}

// httpError answers a request that the HTTP library rejects.
func (e *Entry) httpError(c fiber.Ctx, err error) error {
	var fe *fiber.Error
	if errors.As(err, &fe) {
		return e.refuse(c, &result.Error{Code: codeForStatus(fe.Code), Detail: fe.Message})
	}
	return e.refuse(c, err)
}

// codeForStatus returns the result code for a status that the HTTP library chose.
func codeForStatus(status int) result.Code {
	switch status {
	case fiber.StatusNotFound:
		return result.UnknownPath
	case fiber.StatusMethodNotAllowed:
		return result.MethodNotAllowed
	case fiber.StatusRequestTimeout:
		return result.RequestTimeout
	case fiber.StatusRequestEntityTooLarge:
		return result.BodyTooLarge
	case fiber.StatusRequestHeaderFieldsTooLarge:
		return result.HeadersTooLarge
	default:
		return result.BadRequest
	}
}

// requestID returns the id of the request. The first call for a request assigns the id.
func requestID(c fiber.Ctx) string {
	if id := c.Response().Header.Peek(HeaderRequestID); len(id) > 0 {
		return string(id)
	}
	id := ulid.Make().String()
	c.Set(HeaderRequestID, id)
	return id
}

func (e *Entry) serveReady(c fiber.Ctx) error {
	if e.current.Load() == nil || e.leaving.Load() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

func (e *Entry) serveMetrics(c fiber.Ctx) error {
	e.opts.Metrics.Gauge("targets_linked", float64(e.Linked()))
	e.opts.Metrics.Gauge("registered", boolGauge(e.Registered()))
	e.opts.Metrics.Gauge("requests_in_flight", float64(e.inFlight.Load()))
	var b strings.Builder
	if err := e.opts.Metrics.Write(&b); err != nil {
		return err
	}
	return c.SendString(b.String())
}

// boolGauge returns the gauge value of a condition.
func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// EntriesAnswer is the body of GET /v1/entries.
type EntriesAnswer struct {
	Entries         []string `json:"entries"`  // addresses in order of preference
	LifetimeSeconds int      `json:"lifetime"` // seconds for which a caller may cache the answer
}

// serveEntries lists this entry first, then the other usable entries. Entries that enforce the
// limits of the caller's team move to the front.
func (e *Entry) serveEntries(c fiber.Ctx) error {
	answer := EntriesAnswer{LifetimeSeconds: int(e.opts.Settings.DirectoryTTL.Seconds())}
	vms := e.vms.Load()
	if vms == nil {
		vms = new([]outside.VM)
	}
	var others []string
	for _, vm := range *vms {
		switch {
		case vm.Role != outside.RoleEntry || vm.State != outside.StateLive:
		case vm.Name == e.opts.Settings.Name:
			if !e.leaving.Load() && e.current.Load() != nil {
				answer.Entries = append(answer.Entries, vm.Callers)
			}
		case e.node.Usable(vm.Name):
			others = append(others, vm.Callers)
		}
	}
	answer.Entries = append(answer.Entries, others...)
	e.preferTeamEntries(c, answer.Entries)
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

// authenticate returns the team of the caller, and the configuration that the whole request is
// handled under.
func (e *Entry) authenticate(c fiber.Ctx) (*config.Snapshot, *config.Team, error) {
	snap := e.current.Load()
	if snap == nil {
		return nil, nil, result.New(result.NoConfig, "no configuration yet")
	}
	scheme, key, ok := strings.Cut(c.Get(fiber.HeaderAuthorization), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return nil, nil, result.New(result.Unauthorized, "expected header Authorization: Bearer KEY")
	}
	team := snap.TeamByKey(key)
	if team == nil {
		return nil, nil, result.New(result.Unauthorized, "the key belongs to no team")
	}
	return snap, team, nil
}

// receive returns the configuration, the team and the body of a request.
func (e *Entry) receive(c fiber.Ctx) (*config.Snapshot, *config.Team, []byte, error) {
	snap, team, err := e.authenticate(c)
	if err != nil {
		return nil, nil, nil, err
	}
	body, err := e.receiveBody(c)
	return snap, team, body, err
}

func (e *Entry) serveCompletion(c fiber.Ctx) error {
	snap, team, body, err := e.receive(c)
	if err != nil {
		return e.refuse(c, err)
	}
	var model struct {
		Model string `json:"model"`
	}
	if err := c.App().Config().JSONDecoder(body, &model); err != nil {
		return e.refuse(c, result.New(result.BadRequest, "decode body: %w", err))
	}
	return e.serveRequest(c, snap, team, strings.Clone(model.Model), strings.Clone(c.Path()), body)
}

func (e *Entry) servePlainService(c fiber.Ctx) error {
	snap, team, body, err := e.receive(c)
	if err != nil {
		return e.refuse(c, err)
	}
	return e.serveRequest(c, snap, team, strings.Clone(c.Params("service")), pathAtService(c.RequestCtx()), body)
}

// servicePathSlashes is the number of slashes in /v1/services/SERVICE.
const servicePathSlashes = 3

// pathAtService returns the path and query behind /v1/services/SERVICE as the caller sent them. The
// router's parameter lacks a slash at the end of the path.
func pathAtService(c *fasthttp.RequestCtx) string {
	path := string(c.URI().PathOriginal())
	for range servicePathSlashes + 1 {
		_, path, _ = strings.Cut(path, "/")
	}
	path = "/" + path
	if bytes.ContainsRune(c.Request.Header.RequestURI(), '?') {
		path += "?" + string(c.URI().QueryString())
	}
	return path
}

// serveRequest runs a request and streams its answer to the caller.
func (e *Entry) serveRequest(c fiber.Ctx, snap *config.Snapshot, team *config.Team, service, path string, body []byte) error {
	call, err := newCall(c, snap, team, service, path, body)
	if err != nil {
		return e.refuse(c, err)
	}
	release, err := e.admit(snap, team, call)
	if err != nil {
		return e.refuse(c, err)
	}
	startedAt := time.Now()
	ctx, cancel := context.WithCancelCause(context.Background())
	stopWatch := watchCaller(c, cancel)
	e.requestStarted()
	exchange, err := e.Do(ctx, snap, call)
	if err != nil {
		stopWatch()
		cancel(nil)
		release()
		e.requestEnded()
		return e.refuse(c, err)
	}
	e.streamAnswer(c, &answerBody{
		entry:     e,
		call:      call,
		exchange:  exchange,
		startedAt: startedAt,
		onClose: func() {
			stopWatch()
			cancel(nil)
			release()
			e.requestEnded()
		},
	})
	return nil
}

// watchCaller cancels the request when the caller closes its connection. The returned function
// ends the watch.
func watchCaller(c fiber.Ctx, cancel context.CancelCauseFunc) func() {
	conn, ok := c.RequestCtx().Conn().(*callers.Conn)
	if !ok {
		return func() {}
	}
	return conn.WatchDisconnect(func() { cancel(result.New(result.CallerGone, "caller closed its connection")) })
}
