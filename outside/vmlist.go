package outside

import (
	"context"
	"net/http"
	"slices"
	"sync"
)

const (
	headerETag        = "ETag"
	headerIfNoneMatch = "If-None-Match"
)

// HTTPVMList is the platform's VM list over HTTP. It asks with the entity tag of
// the list that it holds (RFC 9110, 13.1.2): at the coming size the list is about
// 300 KB, is asked for twice a second and changes every few minutes. A platform
// that knows no entity tags sends the whole list each time.
type HTTPVMList struct {
	Addr string

	mu   sync.Mutex
	etag string
	held []VM
}

// List implements VMList.
func (l *HTTPVMList) List(ctx context.Context) ([]VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	call := &Call{Method: http.MethodGet, Path: PathVMs}
	if l.etag != "" {
		call.Headers = [][2]string{{headerIfNoneMatch, l.etag}}
	}
	reply, text, err := callWhole(ctx, l.Addr, call)
	if err != nil {
		return nil, err
	}
	if reply.Status == http.StatusNotModified && l.etag != "" {
		return slices.Clone(l.held), nil
	}
	var vms []VM
	if err := decodeJSON(call, reply, text, &vms); err != nil {
		return nil, err
	}
	l.etag, l.held = Header(reply.Headers, headerETag), vms
	return slices.Clone(vms), nil
}
