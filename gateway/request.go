package gateway

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/serving"
	"github.com/heatherrail/heatherrail/upstream"
)

// request is a caller's request. It is handled under one configuration snapshot from start to end.
type request struct {
	id              string
	arrived         time.Time
	deadline        time.Time // earlier of the caller's deadline and the route's
	callerDeadline  time.Time // deadline by the caller's header, or else by the route's timeout
	route           *serving.Route
	service         *serving.Service
	team            *serving.Team // nil on a public route
	priority        int
	placement       placing.Request // input for placement
	upstreamRequest upstream.Request
	expectsVersion  bool     // targets whose weights have another version reject the request
	resumeAfter     string   // id of the last event that the caller already has
	fingerprint     uint64   // stays the same when the caller repeats the request under a new id
	parts           []uint64 // fingerprints of the parts of the prompt that other requests may share
	maxBodyBytes    int
}

// newRequest validates the head of a caller's request against the configuration. setBody completes the request.
func (g *Gateway) newRequest(ctx *fasthttp.RequestCtx, snap *snapshot) (*request, *result.Error) {
	header := &ctx.Request.Header
	names := &g.opts.Headers
	r := &request{
		id:      string(header.Peek(names.RequestID)),
		arrived: ctx.Time(),
	}
	uri := string(header.RequestURI())
	path, _, _ := strings.Cut(uri, "?")
	if !strings.HasPrefix(uri, "/") {
		return r, result.New(result.BadRequest, "request target %q is not a path", uri)
	}
	r.route = snap.index.Route(string(header.Host()), path)
	if r.route == nil {
		return r, result.New(result.UnknownPath, "no route for host and path in configuration version %d", snap.index.Version)
	}
	if e := r.authenticate(string(header.Peek(names.Key)), snap.index); e != nil {
		return r, e
	}
	if limit := snap.index.Limits.MaxHeaderBytes; limit > 0 && len(header.RawHeaders()) > limit {
		return r, result.New(result.HeadersTooLarge, "headers of %d bytes exceed the limit of %d", len(header.RawHeaders()), limit)
	}
	r.maxBodyBytes = g.maxBodyBytes(&snap.index.Limits)
	if length := header.ContentLength(); length > r.maxBodyBytes {
		return r, result.New(result.BodyTooLarge, "body of %d bytes exceeds the limit of %d", length, r.maxBodyBytes)
	}
	r.service = snap.index.Service(r.route.PickService(rand.Float64()))
	if r.service == nil {
		return r, result.New(result.NoTarget, "route %s has no known service", r.route.Name)
	}
	r.callerDeadline = r.arrived.Add(r.route.Timeout)
	if ms, err := strconv.ParseFloat(string(header.Peek(names.Deadline)), 64); err == nil && ms > 0 {
		r.callerDeadline = r.arrived.Add(time.Duration(ms * float64(time.Millisecond)))
	}
	r.deadline = r.callerDeadline
	if end := r.arrived.Add(r.route.Timeout); r.route.Timeout > 0 && end.Before(r.deadline) {
		r.deadline = end
	}
	r.resumeAfter = string(header.Peek(names.ResumeAfter))
	r.expectsVersion = len(header.Peek(names.Version)) > 0
	r.placement = placing.Request{
		Arrived:          r.arrived,
		Priority:         r.priority,
		LatencyObjective: r.route.LatencyObjective,
		MaxWait:          r.maxQueueWait(),
		Deadline:         r.deadline,
		Size:             parseSize(string(header.Peek(names.Tokens)), string(header.Peek(names.LengthHint)), r.service.Engine),
	}
	if model := r.service.Engine; model != nil {
		r.placement.ExpectedEvents = r.placement.Size.OutputTokens / float64(max(model.StepsPerPass, 1))
	}
	r.upstreamRequest = g.buildUpstreamRequest(ctx, r)
	r.parts = sharedParts(string(header.Peek(names.PromptParts)), r.service.Name)
	return r, nil
}

// setBody sets the body, which is used until the response has been written.
func (r *request) setBody(segments [][]byte) {
	r.upstreamRequest.Body = segments
	r.fingerprint = r.contentHash()
}

// contentHash identifies what the caller asks for, whatever the id, the deadline and the event after
// which a stream is resumed.
func (r *request) contentHash() uint64 {
	team := ""
	if r.team != nil {
		team = r.team.Name
	}
	u := &r.upstreamRequest
	return route.RequestFingerprint(u.Body, team, u.Method, strings.ToLower(u.Host), u.URI)
}

// maxSharedParts limits the parts of one prompt that may become suspects.
const maxSharedParts = 32

// sharedParts returns the fingerprints of the parts of a prompt that other requests may share: all but the last of the list. Entries
// without an id are ignored.
func sharedParts(list, service string) (parts []uint64) {
	last := strings.LastIndexByte(list, ',')
	if last < 0 {
		return nil
	}
	for entry := range strings.SplitSeq(list[:last], ",") {
		id, _, _ := strings.Cut(entry, ":")
		id = strings.ToLower(strings.TrimSpace(id))
		if id == "" {
			continue
		}
		if part := route.PartFingerprint(service, id); !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
		if len(parts) == maxSharedParts {
			break
		}
	}
	return parts
}

func (r *request) authenticate(key string, index *serving.Index) *result.Error {
	r.priority = r.route.Priority
	if r.route.Public || len(index.Teams) == 0 {
		return nil
	}
	r.team = index.Team(key)
	if r.team == nil {
		return result.New(result.Unauthorized, "key belongs to no team in configuration version %d", index.Version)
	}
	if r.team.OverridesPriority {
		r.priority = r.team.Priority
	}
	return nil
}

// parseSize parses the token counts of a request. Length hints are right at the median, but a
// single hint is often far off. Where a request states no count, the model's mean is used.
func parseSize(tokens, hint string, model *serving.EngineModel) placing.Size {
	var size placing.Size
	if model == nil {
		return size
	}
	size = placing.Size{PromptTokens: model.MeanPromptTokens, OutputTokens: model.MeanOutputTokens}
	prompt, maxOutput, ok := strings.Cut(tokens, ",")
	if n, err := strconv.ParseFloat(strings.TrimSpace(prompt), 64); err == nil && ok {
		size.PromptTokens = n
	}
	if n, err := strconv.ParseFloat(hint, 64); err == nil {
		size.OutputTokens = n
	}
	if n, err := strconv.ParseFloat(strings.TrimSpace(maxOutput), 64); err == nil && ok {
		size.OutputTokens = min(size.OutputTokens, n)
	}
	return size
}

// buildUpstreamRequest builds the request to targets without the headers that differ per attempt.
func (g *Gateway) buildUpstreamRequest(ctx *fasthttp.RequestCtx, r *request) upstream.Request {
	header := &ctx.Request.Header
	names := &g.opts.Headers
	req := upstream.Request{
		Method:            string(header.Method()),
		URI:               string(header.RequestURI()),
		Host:              string(header.Host()),
		SendContentLength: len(header.Peek(fasthttp.HeaderContentLength)) > 0 || len(header.Peek(fasthttp.HeaderTransferEncoding)) > 0,
		Fields:            forwardedFields(header, g.reservedHeaders),
		EchoHeader:        names.RequestID,
		EchoValue:         r.id,
	}
	if r.team != nil {
		req.Fields = append(req.Fields, upstream.Field{Name: names.Team, Value: r.team.Name})
	}
	req.Fields = append(req.Fields, upstream.Field{Name: names.Priority, Value: strconv.Itoa(min(max(r.priority, 0), lowestPriority))})
	return req
}

// lowestPriority is the largest priority value that targets support.
const lowestPriority = 9

// requestForAttempt returns the request to send to a target, with the headers that differ per
// attempt.
func (r *request) requestForAttempt(names *HeaderNames, target *serving.Target, now time.Time, resumeAfter string) *upstream.Request {
	req := r.upstreamRequest
	req.Fields = append(make([]upstream.Field, 0, len(r.upstreamRequest.Fields)+3), r.upstreamRequest.Fields...)
	remaining := max(r.deadline.Sub(now).Milliseconds(), 1)
	req.Fields = append(req.Fields,
		upstream.Field{Name: names.Deadline, Value: strconv.FormatInt(remaining, 10)},
		upstream.Field{Name: names.Instance, Value: target.ID})
	if resumeAfter != "" {
		req.Fields = append(req.Fields, upstream.Field{Name: names.ResumeAfter, Value: resumeAfter})
	}
	return &req
}

// firstEventWorkShare is the share of the first-event timeout, or of the time until an earlier
// deadline, that is reserved for the engine's work on the first event.
const firstEventWorkShare = 0.25

// maxQueueWait returns how long the request may wait in the admission queue. Callers disconnect
// if the first event does not arrive within the first-event timeout.
func (r *request) maxQueueWait() time.Duration {
	remaining := r.deadline.Sub(r.arrived)
	if r.route.FirstEventTimeout > 0 {
		remaining = min(remaining, r.route.FirstEventTimeout)
	}
	return fractionOf(remaining, 1-firstEventWorkShare)
}
