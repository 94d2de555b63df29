package config

import (
	"bytes"
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// section is one kind of configuration section.
type section interface {
	Fleet | Target | Group | Service | Team | Policy
	kind() string
	name() string
}

func (f Fleet) kind() string   { return "fleet" }
func (t Target) kind() string  { return "target" }
func (g Group) kind() string   { return "group" }
func (s Service) kind() string { return "service" }
func (t Team) kind() string    { return "team" }
func (p Policy) kind() string  { return "policy" }

func (f Fleet) name() string   { return f.Name }
func (t Target) name() string  { return t.Name }
func (g Group) name() string   { return g.Name }
func (s Service) name() string { return s.Name }
func (t Team) name() string    { return t.Name }
func (p Policy) name() string  { return p.Name }

// title names a section as files do, for example "team a".
func title[T section](s T) string { return s.kind() + " " + s.name() }

// message is the pointer to a section, which encodes itself.
type message[T section] interface {
	*T
	marshaler
}

// Digest returns the digest of a configuration: the sum of its sections' hashes.
// A sum can be kept up to date from a delta alone, so a change costs what it
// changes and not a pass over all teams; equal content has one digest.
func Digest(c *Config) uint64 {
	return listDigest(c.Fleets) + listDigest(c.Targets) + listDigest(c.Groups) +
		listDigest(c.Services) + listDigest(c.Teams) + listDigest(c.Policies)
}

func listDigest[T section, P message[T]](list []T) uint64 {
	var sum uint64
	var buf []byte
	for i := range list {
		sum += sectionDigest[T, P](&list[i], &buf)
	}
	return sum
}

// sectionDigest hashes one section; the kind keeps sections with equal fields apart.
func sectionDigest[T section, P message[T]](s *T, buf *[]byte) uint64 {
	b := append((*buf)[:0], (*s).kind()...)
	b, err := P(s).MarshalMsg(b)
	if err != nil {
		return 0 // plain structs always encode
	}
	*buf = b
	return xxhash.Sum64(b)
}

// NewDelta returns what turns old (nil: nothing) into c.
func NewDelta(old, c *Config) Delta {
	if old == nil {
		return Delta{Whole: true, Put: *c}
	}
	var d Delta
	d.Put.Fleets = listDelta(&d, old.Fleets, c.Fleets)
	d.Put.Targets = listDelta(&d, old.Targets, c.Targets)
	d.Put.Groups = listDelta(&d, old.Groups, c.Groups)
	d.Put.Services = listDelta(&d, old.Services, c.Services)
	d.Put.Teams = listDelta(&d, old.Teams, c.Teams)
	d.Put.Policies = listDelta(&d, old.Policies, c.Policies)
	return d
}

func listDelta[T section, P message[T]](d *Delta, old, list []T) []T {
	before := byName(old)
	var put []T
	for i := range list {
		name := list[i].name()
		if was, ok := before[name]; !ok || !same[T, P](was, &list[i]) {
			put = append(put, list[i])
		}
		delete(before, name)
	}
	for i := range old {
		if before[old[i].name()] != nil {
			d.Remove = append(d.Remove, title(old[i]))
		}
	}
	return put
}

// same compares encodings: an empty list and none are the same content.
func same[T section, P message[T]](a, b *T) bool {
	x, errA := P(a).MarshalMsg(nil)
	y, errB := P(b).MarshalMsg(nil)
	return errA == nil && errB == nil && bytes.Equal(x, y)
}

func byName[T section](list []T) map[string]*T {
	m := make(map[string]*T, len(list))
	for i := range list {
		m[list[i].name()] = &list[i]
	}
	return m
}

// Empty reports whether the delta changes nothing.
func (d *Delta) Empty() bool {
	p := &d.Put
	return !d.Whole && len(d.Remove)+len(p.Fleets)+len(p.Targets)+len(p.Groups)+
		len(p.Services)+len(p.Teams)+len(p.Policies) == 0
}

// Apply returns base (nil: nothing) with the delta, and its digest. Lists that the
// delta does not touch are shared with the base.
func (d *Delta) Apply(base *Config, digest uint64) (*Config, uint64) {
	if base == nil || d.Whole {
		base, digest = new(Config), 0
	}
	c := &Config{
		Fleets:   mergeList(base.Fleets, d.Put.Fleets, d.Remove, &digest),
		Targets:  mergeList(base.Targets, d.Put.Targets, d.Remove, &digest),
		Groups:   mergeList(base.Groups, d.Put.Groups, d.Remove, &digest),
		Services: mergeList(base.Services, d.Put.Services, d.Remove, &digest),
		Teams:    mergeList(base.Teams, d.Put.Teams, d.Remove, &digest),
		Policies: mergeList(base.Policies, d.Put.Policies, d.Remove, &digest),
	}
	return c, digest
}

// mergeList walks over the base once, without a new string for each of
// 38,000 teams: only what the delta names is looked up.
func mergeList[T section, P message[T]](base, put []T, remove []string, digest *uint64) []T {
	gone := removedNames[T](remove)
	if len(put) == 0 && len(gone) == 0 {
		return base
	}
	replaced := byName(put)
	var buf []byte
	list := make([]T, 0, len(base)+len(put))
	for i := range base {
		name := base[i].name()
		if gone[name] || replaced[name] != nil {
			*digest -= sectionDigest[T, P](&base[i], &buf)
			continue
		}
		list = append(list, base[i])
	}
	for _, s := range replaced {
		*digest += sectionDigest[T, P](s, &buf)
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(a.name(), b.name()) })
	return list
}

// removedNames returns the names of one kind among titles.
func removedNames[T section](titles []string) map[string]bool {
	var none T
	names := make(map[string]bool)
	for _, t := range titles {
		if name, ok := strings.CutPrefix(t, none.kind()+" "); ok {
			names[name] = true
		}
	}
	return names
}
