package outside

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Paths of the HTTP services of the platform.
const (
	PathAppend = "/log/append"
	PathRead   = "/log/read"
	PathVMs    = "/vms"
)

// AppendRequest is the JSON body of an append request.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendReply is the JSON response to an append. Offset is that of the first record.
type AppendReply struct {
	Offset uint64 `json:"offset"`
}

// ReadReply is the JSON response to a read, see Page.
type ReadReply struct {
	First   uint64   `json:"first"`
	Next    uint64   `json:"next"`
	Records [][]byte `json:"records"`
}

const maxReplyBytes = 64 << 20

// HTTPLog is a client of the log service over HTTP.
type HTTPLog struct{ Addr string }

// Append implements Log. Except for a failure to encode the records, every error wraps
// ErrUnknownOutcome, because the platform may lose the response after the append took effect.
func (l *HTTPLog) Append(ctx context.Context, records [][]byte) (uint64, error) {
	body, err := json.Marshal(AppendRequest{Records: records})
	if err != nil {
		return 0, fmt.Errorf("encode append: %w", err)
	}
	var reply AppendReply
	call := &Call{Method: http.MethodPost, Path: PathAppend, Body: body}
	if err := callJSON(ctx, l.Addr, call, &reply); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return reply.Offset, nil
}

// Read implements Log.
func (l *HTTPLog) Read(ctx context.Context, from uint64, max int, wait time.Duration) (Page, error) {
	path := fmt.Sprintf("%s?from=%d&max=%d&wait_ms=%d", PathRead, from, max, wait.Milliseconds())
	var reply ReadReply
	if err := callJSON(ctx, l.Addr, &Call{Method: http.MethodGet, Path: path}, &reply); err != nil {
		return Page{First: reply.First}, err
	}
	return Page(reply), nil
}

func callJSON(ctx context.Context, addr string, call *Call, into any) error {
	reply, body, err := callBuffered(ctx, addr, call)
	if err != nil {
		return err
	}
	return decodeJSON(call, reply, body, into)
}

// callBuffered runs a call and reads the complete response body.
func callBuffered(ctx context.Context, addr string, call *Call) (*Reply, []byte, error) {
	b := NewHTTPBackend(addr)
	defer b.Close()
	reply, err := b.Run(ctx, call)
	if err != nil {
		return nil, nil, fmt.Errorf("%s %s: %w", call.Method, call.Path, err)
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxReplyBytes))
	if err != nil {
		return nil, nil, fmt.Errorf("%s %s: %w", call.Method, call.Path, err)
	}
	return reply, body, nil
}

func decodeJSON(call *Call, reply *Reply, body []byte, into any) error {
	if reply.Status == http.StatusGone {
		// The body contains the oldest offset. If it cannot be decoded, the reader
		// retries.
		_ = json.Unmarshal(body, into)
		return ErrTrimmed
	}
	if reply.Status != http.StatusOK {
		return fmt.Errorf("%s %s: status %s", call.Method, call.Path, strconv.Itoa(reply.Status))
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%s %s: decode: %w", call.Method, call.Path, err)
	}
	return nil
}
