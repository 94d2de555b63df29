package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// order is the body of a request: what the stand-in shall answer.
type order struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	Events int    `json:"events"`
	EveryU int    `json:"every_us"` // microseconds between events; 0: as fast as they are read
	Bytes  int    `json:"bytes"`    // size of an event
}

// standin is an engine that streams events, each with the time at which it was
// sent, so that a receiver can tell how long it was under way.
type standin struct {
	base   time.Time
	active atomic.Int64
	gone   chan time.Duration // when the callers of endless orders were missed
}

const (
	prefix = `data: {"t":"`
	middle = `","choices":[{"index":0,"text":"`
	suffix = `"}]}` + "\n\n"
	last   = "data: [DONE]\n\n"
	// stampWidth holds nanoseconds in a fixed width.
	stampWidth = 16
	smallest   = len(prefix) + stampWidth + len(middle) + len(suffix)
)

// ServeHTTP implements http.Handler.
func (s *standin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	s.stream(w, r, &o)
}

func (s *standin) stream(w http.ResponseWriter, r *http.Request, o *order) {
	var ticks <-chan time.Time
	if o.EveryU > 0 {
		ticker := time.NewTicker(time.Duration(o.EveryU) * time.Microsecond)
		defer ticker.Stop()
		ticks = ticker.C
	}
	flusher := http.NewResponseController(w)
	event := make([]byte, max(o.Bytes, smallest))
	for range o.Events {
		if ticks != nil {
			select {
			case <-ticks:
			case <-r.Context().Done():
				s.missed()
				return
			}
		}
		s.stamp(event)
		if _, err := w.Write(event); err != nil {
			return
		}
		if ticks != nil && flusher.Flush() != nil {
			return
		}
	}
	_, _ = w.Write([]byte(last)) // a client that left needs no end
}

func (s *standin) missed() {
	select {
	case s.gone <- time.Since(s.base):
	default:
	}
}

// stamp writes an event with the present time and filling.
func (s *standin) stamp(event []byte) {
	copy(event, prefix)
	digits := strconv.AppendInt(nil, time.Since(s.base).Nanoseconds(), 10)
	at := event[len(prefix) : len(prefix)+stampWidth]
	for i := range at {
		at[i] = '0'
	}
	copy(at[stampWidth-len(digits):], digits)
	copy(event[len(prefix)+stampWidth:], middle)
	for i := len(prefix) + stampWidth + len(middle); i < len(event)-len(suffix); i++ {
		event[i] = 'x'
	}
	copy(event[len(event)-len(suffix):], suffix)
}
