// Package ini reads INI files and keeps the line of every key, which the INI
// libraries we looked at drop: operators get each error as file:line, all at once.
//
// Syntax: "[kind]" or "[kind name]" sections, "key = value" lines, comments that
// begin with '#' or ';' at the start of a line. No escapes, no continuation.
package ini

import (
	"fmt"
	"strings"
)

// Limits on a file.
const (
	MaxFile = 8 << 20 // bytes
	maxLine = 64 << 10
)

// Key is one "key = value" line.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Section is one "[kind name]" with its keys.
type Section struct {
	Kind string
	Name string // empty for "[kind]"
	File string
	Line int
	Keys []Key
}

// Error is a fault at a place in a file.
type Error struct {
	File  string
	Line  int
	Where string // "kind name.key"; may be empty
	What  string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Where == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.What)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Where, e.What)
}

// Errors is every fault found in one pass.
type Errors []*Error

// Error implements error, one fault a line.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns es as an error, nil if there is none.
func (es Errors) Err() error {
	if len(es) == 0 {
		return nil
	}
	return es
}

// Parse reads the text of one file.
func Parse(file, text string) ([]Section, Errors) {
	p := parser{file: file}
	if len(text) > MaxFile {
		p.fail(1, "", "file of %d bytes, at most %d are allowed", len(text), MaxFile)
		return nil, p.errs
	}
	for i, line := range strings.Split(text, "\n") {
		p.line(i+1, strings.TrimSpace(line))
	}
	return p.sections, p.errs
}

type parser struct {
	file     string
	sections []Section
	errs     Errors
}

func (p *parser) fail(line int, where, format string, args ...any) {
	p.errs = append(p.errs, &Error{File: p.file, Line: line, Where: where, What: fmt.Sprintf(format, args...)})
}

func (p *parser) line(n int, s string) {
	switch {
	case s == "" || s[0] == '#' || s[0] == ';':
	case len(s) > maxLine:
		p.fail(n, "", "line of %d bytes, at most %d are allowed", len(s), maxLine)
	case s[0] == '[':
		p.section(n, s)
	default:
		p.key(n, s)
	}
}

func (p *parser) section(n int, s string) {
	if !strings.HasSuffix(s, "]") {
		p.fail(n, "", "section %q has no closing bracket", s)
		return
	}
	fields := strings.Fields(s[1 : len(s)-1])
	if len(fields) == 0 || len(fields) > 2 {
		p.fail(n, "", "section %q: want [kind] or [kind name]", s)
		return
	}
	sec := Section{Kind: fields[0], File: p.file, Line: n}
	if len(fields) == 2 {
		sec.Name = fields[1]
	}
	p.sections = append(p.sections, sec)
}

func (p *parser) key(n int, s string) {
	name, value, ok := strings.Cut(s, "=")
	if !ok {
		p.fail(n, "", "%q: want key = value", s)
		return
	}
	if len(p.sections) == 0 {
		p.fail(n, "", "key %q stands before the first section", strings.TrimSpace(name))
		return
	}
	sec := &p.sections[len(p.sections)-1]
	name = strings.TrimSpace(name)
	for _, k := range sec.Keys {
		if k.Name == name {
			p.fail(n, sec.Title()+"."+name, "given twice, first on line %d", k.Line)
			return
		}
	}
	sec.Keys = append(sec.Keys, Key{Name: name, Value: strings.TrimSpace(value), Line: n})
}

// Title returns "kind name", or "kind".
func (s *Section) Title() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}
