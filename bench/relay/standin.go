package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// streamRequest is the body of a request. It defines the stream that the stand-in answers with.
type streamRequest struct {
	Model           string `json:"model"`
	Stream          bool   `json:"stream"`
	Events          int    `json:"events"`
	EventIntervalUS int    `json:"every_us"` // microseconds between events; 0: as fast as the client reads
	Bytes           int    `json:"bytes"`    // size of an event
}

// standin is a stand-in for an engine that streams events. Each event contains the time at which it
// was sent, so that the client can compute the delay of the event.
type standin struct {
	base           time.Time
	activeRequests atomic.Int64
	disconnects    chan time.Duration // times since base at which the stand-in detected that a caller had disconnected
}

const (
	eventPrefix = `data: {"t":"`
	eventMiddle = `","choices":[{"index":0,"text":"`
	eventSuffix = `"}]}` + "\n\n"
	doneEvent   = "data: [DONE]\n\n"
	// stampWidth is the number of digits of the time stamp in nanoseconds.
	stampWidth    = 16
	minEventBytes = len(eventPrefix) + stampWidth + len(eventMiddle) + len(eventSuffix)
)

// ServeHTTP implements http.Handler.
func (s *standin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o streamRequest
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.activeRequests.Add(1)
	defer s.activeRequests.Add(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	s.stream(w, r, &o)
}

// stream sends the events of a request, and the final event.
func (s *standin) stream(w http.ResponseWriter, r *http.Request, request *streamRequest) {
	var ticks <-chan time.Time
	if request.EventIntervalUS > 0 {
		ticker := time.NewTicker(time.Duration(request.EventIntervalUS) * time.Microsecond)
		defer ticker.Stop()
		ticks = ticker.C
	}
	flusher := http.NewResponseController(w)
	event := make([]byte, max(request.Bytes, minEventBytes))
	for range request.Events {
		if ticks != nil {
			select {
			case <-ticks:
			case <-r.Context().Done():
				s.reportDisconnect()
				return
			}
		}
		s.writeEvent(event)
		if _, err := w.Write(event); err != nil {
			return
		}
		if ticks != nil && flusher.Flush() != nil {
			return
		}
	}
	_, _ = w.Write([]byte(doneEvent)) // an error means that the client has disconnected
}

// reportDisconnect sends the current time to s.disconnects, unless that is full.
func (s *standin) reportDisconnect() {
	select {
	case s.disconnects <- time.Since(s.base):
	default:
	}
}

// writeEvent writes an event with the current time stamp and padding into event.
func (s *standin) writeEvent(event []byte) {
	copy(event, eventPrefix)
	digits := strconv.AppendInt(nil, time.Since(s.base).Nanoseconds(), 10)
	stamp := event[len(eventPrefix) : len(eventPrefix)+stampWidth]
	for i := range stamp {
		stamp[i] = '0'
	}
	copy(stamp[stampWidth-len(digits):], digits)
	copy(event[len(eventPrefix)+stampWidth:], eventMiddle)
	for i := len(eventPrefix) + stampWidth + len(eventMiddle); i < len(event)-len(eventSuffix); i++ {
		event[i] = 'x'
	}
	copy(event[len(event)-len(eventSuffix):], eventSuffix)
}
