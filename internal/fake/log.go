// Package fake contains stand-ins for the platform's services and for targets. Tests,
// the demo and the benchmarks use them in process or over HTTP.
package fake

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/outside"
)

// ErrDown is the error of a stand-in that is down.
var ErrDown = errors.New("stand-in is down")

// LogFaults defines the faults that a Log simulates.
type LogFaults struct {
	Down          bool          // every call fails
	DropResponses int           // number of further appends that take effect but return an error
	Delay         time.Duration // added to each call
}

// Log is an append-only log in memory.
type Log struct {
	mu      sync.Mutex
	first   uint64 // offset of the oldest record
	records [][]byte
	changed chan struct{} // closed and replaced at each append
	faults  LogFaults
	appends int // number of Append calls that took effect
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{changed: make(chan struct{})}
}

// SetFaults replaces the current faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Trim removes all records before an offset.
func (l *Log) Trim(before uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if before > l.first && before <= l.first+uint64(len(l.records)) {
		l.records = l.records[before-l.first:]
		l.first = before
	}
}

// LogState is the range of offsets in a Log and its number of appends.
type LogState struct {
	First   uint64 `json:"first"`   // offset of the oldest record
	Next    uint64 `json:"next"`    // offset of the next append
	Appends int    `json:"appends"` // append calls that took effect
}

// State returns the current state of the log.
func (l *Log) State() LogState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LogState{First: l.first, Next: l.first + uint64(len(l.records)), Appends: l.appends}
}

// Appends returns the number of append calls that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements outside.Log.
func (l *Log) Append(ctx context.Context, records [][]byte) (uint64, error) {
	if err := l.delay(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return 0, ErrDown
	}
	offset := l.first + uint64(len(l.records))
	for _, r := range records {
		l.records = append(l.records, append([]byte(nil), r...))
	}
	l.appends++
	close(l.changed)
	l.changed = make(chan struct{})
	if l.faults.DropResponses > 0 {
		l.faults.DropResponses--
		return 0, outside.ErrUnknownOutcome
	}
	return offset, nil
}

// Read implements outside.Log.
func (l *Log) Read(ctx context.Context, from uint64, max int, wait time.Duration) (outside.Page, error) {
	if err := l.delay(ctx); err != nil {
		return outside.Page{}, err
	}
	if page, _, err := l.page(from, max); err != nil || len(page.Records) > 0 || wait <= 0 {
		return page, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := l.page(from, max)
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return outside.Page{}, ctx.Err()
		}
	}
}

// page returns up to max records from an offset on, and the channel that is closed at the
// next append.
func (l *Log) page(from uint64, max int) (outside.Page, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return outside.Page{}, nil, ErrDown
	}
	if from < l.first {
		return outside.Page{First: l.first}, nil, outside.ErrTrimmed
	}
	end := l.first + uint64(len(l.records))
	from = min(from, end)
	to := min(from+uint64(max), end)
	return outside.Page{
		First:   l.first,
		Next:    to,
		Records: append([][]byte(nil), l.records[from-l.first:to-l.first]...),
	}, l.changed, nil
}

// delay waits for the delay set in LogFaults, or until ctx ends.
func (l *Log) delay(ctx context.Context) error {
	l.mu.Lock()
	d := l.faults.Delay
	l.mu.Unlock()
	if d == 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Lose removes the records from an offset on, although they were acknowledged. The offset is given out
// again.
func (l *Log) Lose(from uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from >= l.first && from < l.first+uint64(len(l.records)) {
		l.records = l.records[: from-l.first : from-l.first]
	}
}
