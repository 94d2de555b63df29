// Package story collects the log lines of several processes that concern one request
// and derives the cause of its failure or delay from them.
package story

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Line is one parsed log line.
type Line struct {
	At     time.Time
	Source string // name of the VM, which a log collector writes as the last word before the time
	Event  string
	Fields []Field // key=value pairs in the order of the line, without time, level and event
}

// Field is one key=value pair.
type Field struct{ Key, Value string }

// Get returns the value of a key, empty if the line does not have the key.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Int returns the value of a key as an integer, 0 if it is absent or not an integer.
func (l *Line) Int(key string) int {
	n, err := strconv.Atoi(l.Get(key))
	if err != nil {
		return 0
	}
	return n
}

// Float returns the value of a key as a number, 0 if it is absent or not a number.
func (l *Line) Float(key string) float64 {
	v, err := strconv.ParseFloat(l.Get(key), 64)
	if err != nil {
		return 0
	}
	return v
}

// ErrLine is returned for a line that is not a heatherrail log event.
var ErrLine = errors.New("not a heatherrail log event")

// Parse parses one log line. It returns an error that wraps ErrLine if the line has no
// time or event or is malformed.
func Parse(text string) (Line, error) {
	prefix, rest, ok := strings.Cut(text, "time=")
	if !ok {
		return Line{}, ErrLine
	}
	l := Line{}
	if words := strings.Fields(prefix); len(words) > 0 {
		l.Source = words[len(words)-1]
	}
	rest = "time=" + rest
	for rest != "" {
		key, after, ok := strings.Cut(rest, "=")
		if !ok || key == "" || strings.ContainsAny(key, " \"") {
			return Line{}, ErrLine
		}
		value, remaining, err := cutValue(after)
		if err != nil {
			return Line{}, err
		}
		rest = strings.TrimLeft(remaining, " \r\n")
		if err := l.setField(key, value); err != nil {
			return Line{}, err
		}
	}
	if l.Event == "" {
		return Line{}, ErrLine
	}
	return l, nil
}

func (l *Line) setField(key, value string) error {
	switch key {
	case "time":
		at, err := time.Parse(time.RFC3339, value)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrLine, err)
		}
		l.At = at
	case "event":
		l.Event = value
	case "level":
	default:
		l.Fields = append(l.Fields, Field{key, value})
	}
	return nil
}

// cutValue splits a quoted or unquoted value off the start of a text, and returns the
// value and the rest of the text.
func cutValue(text string) (value, rest string, err error) {
	if !strings.HasPrefix(text, `"`) {
		value, rest, _ = strings.Cut(text, " ")
		return strings.TrimRight(value, "\r\n"), rest, nil
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", fmt.Errorf("%w: %w", ErrLine, err)
	}
	value, err = strconv.Unquote(quoted)
	if err != nil {
		return "", "", fmt.Errorf("%w: %w", ErrLine, err)
	}
	return value, text[len(quoted):], nil
}

// contextWindow is how long before the arrival of a request its context begins (see
// Story.Context). The context ends with the last log line of the request.
const contextWindow = 2 * time.Second

// contextEvents are the log events that concern every request in progress when they occur.
var contextEvents = []string{
	"store lost", "store regained", "targets known again after an outage", "configuration in force", "target gone",
	"entry lost", "stopping", "stopped", "started", "reload", "demand moved", "map switched", "group led",
	"group stands still", "this rank is left held", "group let go without its leader", "switch taken back", "ranks use different maps", "agent lost", "engine lost",
	"group load", "longest pass", "loads not read", "log lines dropped",
}

// Story holds the log lines that concern one request.
type Story struct {
	Request       string
	Lines         []Line // lines of the request itself, by time
	Context       []Line // lines of contextEvents during the request and contextWindow before it, by time
	UnparsedLines int    // number of lines that could not be parsed
}

// Read reads log lines in any order and collects those that concern a request.
func Read(r io.Reader, request string) (*Story, error) {
	s := &Story{Request: request}
	var candidates []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 64<<10), 1<<20)
	for sc.Scan() {
		l, err := Parse(sc.Text())
		switch {
		case err != nil:
			s.UnparsedLines++
		case l.Get("request") == request:
			s.Lines = append(s.Lines, l)
		case slices.Contains(contextEvents, l.Event):
			candidates = append(candidates, l)
		}
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	if len(s.Lines) == 0 {
		return s, nil
	}
	byTime := func(a, b Line) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) }
	slices.SortStableFunc(s.Lines, byTime)
	from, to := s.startTime().Add(-contextWindow), s.Lines[len(s.Lines)-1].At
	for _, l := range candidates {
		if !l.At.Before(from) && !l.At.After(to) {
			s.Context = append(s.Context, l)
		}
	}
	slices.SortStableFunc(s.Context, byTime)
	return s, nil
}

// startTime returns the arrival time of the request. A log line is written at the end of
// the step that it reports, so startTime subtracts the duration of the step from the time
// of the request's first line.
func (s *Story) startTime() time.Time {
	first := &s.Lines[0]
	for _, key := range []string{"ms", "wait_ms"} {
		if first.Get(key) != "" {
			return first.At.Add(-time.Duration(first.Int(key)) * time.Millisecond)
		}
	}
	return first.At
}

// Write writes the lines of the request, its cause and its context as text.
func (s *Story) Write(w io.Writer) error {
	b := &strings.Builder{}
	if len(s.Lines) == 0 {
		fmt.Fprintf(b, "no line of request %s; %d lines could not be read\n", s.Request, s.UnparsedLines)
		_, err := io.WriteString(w, b.String())
		return err
	}
	fmt.Fprintf(b, "request %s came at %s\n", s.Request, s.startTime().Format("15:04:05.000"))
	for _, l := range s.Lines {
		l.write(b)
	}
	if cause := s.Cause(); cause != "" {
		fmt.Fprintf(b, "cause: %s\n", cause)
	}
	if len(s.Context) > 0 {
		fmt.Fprintf(b, "other events, from %s before the request to its last line:\n", contextWindow)
		for _, l := range s.Context {
			l.write(b)
		}
	}
	if s.UnparsedLines > 0 {
		fmt.Fprintf(b, "%d lines could not be read\n", s.UnparsedLines)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (l *Line) write(b *strings.Builder) {
	fmt.Fprintf(b, "  %s  %-16s %s", l.At.Format("15:04:05.000"), l.Source, l.Event)
	for _, f := range l.Fields {
		if f.Key != "request" {
			fmt.Fprintf(b, "  %s: %s", f.Key, f.Value)
		}
	}
	b.WriteByte('\n')
}
