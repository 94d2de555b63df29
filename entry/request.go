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

// newCall validates a request and copies its head out of the HTTP library's buffers, which the library
// reuses for another caller's request once the handler has returned.
func newCall(c fiber.Ctx, snap *config.Snapshot, team *config.Team, service, path string, body []byte) (*Call, error) {
	svc := snap.Service(service)
	if svc == nil {
		return nil, result.New(result.UnknownService, "unknown service %q", service)
	}
	if !slices.Contains(team.Services, service) {
		return nil, result.New(result.ServiceDenied, "team %s may not use service %s", team.Name, service)
	}
	if !isSafePath(path) {
		return nil, result.New(result.BadRequest, "the path contains spaces or control characters")
	}
	call := &Call{
		ID:         requestID(c),
		Team:       team.Name,
		Service:    service,
		Method:     strings.Clone(c.Method()),
		Path:       path,
		Headers:    forwardHeaders(c),
		Body:       body,
		Key:        strings.Clone(c.Get(HeaderKey)),
		Repeatable: true,
	}
	return call, call.readHeaders(c, snap.Policy(svc))
}

// forwardedHeaders are the only caller headers that reach the target. In particular, the
// caller's API key does not.
var forwardedHeaders = []string{
	fiber.HeaderContentType,
	fiber.HeaderContentEncoding,
	fiber.HeaderAccept,
	fiber.HeaderIfNoneMatch,
	fiber.HeaderIfModifiedSince,
	fiber.HeaderRange,
}

// forwardHeaders returns copies of the forwarded headers of a request.
func forwardHeaders(c fiber.Ctx) []wire.Header {
	var headers []wire.Header
	for _, name := range forwardedHeaders {
		if v := c.Get(name); v != "" {
			headers = append(headers, wire.Header{Name: name, Value: strings.Clone(v)})
		}
	}
	return headers
}

// isSafePath rejects characters that could end the request line towards the target and start a
// second request there.
func isSafePath(path string) bool {
	return !strings.ContainsFunc(path, func(r rune) bool { return r <= ' ' || r == 0x7f })
}

// Limits on caller headers.
const (
	maxDeadline = time.Hour
	maxKeyBytes = 255 // longest idempotency key; agents keep keys in memory
)

// readHeaders sets the idempotency, deadline and priority of the call from its headers.
func (call *Call) readHeaders(c fiber.Ctx, policy *config.Policy) error {
	switch v := c.Get(HeaderRepeatable); v {
	case "", "yes":
	case "no":
		call.Repeatable = false
		if call.Key == "" {
			return result.New(result.KeyMissing, "%s: no requires the header %s", HeaderRepeatable, HeaderKey)
		}
	default:
		return result.New(result.MalformedHeader, "%s: invalid value %q, expected yes or no", HeaderRepeatable, v)
	}
	if len(call.Key) > maxKeyBytes {
		return result.New(result.MalformedHeader, "%s is %d bytes long, limit %d", HeaderKey, len(call.Key), maxKeyBytes)
	}
	timeout := policy.Deadline
	if v := c.Get(HeaderDeadline); v != "" {
		ms, err := strconv.ParseInt(v, 10, 32)
		if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return result.New(result.MalformedHeader, "%s: invalid value %q, expected milliseconds from 1 to %d", HeaderDeadline, v, maxDeadline.Milliseconds())
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	call.Deadline = time.Now().Add(timeout)
	if v := c.Get(HeaderPriority); v != "" {
		n, err := strconv.ParseInt(v, 10, 8)
		if err != nil {
			return result.New(result.MalformedHeader, "%s: invalid value %q, expected an integer from -128 to 127", HeaderPriority, v)
		}
		call.Priority = int8(n)
	}
	return nil
}
