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

// HTTPVMList is a client of the VM list over HTTP. It sends the entity tag of its
// cached list (RFC 9110, 13.1.2): at the planned size the list is about 300 KB, is
// requested twice a second and changes every few minutes. A platform without entity
// tags sends the whole list each time.
type HTTPVMList struct {
	Addr string

	mu     sync.Mutex
	etag   string
	cached []VM
}

// List implements VMList.
func (l *HTTPVMList) List(ctx context.Context) ([]VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	call := &Call{Method: http.MethodGet, Path: PathVMs}
	if l.etag != "" {
		call.Headers = [][2]string{{headerIfNoneMatch, l.etag}}
	}
	reply, body, err := callBuffered(ctx, l.Addr, call)
	if err != nil {
		return nil, err
	}
	if reply.Status == http.StatusNotModified && l.etag != "" {
		return slices.Clone(l.cached), nil
	}
	var vms []VM
	if err := decodeJSON(call, reply, body, &vms); err != nil {
		return nil, err
	}
	l.etag, l.cached = Header(reply.Headers, headerETag), vms
	return slices.Clone(vms), nil
}
