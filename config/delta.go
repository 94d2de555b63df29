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

// title returns the section's heading as it stands in files, for example "team a".
func title[T section](s T) string { return s.kind() + " " + s.name() }

// message is a pointer to a section that can be encoded.
type message[T section] interface {
	*T
	marshaler
}

// Digest returns the digest of a configuration: the sum of the hashes of its
// sections. Equal content has an equal digest. A sum can be updated from a delta
// alone, so the cost of a change is that of the changed sections and not a pass
// over all teams.
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

// sectionDigest hashes one section. The hash includes the kind, so sections of
// different kinds with equal fields differ.
func sectionDigest[T section, P message[T]](s *T, buf *[]byte) uint64 {
	b := append((*buf)[:0], (*s).kind()...)
	b, err := P(s).MarshalMsg(b)
	if err != nil {
		return 0 // encoding a plain struct cannot fail
	}
	*buf = b
	return xxhash.Sum64(b)
}

// NewDelta returns the delta that turns old into c. A nil old is an empty
// configuration.
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
	before := indexByName(old)
	var put []T
	for i := range list {
		name := list[i].name()
		if oldSection, ok := before[name]; !ok || !sameEncoding[T, P](oldSection, &list[i]) {
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

// sameEncoding reports whether two sections have equal encodings. An empty list
// and a nil list encode alike.
func sameEncoding[T section, P message[T]](a, b *T) bool {
	x, errA := P(a).MarshalMsg(nil)
	y, errB := P(b).MarshalMsg(nil)
	return errA == nil && errB == nil && bytes.Equal(x, y)
}

func indexByName[T section](list []T) map[string]*T {
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

// Apply returns base with the delta applied, and the digest of the result. The
// parameter digest is the digest of base; a nil base is an empty configuration.
// Lists that the delta does not change are shared with base.
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

// mergeList applies the delta to one list of sections in a single pass over base.
// It builds no title string for each section of base, because a base can hold
// 38,000 teams.
func mergeList[T section, P message[T]](base, put []T, remove []string, digest *uint64) []T {
	removed := removedNames[T](remove)
	if len(put) == 0 && len(removed) == 0 {
		return base
	}
	replaced := indexByName(put)
	var buf []byte
	list := make([]T, 0, len(base)+len(put))
	for i := range base {
		name := base[i].name()
		if removed[name] || replaced[name] != nil {
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

// removedNames returns the names of the sections of kind T among titles.
func removedNames[T section](titles []string) map[string]bool {
	var zero T
	names := make(map[string]bool)
	for _, t := range titles {
		if name, ok := strings.CutPrefix(t, zero.kind()+" "); ok {
			names[name] = true
		}
	}
	return names
}
