// Package story puts together what the log lines of several processes say of one
// request.
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

// Line is one event of a log.
type Line struct {
	At     time.Time
	Source string // what stood before the event: the VM, as a collector puts it
	Event  string
	Fields []Field // in the line's order, without time, level and event
}

// Field is one key and its value.
type Field struct{ Key, Value string }

// Get returns the value of a key; empty if it is not there.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Int returns the whole number that a key has; 0 if it has none.
func (l *Line) Int(key string) int {
	n, err := strconv.Atoi(l.Get(key))
	if err != nil {
		return 0
	}
	return n
}

// Float returns the number that a key has; 0 if it has none.
func (l *Line) Float(key string) float64 {
	v, err := strconv.ParseFloat(l.Get(key), 64)
	if err != nil {
		return 0
	}
	return v
}

// ErrLine: a line is no event of ours.
var ErrLine = errors.New("no event")

// Parse reads one line of a log; what stands before its time names its source.
func Parse(text string) (Line, error) {
	before, rest, ok := strings.Cut(text, "time=")
	if !ok {
		return Line{}, ErrLine
	}
	l := Line{}
	if words := strings.Fields(before); len(words) > 0 {
		l.Source = words[len(words)-1]
	}
	rest = "time=" + rest
	for rest != "" {
		key, after, ok := strings.Cut(rest, "=")
		if !ok || key == "" || strings.ContainsAny(key, " \"") {
			return Line{}, ErrLine
		}
		value, left, err := cutValue(after)
		if err != nil {
			return Line{}, err
		}
		rest = strings.TrimLeft(left, " \r\n")
		if err := l.put(key, value); err != nil {
			return Line{}, err
		}
	}
	if l.Event == "" {
		return Line{}, ErrLine
	}
	return l, nil
}

func (l *Line) put(key, value string) error {
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

// cutValue takes a value, quoted or plain, from the beginning of a text.
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

// around is how far before and after a request's own lines others may bear on it.
const around = 2 * time.Second

// context are events that concern all requests at a time.
var context = []string{
	"store lost", "store regained", "targets known again after an outage", "configuration in force", "target gone",
	"entry lost", "stopping", "stopped", "started", "reload", "demand moved", "map switched", "group led",
	"group stands still", "this rank is left held", "group let go without its leader", "agent lost", "engine lost",
	"group load", "loads not read", "log lines dropped",
}

// Story is what is known of one request.
type Story struct {
	Request string
	Lines   []Line // of the request itself, in order
	Around  []Line // of what else happened about then
	Bad     int    // lines that could not be read
}

// Read reads logs and tells the story of a request.
func Read(r io.Reader, request string) (*Story, error) {
	s := &Story{Request: request}
	var others []Line
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 64<<10), 1<<20)
	for sc.Scan() {
		l, err := Parse(sc.Text())
		switch {
		case err != nil:
			s.Bad++
		case l.Get("request") == request:
			s.Lines = append(s.Lines, l)
		case slices.Contains(context, l.Event):
			others = append(others, l)
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
	from, to := s.begun().Add(-around), s.Lines[len(s.Lines)-1].At
	for _, l := range others {
		if !l.At.Before(from) && !l.At.After(to) {
			s.Around = append(s.Around, l)
		}
	}
	slices.SortStableFunc(s.Around, byTime)
	return s, nil
}

// begun returns when the request came: lines are written at its end and tell how
// long it took.
func (s *Story) begun() time.Time {
	first := &s.Lines[0]
	for _, key := range []string{"ms", "wait_ms"} {
		if first.Get(key) != "" {
			return first.At.Add(-time.Duration(first.Int(key)) * time.Millisecond)
		}
	}
	return first.At
}

// Write writes the story.
func (s *Story) Write(w io.Writer) error {
	b := &strings.Builder{}
	if len(s.Lines) == 0 {
		fmt.Fprintf(b, "no line of request %s; %d lines could not be read\n", s.Request, s.Bad)
		_, err := io.WriteString(w, b.String())
		return err
	}
	fmt.Fprintf(b, "request %s came at %s\n", s.Request, s.begun().Format("15:04:05.000"))
	for _, l := range s.Lines {
		l.write(b)
	}
	if cause := s.Cause(); cause != "" {
		fmt.Fprintf(b, "cause: %s\n", cause)
	}
	if len(s.Around) > 0 {
		fmt.Fprintf(b, "about then, from %s before it:\n", around)
		for _, l := range s.Around {
			l.write(b)
		}
	}
	if s.Bad > 0 {
		fmt.Fprintf(b, "%d lines could not be read\n", s.Bad)
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
