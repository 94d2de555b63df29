package config

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// section is one kind of configuration section.
type section interface {
	Fleet | Target | Group | Service | Team | Policy
	title() string
}

func (f Fleet) title() string   { return "fleet " + f.Name }
func (t Target) title() string  { return "target " + t.Name }
func (g Group) title() string   { return "group " + g.Name }
func (s Service) title() string { return "service " + s.Name }
func (t Team) title() string    { return "team " + t.Name }
func (p Policy) title() string  { return "policy " + p.Name }

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

// sectionDigest hashes one section; the title keeps kinds with equal fields apart.
func sectionDigest[T section, P message[T]](s *T, buf *[]byte) uint64 {
	b := append((*buf)[:0], (*s).title()...)
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
	before := byTitle(old)
	var put []T
	for i := range list {
		title := list[i].title()
		if was, ok := before[title]; !ok || !same[T, P](was, &list[i]) {
			put = append(put, list[i])
		}
		delete(before, title)
	}
	for i := range old {
		if title := old[i].title(); before[title] != nil {
			d.Remove = append(d.Remove, title)
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

func byTitle[T section](list []T) map[string]*T {
	m := make(map[string]*T, len(list))
	for i := range list {
		m[list[i].title()] = &list[i]
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
	removed := make(map[string]bool, len(d.Remove))
	for _, title := range d.Remove {
		removed[title] = true
	}
	c := &Config{
		Fleets:   mergeList(base.Fleets, d.Put.Fleets, removed, &digest),
		Targets:  mergeList(base.Targets, d.Put.Targets, removed, &digest),
		Groups:   mergeList(base.Groups, d.Put.Groups, removed, &digest),
		Services: mergeList(base.Services, d.Put.Services, removed, &digest),
		Teams:    mergeList(base.Teams, d.Put.Teams, removed, &digest),
		Policies: mergeList(base.Policies, d.Put.Policies, removed, &digest),
	}
	return c, digest
}

func mergeList[T section, P message[T]](base, put []T, removed map[string]bool, digest *uint64) []T {
	if len(put) == 0 && !touches(base, removed) {
		return base
	}
	replaced := byTitle(put)
	var buf []byte
	list := make([]T, 0, len(base)+len(put))
	for i := range base {
		title := base[i].title()
		if removed[title] || replaced[title] != nil {
			*digest -= sectionDigest[T, P](&base[i], &buf)
			continue
		}
		list = append(list, base[i])
	}
	for _, s := range replaced {
		*digest += sectionDigest[T, P](s, &buf)
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(a.title(), b.title()) })
	return list
}

func touches[T section](list []T, removed map[string]bool) bool {
	if len(removed) == 0 {
		return false
	}
	return slices.ContainsFunc(list, func(s T) bool { return removed[s.title()] })
}
