// Package result holds the numbered result codes of heatherrail.
//
// A code answers three questions at once: what happened, whether the request
// ran, and whether the caller gains anything by waiting. Callers, counters and
// docs/RESULTS.md all use the same table.
package result

import (
	"errors"
	"fmt"
	"io"
	"time"
)

// Run says whether a request reached its target.
type Run uint8

// The three honest statements about a request.
const (
	// RunDone: the target ran the request and the whole answer follows.
	RunDone Run = iota
	// RunNot: the request certainly did not run.
	RunNot
	// RunMaybe: the request may have run; nobody can tell.
	RunMaybe
)

// String returns the value of the Heatherrail-Run header.
func (r Run) String() string {
	switch r {
	case RunDone:
		return "ran"
	case RunNot:
		return "not-run"
	default:
		return "may-have-run"
	}
}

// Code is a numbered result. Numbers are never reused.
type Code uint16

// Info describes one code.
type Info struct {
	Code       Code
	Name       string        // metric tag and JSON "type"
	Status     int           // HTTP status towards the caller
	Run        Run           // what the code says about execution
	RetryAfter time.Duration // zero: waiting does not help
	Meaning    string        // one sentence for the caller
	Operator   string        // what an operator should look at
}

// Error is a result as a Go error.
type Error struct {
	Code       Code
	Detail     string
	RetryAfter time.Duration // overrides the table's value when set
	Cause      error
}

// New returns an Error with a formatted detail; %w records the cause, unless it
// is an io.EOF.
//
// Failure: a connection is lost in mid-answer, and the loss wraps the io.EOF of
// its socket. Symptom: a reader that asks errors.Is(err, io.EOF) for the end of
// the answer takes the loss for it, and the caller gets half an answer that
// looks whole. No result is an io.EOF, so none can be taken for one.
func New(c Code, format string, args ...any) *Error {
	wrapped := fmt.Errorf(format, args...)
	e := &Error{Code: c, Detail: wrapped.Error(), Cause: errors.Unwrap(wrapped)}
	if errors.Is(e.Cause, io.EOF) {
		e.Cause = nil
	}
	return e
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code.Info().Name, e.Detail)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Run tells whether the request ran, according to the code's table entry.
func (e *Error) Run() Run { return e.Code.Info().Run }

// Wait returns how long the caller should wait before asking again.
func (e *Error) Wait() time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return e.Code.Info().RetryAfter
}

// From returns err as an Error. An error that is no result means that a
// safeguard is missing somewhere, so it becomes Internal, which claims nothing
// about execution beyond "may have run".
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Detail: err.Error(), Cause: err}
}
