package entry

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/wire"
)

// newCall copies everything out of the library's buffers, which it reuses for
// another caller's request once the handler has returned.
func newCall(c fiber.Ctx, snap *config.Snapshot, team *config.Team, service, path string) (*Call, error) {
	svc := snap.Service(service)
	if svc == nil {
		return nil, result.New(result.UnknownService, "no service %q", service)
	}
	if !slices.Contains(team.Services, service) {
		return nil, result.New(result.ServiceDenied, "team %s may not use %s", team.Name, service)
	}
	if !plainPath(path) {
		return nil, result.New(result.BadRequest, "the path holds spaces or control characters")
	}
	call := &Call{
		ID:         requestID(c),
		Team:       team.Name,
		Service:    service,
		Method:     strings.Clone(c.Method()),
		Path:       path,
		Headers:    passedOn(c),
		Body:       append([]byte(nil), c.Body()...),
		Key:        strings.Clone(c.Get(HeaderKey)),
		Repeatable: true,
	}
	return call, call.readHeaders(c, snap.Policy(svc))
}

// passedHeaders go on to the target; all others of a caller stop here, above all
// its key.
var passedHeaders = []string{
	fiber.HeaderContentType,
	fiber.HeaderAccept,
	fiber.HeaderIfNoneMatch,
	fiber.HeaderIfModifiedSince,
	fiber.HeaderRange,
}

func passedOn(c fiber.Ctx) []wire.Header {
	var headers []wire.Header
	for _, name := range passedHeaders {
		if v := c.Get(name); v != "" {
			headers = append(headers, wire.Header{Name: name, Value: strings.Clone(v)})
		}
	}
	return headers
}

// plainPath refuses what could end the request line towards the target and begin
// a second request there.
func plainPath(path string) bool {
	return !strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// Limits on what a caller may ask for.
const (
	maxDeadline = time.Hour
	maxKey      = 255 // bytes of an idempotency key, which targets remember
)

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
	if len(call.Key) > maxKey {
		return result.New(result.MalformedHeader, "%s of %d bytes, at most %d are allowed", HeaderKey, len(call.Key), maxKey)
	}
	wait := policy.Deadline
	if v := c.Get(HeaderDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 32)
		if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return result.New(result.MalformedHeader, "%s: %q is no number of milliseconds from 1 to %d", HeaderDeadline, v, maxDeadline.Milliseconds())
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
