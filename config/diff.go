package config

import (
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
)

// Op says what became of a section.
type Op string

// Ops of a difference.
const (
	OpAdd    Op = "+"
	OpRemove Op = "-"
	OpChange Op = "~"
)

// Difference is one section that differs between two configurations.
type Difference struct {
	Op    Op
	Title string
	Keys  []KeyDifference // for OpChange and OpAdd
}

// KeyDifference is one key of it; Old is empty in an added section.
type KeyDifference struct {
	Key, Old, New string
}

// Diff returns what differs, in the order of kinds and names. old may be nil.
func Diff(old, c *Config) []Difference {
	if old == nil {
		old = new(Config)
	}
	var out []Difference
	out = diffList(out, old.Fleets, c.Fleets)
	out = diffList(out, old.Targets, c.Targets)
	out = diffList(out, old.Groups, c.Groups)
	out = diffList(out, old.Services, c.Services)
	out = diffList(out, old.Teams, c.Teams)
	return diffList(out, old.Policies, c.Policies)
}

func diffList[T section, P message[T]](out []Difference, old, list []T) []Difference {
	before, after := byName(old), byName(list)
	var names []string
	for name := range before {
		names = append(names, name)
	}
	for name := range after {
		names = append(names, name)
	}
	slices.Sort(names)
	var none T
	for _, name := range slices.Compact(names) {
		was, is, title := before[name], after[name], none.kind()+" "+name
		switch {
		case is == nil:
			out = append(out, Difference{Op: OpRemove, Title: title})
		case was == nil:
			out = append(out, Difference{Op: OpAdd, Title: title, Keys: keys(reflect.Value{}, reflect.ValueOf(*is))})
		case !same[T, P](was, is):
			out = append(out, Difference{Op: OpChange, Title: title, Keys: keys(reflect.ValueOf(*was), reflect.ValueOf(*is))})
		}
	}
	return out
}

// keys returns the keys that differ, by the names that files use.
func keys(old, v reflect.Value) []KeyDifference {
	var out []KeyDifference
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("ini")
		if name == "" {
			continue
		}
		d := KeyDifference{Key: name, New: show(name, v.Field(i))}
		if old.IsValid() {
			d.Old = show(name, old.Field(i))
		}
		if d.Old != d.New {
			out = append(out, d)
		}
	}
	return out
}

// shownHash is how many digits of a key's hash are printed: enough to tell two
// apart, too few to be of use elsewhere.
const shownHash = 12

func show(key string, v reflect.Value) string {
	switch x := v.Interface().(type) {
	case []string:
		if key != "key-hash" {
			return strings.Join(x, ", ")
		}
		short := make([]string, len(x))
		for i, h := range x {
			short[i] = h[:min(shownHash, len(h))]
		}
		return strings.Join(short, ", ")
	case bool:
		if x {
			return "yes"
		}
		return "no"
	default:
		return fmt.Sprint(x)
	}
}

// WriteDiff prints differences, one section and then its keys.
func WriteDiff(w io.Writer, ds []Difference) error {
	for _, d := range ds {
		if _, err := fmt.Fprintf(w, "%s [%s]\n", d.Op, d.Title); err != nil {
			return fmt.Errorf("write diff: %w", err)
		}
		for _, k := range d.Keys {
			line := fmt.Sprintf("    %s = %s\n", k.Key, k.New)
			if d.Op == OpChange {
				line = fmt.Sprintf("    %s: %q -> %q\n", k.Key, k.Old, k.New)
			}
			if _, err := io.WriteString(w, line); err != nil {
				return fmt.Errorf("write diff: %w", err)
			}
		}
	}
	return nil
}

// ServicesLosingTargets returns the services that teams use and that lose their last target.
func ServicesLosingTargets(old, c *Config) []string {
	if old == nil {
		return nil
	}
	had, has := targetCounts(old), targetCounts(c)
	used := make(map[string]bool)
	for i := range c.Teams {
		for _, s := range c.Teams[i].Services {
			used[s] = true
		}
	}
	fleetBefore := make(map[string]string)
	for _, s := range old.Services {
		fleetBefore[s.Name] = s.Fleet
	}
	var emptied []string
	for _, s := range c.Services {
		if used[s.Name] && had[fleetBefore[s.Name]] > 0 && has[s.Fleet] == 0 {
			emptied = append(emptied, s.Name)
		}
	}
	return emptied
}

func targetCounts(c *Config) map[string]int {
	n := make(map[string]int)
	for _, t := range c.Targets {
		n[t.Fleet]++
	}
	return n
}
