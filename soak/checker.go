package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/platform/standin"
)

// Record is one request with the response that the caller received.
type Record struct {
	standin.Response
	ID    string
	Kind  kind
	Entry string // address of the entry
	Sent  time.Time
	// Content is the body of a request that crashes targets; empty for other requests.
	Content string
	// Config is the configuration whose route the request uses, if its kind is configured.
	Config publishedConfig
}

// kind is the kind of a request: non-idempotent, idempotent, a stream, or an idempotent request to a
// route that only the newest configuration has.
type kind uint8

const (
	nonIdempotent kind = iota
	idempotent
	stream
	configured
	numKinds
)

func (k kind) String() string { return [...]string{"once", "idempotent", "stream", "configured"}[k] }

// checker collects the responses that callers received and the requests that targets
// ran, and compares the two after the run.
type checker struct {
	corrupt    func(Record) Record
	mu         sync.Mutex
	records    []Record
	executions map[string][]standin.Execution // by request ID
}

func newChecker(corrupt func(Record) Record) *checker {
	return &checker{corrupt: corrupt, executions: make(map[string][]standin.Execution)}
}

// recordExecution records that a target ran a request.
func (c *checker) recordExecution(r standin.Execution) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[r.Request] = append(c.executions[r.Request], r)
}

// recordResponse stores a caller's record, altered by corrupt if it is set.
func (c *checker) recordResponse(r Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.corrupt != nil {
		r = c.corrupt(r)
	}
	c.records = append(c.records, r)
}

// recordsOf returns the records of one kind of request.
func (c *checker) recordsOf(k kind) []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Record
	for _, rec := range c.records {
		if rec.Kind == k {
			list = append(list, rec)
		}
	}
	return list
}

// meansNotRun reports whether an HTTP status guarantees that the request did not run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// minServedShare is the minimum share of requests sent after recovery that must be
// served: with a complete response of status 200, or with status 500.
const minServedShare = 0.8

// check compares the callers' records with the targets' executions. Of the requests
// sent after recoveredAt, the system must serve at least minServedShare.
func (c *checker) check(recoveredAt time.Time) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var r Report
	afterRecovery, servedAfterRecovery := 0, 0
	for i := range c.records {
		rec := &c.records[i]
		r.Violations = append(r.Violations, c.violationsOf(rec)...)
		if rec.Content != "" {
			continue
		}
		r.Requests++
		succeeded := rec.Status == http.StatusOK && rec.Complete
		if succeeded {
			r.Succeeded++
		}
		if meansNotRun(rec.Status) {
			r.Refused++
		}
		if rec.Sent.After(recoveredAt) {
			afterRecovery++
			if succeeded || rec.Status == http.StatusInternalServerError {
				servedAfterRecovery++
			}
		}
	}
	if afterRecovery > 20 && float64(servedAfterRecovery) < minServedShare*float64(afterRecovery) {
		r.Violations = append(r.Violations, fmt.Sprintf("recovery: %d of %d requests served after the last fault", servedAfterRecovery, afterRecovery))
	}
	return r
}

// violationsOf describes each service guarantee that was violated for one request.
func (c *checker) violationsOf(rec *Record) []string {
	var violations []string
	executions := c.executions[rec.ID]
	if rec.Kind == nonIdempotent && len(executions) > 1 {
		violations = append(violations, fmt.Sprintf("%s ran %d times, at %s and %s", rec.ID, len(executions), executions[0].Target, executions[1].Target))
	}
	if meansNotRun(rec.Status) && len(executions) > 0 && rec.Kind == nonIdempotent {
		violations = append(violations, fmt.Sprintf("%s was answered %d, which means not run, but ran at %s", rec.ID, rec.Status, executions[0].Target))
	}
	for _, execution := range executions {
		if execution.Team != team {
			violations = append(violations, fmt.Sprintf("%s ran for the wrong team %q", rec.ID, execution.Team))
		}
	}
	if rec.Status != http.StatusOK || !rec.Complete {
		return violations
	}
	want := standin.PlainAnswer(rec.ID)
	if rec.Kind == stream {
		want = standin.StreamAnswer(rec.ID)
	}
	if rec.Body != want {
		violations = append(violations, fmt.Sprintf("%s (%s): complete answer with the wrong body: %.200q", rec.ID, rec.Kind, rec.Body))
	}
	if !rec.HasSeal {
		violations = append(violations, fmt.Sprintf("%s: success without the target's seal", rec.ID))
	}
	return violations
}
