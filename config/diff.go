package config

import (
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
)

// Op is how a section differs between two configurations.
type Op string

const (
	OpAdd    Op = "+" // section added
	OpRemove Op = "-" // section removed
	OpChange Op = "~" // section changed
)

// Difference is one section that differs between two configurations.
type Difference struct {
	Op    Op
	Title string
	Keys  []KeyDifference // differing keys, for OpChange and OpAdd
}

// KeyDifference is one key whose value differs. Old is empty in an added section.
type KeyDifference struct {
	Key, Old, New string
}

// Diff returns the sections that differ, ordered by kind and name. A nil old is an
// empty configuration.
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
	before, after := indexByName(old), indexByName(list)
	var names []string
	for name := range before {
		names = append(names, name)
	}
	for name := range after {
		names = append(names, name)
	}
	slices.Sort(names)
	var zero T
	for _, name := range slices.Compact(names) {
		oldSection, newSection, title := before[name], after[name], zero.kind()+" "+name
		switch {
		case newSection == nil:
			out = append(out, Difference{Op: OpRemove, Title: title})
		case oldSection == nil:
			out = append(out, Difference{Op: OpAdd, Title: title, Keys: diffKeys(reflect.Value{}, reflect.ValueOf(*newSection))})
		case !sameEncoding[T, P](oldSection, newSection):
			out = append(out, Difference{Op: OpChange, Title: title, Keys: diffKeys(reflect.ValueOf(*oldSection), reflect.ValueOf(*newSection))})
		}
	}
	return out
}

// diffKeys returns the keys that differ, under their names in files. An old that is
// the zero reflect.Value stands for an empty section.
func diffKeys(old, v reflect.Value) []KeyDifference {
	var out []KeyDifference
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("ini")
		if name == "" {
			continue
		}
		d := KeyDifference{Key: name, New: formatValue(name, v.Field(i))}
		if old.IsValid() {
			d.Old = formatValue(name, old.Field(i))
		}
		if d.Old != d.New {
			out = append(out, d)
		}
	}
	return out
}

// hashPrefixLen is the number of hex digits of a key's hash that are printed:
// enough to distinguish two keys, too few to recover the hash.
const hashPrefixLen = 12

func formatValue(key string, v reflect.Value) string {
	switch x := v.Interface().(type) {
	case []string:
		if key != "key-hash" {
			return strings.Join(x, ", ")
		}
		short := make([]string, len(x))
		for i, h := range x {
			short[i] = h[:min(hashPrefixLen, len(h))]
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

// WriteDiff prints each differing section followed by its differing keys.
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

// ServicesLosingTargets returns the services of c that a team uses and whose fleet
// has no target in c though it had one in old.
func ServicesLosingTargets(old, c *Config) []string {
	if old == nil {
		return nil
	}
	oldCounts, newCounts := targetCounts(old), targetCounts(c)
	inUse := make(map[string]bool)
	for i := range c.Teams {
		for _, s := range c.Teams[i].Services {
			inUse[s] = true
		}
	}
	oldFleet := make(map[string]string)
	for _, s := range old.Services {
		oldFleet[s.Name] = s.Fleet
	}
	var losing []string
	for _, s := range c.Services {
		if inUse[s.Name] && oldCounts[oldFleet[s.Name]] > 0 && newCounts[s.Fleet] == 0 {
			losing = append(losing, s.Name)
		}
	}
	return losing
}

func targetCounts(c *Config) map[string]int {
	n := make(map[string]int)
	for _, t := range c.Targets {
		n[t.Fleet]++
	}
	return n
}
