// Package result defines the numbered result codes of heatherrail.
//
// Each code states what happened, whether the request ran, and whether the caller
// should retry after a delay. Responses to callers, metrics and docs/RESULTS.md all
// use the same table.
package result

import (
	"errors"
	"fmt"
	"io"
	"time"
)

// Run states whether a target ran the request.
type Run uint8

// Values of Run.
const (
	// RunDone: the target ran the request and the complete response was delivered.
	RunDone Run = iota
	// RunNot: the request did not run. Sending it again is safe.
	RunNot
	// RunMaybe: the request may have run; the outcome is unknown.
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

// Code is the number of a result. Numbers of removed results are not reused.
type Code uint16

// Info is the table entry of one code.
type Info struct {
	Code       Code
	Name       string        // metric tag and JSON "type"
	Status     int           // HTTP status of the response to the caller
	Run        Run           // whether the request ran
	RetryAfter time.Duration // minimum delay before a retry; 0: a delay does not help
	Meaning    string        // explanation for the caller
	Operator   string        // advice for operators
}

// Error is a result code with a detail text, as a Go error.
type Error struct {
	Code       Code
	Detail     string
	RetryAfter time.Duration // overrides the table's value if positive
	Cause      error
}

// New returns an Error with a formatted detail. An error passed with %w becomes the
// cause, unless it wraps io.EOF.
//
// A connection that is lost in the middle of a response returns an error that wraps the
// socket's io.EOF. A reader that checks errors.Is(err, io.EOF) would take the loss for the
// end of the response, and the caller would get a truncated response that looks complete.
// Therefore no Error wraps io.EOF.
//
// A longer detail is cut: it may quote what a caller or a target has sent.
func New(c Code, format string, args ...any) *Error {
	wrapped := fmt.Errorf(format, args...)
	e := &Error{Code: c, Detail: cut(wrapped.Error()), Cause: errors.Unwrap(wrapped)}
	if errors.Is(e.Cause, io.EOF) {
		e.Cause = nil
	}
	return e
}

const maxDetailBytes = 1 << 10

// cut returns the beginning of a text that is too long, in memory of its own.
func cut(text string) string {
	if len(text) <= maxDetailBytes {
		return text
	}
	return text[:maxDetailBytes] + "..."
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code.Info().Name, e.Detail)
}

// Unwrap returns the cause, nil if there is none.
func (e *Error) Unwrap() error { return e.Cause }

// Run returns whether the request ran, according to the table entry of the code.
func (e *Error) Run() Run { return e.Code.Info().Run }

// Wait returns the minimum delay before a retry; 0 means that a delay does not help.
func (e *Error) Wait() time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return e.Code.Info().RetryAfter
}

// From returns err as an Error. If the chain of err contains no Error, some code has failed
// to assign a result code. From then returns the code Internal, which states "may have run",
// because nothing is known about execution.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Detail: err.Error(), Cause: err}
}
