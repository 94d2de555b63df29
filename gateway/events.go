package gateway

import (
	"bytes"
	"errors"
	"strconv"
)

// eventScanner cuts a stream of server-sent events into whole events and checks
// that their ids follow each other.
//
// Failure: a target stops in the middle of an event, repeats events after a
// resumption, or leaves some out. Symptom: the caller reads a text with a gap, a
// doubled piece or half a line. Only whole events with the next id go on, so a
// stream that goes on elsewhere joins without a seam.
type eventScanner struct {
	rest []byte // what has come of the next event
	last int64  // id of the last event passed on; -1 before the first
}

var (
	errEventGap  = errors.New("events are missing in the stream")
	errEventSize = errors.New("event is too long")
	errEventHalf = errors.New("stream ended in the middle of an event")
)

// eventMax bounds one event.
const eventMax = 1 << 20

// add takes bytes of the stream and appends the whole events in them to out.
func (s *eventScanner) add(out, data []byte) ([]byte, error) {
	s.rest = append(s.rest, data...)
	from := 0
	for {
		end := eventEnd(s.rest[from:])
		if end < 0 {
			break
		}
		event := s.rest[from : from+end]
		from += end
		keep, err := s.accept(event)
		if err != nil {
			return out, err
		}
		if keep {
			out = append(out, event...)
		}
	}
	s.rest = append(s.rest[:0], s.rest[from:]...)
	if len(s.rest) > eventMax {
		return out, errEventSize
	}
	return out, nil
}

// eventEnd returns the length of the first whole event, -1 if there is none.
func eventEnd(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case crlf >= 0 && (lf < 0 || crlf < lf):
		return crlf + len("\r\n\r\n")
	case lf >= 0:
		return lf + len("\n\n")
	}
	return -1
}

// accept tells whether an event is to be passed on.
func (s *eventScanner) accept(event []byte) (bool, error) {
	id, ok := eventID(event)
	if !ok {
		return true, nil
	}
	switch {
	case id <= s.last:
		return false, nil
	case s.last >= 0 && id != s.last+1:
		return false, errEventGap
	}
	s.last = id
	return true, nil
}

// eventID returns the number in an event's id line.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}

// restart forgets what has come of an event whose stream broke.
func (s *eventScanner) restart() { s.rest = s.rest[:0] }

// half tells whether an event has begun and not ended.
func (s *eventScanner) half() bool { return len(bytes.TrimSpace(s.rest)) > 0 }
