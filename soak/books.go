package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/platform/standin"
)

// Record is what a caller saw of one request.
type Record struct {
	standin.Response
	ID   string
	Kind kind
	Sent time.Time
}

type kind uint8

const (
	once kind = iota
	idempotent
	stream
	kinds
)

func (k kind) String() string { return [...]string{"once", "idempotent", "stream"}[k] }

// books hold what callers and targets saw.
type books struct {
	corrupt func(Record) Record
	mu      sync.Mutex
	records []Record
	runs    map[string][]standin.Execution // by request
}

func newBooks(corrupt func(Record) Record) *books {
	return &books{corrupt: corrupt, runs: make(map[string][]standin.Execution)}
}

func (b *books) ran(r standin.Execution) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[r.Request] = append(b.runs[r.Request], r)
}

func (b *books) saw(r Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.corrupt != nil {
		r = b.corrupt(r)
	}
	b.records = append(b.records, r)
}

// promisesNotRun tells whether a status says that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// leastServed is the share of the requests sent after the recovery that must be
// served.
const leastServed = 0.8

// check compares what callers saw with what targets ran. recovered is when the
// system must be well again.
func (b *books) check(recovered time.Time) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	var r Report
	late, lateWhole := 0, 0
	for i := range b.records {
		rec := &b.records[i]
		r.Requests++
		whole := rec.Status == http.StatusOK && rec.Complete
		if whole {
			r.Whole++
		}
		if promisesNotRun(rec.Status) {
			r.Refused++
		}
		if rec.Sent.After(recovered) {
			late++
			if whole || rec.Status == http.StatusInternalServerError {
				lateWhole++
			}
		}
		r.Broken = append(r.Broken, b.faultsOf(rec)...)
	}
	if late > 20 && float64(lateWhole) < leastServed*float64(late) {
		r.Broken = append(r.Broken, fmt.Sprintf("recovery: %d of %d requests served after the last fault", lateWhole, late))
	}
	return r
}

func (b *books) faultsOf(rec *Record) []string {
	var broken []string
	runs := b.runs[rec.ID]
	if rec.Kind == once && len(runs) > 1 {
		broken = append(broken, fmt.Sprintf("%s ran %d times, at %s and %s", rec.ID, len(runs), runs[0].Target, runs[1].Target))
	}
	if promisesNotRun(rec.Status) && len(runs) > 0 && rec.Kind == once {
		broken = append(broken, fmt.Sprintf("%s was answered %d and ran at %s", rec.ID, rec.Status, runs[0].Target))
	}
	for _, run := range runs {
		if run.Team != team {
			broken = append(broken, fmt.Sprintf("%s ran for team %q", rec.ID, run.Team))
		}
	}
	if rec.Status != http.StatusOK || !rec.Complete {
		return broken
	}
	want := standin.PlainAnswer(rec.ID)
	if rec.Kind == stream {
		want = standin.StreamAnswer(rec.ID)
	}
	if rec.Body != want {
		broken = append(broken, fmt.Sprintf("%s (%s): whole success with another body: %.200q", rec.ID, rec.Kind, rec.Body))
	}
	if !rec.HasSeal {
		broken = append(broken, fmt.Sprintf("%s: success without the target's proof", rec.ID))
	}
	return broken
}
