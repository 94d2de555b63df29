// Package logging writes logr events as one line of key=value pairs each.
package logging

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// New returns a logger that writes events up to the given verbosity to w. Writes are
// serialised, so w need not be safe for concurrent use.
func New(w io.Writer, verbosity int) logr.Logger {
	return logr.New(&sink{out: &lockedWriter{w: w}, verbosity: verbosity})
}

// lockedWriter serialises writes.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) write(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = io.WriteString(l.w, line) // the process must go on when its log can't be written
}

// sink implements logr.LogSink.
type sink struct {
	out       *lockedWriter
	verbosity int
	name      string
	pairs     string // formatted pairs that were added by WithValues
}

// Init implements logr.LogSink.
func (s *sink) Init(logr.RuntimeInfo) {}

// Enabled implements logr.LogSink.
func (s *sink) Enabled(level int) bool { return level <= s.verbosity }

// Info implements logr.LogSink.
func (s *sink) Info(_ int, msg string, kv ...any) { s.emit("info", msg, nil, kv) }

// Error implements logr.LogSink.
func (s *sink) Error(err error, msg string, kv ...any) { s.emit("error", msg, err, kv) }

// WithValues implements logr.LogSink.
func (s *sink) WithValues(kv ...any) logr.LogSink {
	clone := *s
	clone.pairs += formatPairs(kv)
	return &clone
}

// WithName implements logr.LogSink.
func (s *sink) WithName(name string) logr.LogSink {
	clone := *s
	if clone.name != "" {
		name = clone.name + "." + name
	}
	clone.name = name
	return &clone
}

// emit writes one event as one line.
func (s *sink) emit(level, msg string, err error, kv []any) {
	var b strings.Builder
	b.WriteString("time=")
	b.WriteString(time.Now().UTC().Format("2006-01-02T15:04:05.000Z"))
	b.WriteString(" level=" + level)
	if s.name != "" {
		b.WriteString(" part=" + s.name)
	}
	b.WriteString(" event=" + quote(msg))
	if err != nil {
		b.WriteString(" error=" + quote(err.Error()))
	}
	b.WriteString(s.pairs)
	b.WriteString(formatPairs(kv))
	b.WriteByte('\n')
	s.out.write(b.String())
}

// formatPairs formats alternating keys and values, each pair with a leading space.
func formatPairs(kv []any) string {
	var b strings.Builder
	for i := 0; i+1 < len(kv); i += 2 {
		fmt.Fprintf(&b, " %v=%s", kv[i], quote(fmt.Sprint(kv[i+1])))
	}
	return b.String()
}

// maxValueBytes limits a value in a line. Longer ones are cut and end with cutMark.
const (
	maxValueBytes = 1 << 10
	cutMark       = "..."
)

// quote quotes a value unless it is printable ASCII without spaces, quotes and '='. Some
// values come from callers: a line feed in a value must not start a new event, and a long
// value must not use up the memory of the process.
func quote(s string) string {
	if len(s) > maxValueBytes {
		s = s[:maxValueBytes] + cutMark
	}
	if s == "" || strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == '"' || r == '=' || r > '~' }) {
		return strconv.Quote(s)
	}
	return s
}

// Round2 rounds a number for logging to two decimals.
func Round2(v float64) float64 { return math.Round(v*100) / 100 }
