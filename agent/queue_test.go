package agent

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/settings"
)

// rejectingBackend rejects each call with a Retry-After.
type rejectingBackend struct {
	retryAfter string
	calls      int
}

func (b *rejectingBackend) Run(context.Context, *outside.Call) (*outside.Reply, error) {
	b.calls++
	headers := [][2]string{{"retry-after", b.retryAfter}}
	return &outside.Reply{Status: http.StatusServiceUnavailable, Headers: headers, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// A Retry-After asks for rest only if it is a valid time.
func TestOnlyAValidRetryAfterAsksForRest(t *testing.T) {
	g := NewWithT(t)
	for text, sends := range map[string]int{"2.5": 1, "1e300": 1, "0": 2, "": 2, "soon": 2, "-1": 2, "NaN": 2, "Inf": 2} {
		backend := &rejectingBackend{retryAfter: text}
		q := newBackendQueue(backend, settings.Agent{Slots: 1, Queue: 1}, func(string) {})
		for range 2 {
			if reply, err := q.Run(t.Context(), &outside.Call{}); err == nil {
				g.Expect(reply.Body.Close()).To(Succeed())
			}
		}
		g.Expect(backend.calls).To(Equal(sends), "Retry-After %q", text)
	}
}
