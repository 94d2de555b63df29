// Package ini reads INI files. It records the line of every key, which the INI libraries
// that were considered discard. Operators therefore get all errors of a file at once,
// each with file and line.
//
// Syntax: sections "[kind]" or "[kind name]", lines "key = value", and comment lines that
// start with '#' or ';'. There are no escapes and no continuation lines.
package ini

import (
	"fmt"
	"strings"
)

// Size limits.
const (
	MaxFile      = 8 << 20 // bytes
	maxLineBytes = 64 << 10
)

// Key is one "key = value" line.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Section is one section with its keys.
type Section struct {
	Kind string
	Name string // empty for "[kind]"
	File string
	Line int
	Keys []Key
}

// Error is a fault in a file.
type Error struct {
	File  string
	Line  int
	Where string // "kind name.key"; may be empty
	What  string // description of the fault
}

// Error implements error.
func (e *Error) Error() string {
	if e.Where == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.What)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Where, e.What)
}

// Errors lists all faults of a file.
type Errors []*Error

// Error implements error. The text has one line per fault.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns es as an error, or nil if es is empty.
func (es Errors) Err() error {
	if len(es) == 0 {
		return nil
	}
	return es
}

// Parse parses the text of a file. Despite faults it returns the sections that it could
// parse. The file name is used in errors only.
func Parse(file, text string) ([]Section, Errors) {
	p := parser{file: file}
	if len(text) > MaxFile {
		p.addError(1, "", "file of %d bytes, at most %d are allowed", len(text), MaxFile)
		return nil, p.errs
	}
	for i, line := range strings.Split(text, "\n") {
		p.parseLine(i+1, strings.TrimSpace(line))
	}
	return p.sections, p.errs
}

type parser struct {
	file     string
	sections []Section
	errs     Errors
}

func (p *parser) addError(line int, where, format string, args ...any) {
	p.errs = append(p.errs, &Error{File: p.file, Line: line, Where: where, What: fmt.Sprintf(format, args...)})
}

func (p *parser) parseLine(n int, s string) {
	switch {
	case s == "" || s[0] == '#' || s[0] == ';':
	case len(s) > maxLineBytes:
		p.addError(n, "", "line of %d bytes, at most %d are allowed", len(s), maxLineBytes)
	case s[0] == '[':
		p.parseSection(n, s)
	default:
		p.parseKey(n, s)
	}
}

func (p *parser) parseSection(n int, s string) {
	if !strings.HasSuffix(s, "]") {
		p.addError(n, "", "section %q has no closing bracket", s)
		return
	}
	fields := strings.Fields(s[1 : len(s)-1])
	if len(fields) == 0 || len(fields) > 2 {
		p.addError(n, "", "section %q: want [kind] or [kind name]", s)
		return
	}
	sec := Section{Kind: fields[0], File: p.file, Line: n}
	if len(fields) == 2 {
		sec.Name = fields[1]
	}
	p.sections = append(p.sections, sec)
}

func (p *parser) parseKey(n int, s string) {
	name, value, ok := strings.Cut(s, "=")
	if !ok {
		p.addError(n, "", "%q: want key = value", s)
		return
	}
	if len(p.sections) == 0 {
		p.addError(n, "", "key %q is before the first section", strings.TrimSpace(name))
		return
	}
	sec := &p.sections[len(p.sections)-1]
	name = strings.TrimSpace(name)
	for _, k := range sec.Keys {
		if k.Name == name {
			p.addError(n, sec.Title()+"."+name, "given twice, first on line %d", k.Line)
			return
		}
	}
	sec.Keys = append(sec.Keys, Key{Name: name, Value: strings.TrimSpace(value), Line: n})
}

// Title returns the title of a section: "kind name", or "kind" for a section without a name.
func (s *Section) Title() string {
	if s.Name == "" {
		return s.Kind
	}
	return s.Kind + " " + s.Name
}
