package fake

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/outside"
)

// Rest is a time for which a target has asked for no more calls, with the calls that arrived in it.
type Rest struct {
	From, Until time.Time
	Arrivals    []time.Time
}

// restState makes a target reject calls and ask for rest.
type restState struct {
	mu    sync.Mutex
	rest  time.Duration // time of rest asked for in each reply; 0: calls are served
	rests []*Rest
}

func (s *restState) set(rest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rest = rest
}

// reject records a call. It returns the reply that rejects the call, nil if the call is served.
func (s *restState) reject() *outside.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, r := range s.rests {
		if now.Before(r.Until) {
			r.Arrivals = append(r.Arrivals, now)
		}
	}
	if s.rest == 0 {
		return nil
	}
	s.rests = append(s.rests, &Rest{From: now, Until: now.Add(s.rest)})
	reply := jsonReply(http.StatusServiceUnavailable, map[string]string{"error": "overloaded"})
	reply.Headers = append(reply.Headers, [2]string{"Retry-After", strconv.FormatFloat(s.rest.Seconds(), 'f', -1, 64)})
	return reply
}

func (s *restState) all() []Rest {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Rest
	for _, r := range s.rests {
		list = append(list, Rest{From: r.From, Until: r.Until, Arrivals: append([]time.Time(nil), r.Arrivals...)})
	}
	return list
}
