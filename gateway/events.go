package gateway

import (
	"bytes"
	"errors"
	"strconv"
)

// eventScanner splits a stream of server-sent events into complete events and checks that their
// ids are consecutive.
//
// A target may stop within an event, repeat events after a resumption, or leave events out. The
// scanner forwards only complete events with the next id, so a stream that resumes at another
// target has no gaps, duplicates or partial events.
type eventScanner struct {
	pending []byte // start of the next event
	scanned int    // bytes of pending in which no event ends
	lastID  int64  // id of the last forwarded event; -1 before the first
}

var (
	errEventGap       = errors.New("event ids in the stream are not consecutive")
	errEventTooLarge  = errors.New("event exceeds the size limit")
	errEventTruncated = errors.New("stream ended within an event")
)

const maxEventBytes = 1 << 20

// add consumes bytes of the stream and appends the complete events to out.
func (s *eventScanner) add(out, data []byte) ([]byte, error) {
	s.pending = append(s.pending, data...)
	consumed := 0
	for {
		end := eventEnd(s.pending[consumed:], s.scanned)
		if end < 0 {
			break
		}
		s.scanned = 0
		event := s.pending[consumed : consumed+end]
		consumed += end
		forward, err := s.accept(event)
		if err != nil {
			return out, err
		}
		if forward {
			out = append(out, event...)
		}
	}
	s.pending = append(s.pending[:0], s.pending[consumed:]...)
	s.scanned = max(len(s.pending)-len(crlfEventEnd)+1, 0)
	if len(s.pending) > maxEventBytes {
		return out, errEventTooLarge
	}
	return out, nil
}

// Ends of an event.
const (
	lfEventEnd   = "\n\n"
	crlfEventEnd = "\r\n\r\n"
)

// eventEnd returns the length of the first complete event, -1 if there is none. No event ends in the
// first scanned bytes.
func eventEnd(b []byte, scanned int) int {
	lf := bytes.Index(b[scanned:], []byte(lfEventEnd))
	crlf := bytes.Index(b[scanned:], []byte(crlfEventEnd))
	switch {
	case crlf >= 0 && (lf < 0 || crlf < lf):
		return scanned + crlf + len(crlfEventEnd)
	case lf >= 0:
		return scanned + lf + len(lfEventEnd)
	}
	return -1
}

// accept reports whether an event is to be forwarded. Events without an id always are, repeated
// events never. The error is errEventGap if events are missing before this one.
func (s *eventScanner) accept(event []byte) (bool, error) {
	id, ok := eventID(event)
	if !ok {
		return true, nil
	}
	switch {
	case id <= s.lastID:
		return false, nil
	case s.lastID >= 0 && id != s.lastID+1:
		return false, errEventGap
	}
	s.lastID = id
	return true, nil
}

// eventID returns the number in the id line of an event.
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

// discardPending drops the partial event of a broken stream.
func (s *eventScanner) discardPending() { s.pending, s.scanned = s.pending[:0], 0 }

// hasPartialEvent reports whether an event has started and not ended.
func (s *eventScanner) hasPartialEvent() bool { return len(bytes.TrimSpace(s.pending)) > 0 }
