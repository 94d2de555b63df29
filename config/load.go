package config

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/heatherrail/heatherrail/internal/ini"
)

// LoadDir reads and validates all *.ini files of a directory. The error is an
// ini.Errors with the file and line of every fault, or the error of reading the
// directory.
func LoadDir(dir string) (*Config, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.ini"))
	if err != nil {
		return nil, fmt.Errorf("list %s: %w", dir, err)
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("%s holds no .ini files", dir)
	}
	files := make(map[string]string, len(paths))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("read configuration: %w", err)
		}
		files[path] = string(text)
	}
	return Load(files)
}

// Load parses and validates files, a map from file name to text, and returns one
// configuration.
func Load(files map[string]string) (*Config, error) {
	l := loader{config: new(Config), byTitle: make(map[string]*ini.Section)}
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		sections, errs := ini.Parse(name, files[name])
		l.errs = append(l.errs, errs...)
		for i := range sections {
			l.loadSection(&sections[i])
		}
	}
	l.config.addDefaults()
	l.config.sort()
	l.checkReferences()
	if err := l.errs.Err(); err != nil {
		return nil, err
	}
	return l.config, nil
}

type loader struct {
	config  *Config
	byTitle map[string]*ini.Section // sections loaded so far
	errs    ini.Errors
}

func (l *loader) fail(sec *ini.Section, key, format string, args ...any) {
	where := sec.Title()
	line := sec.Line
	if key != "" {
		where += "." + key
		line = sec.LineOf(key)
	}
	l.errs = append(l.errs, &ini.Error{File: sec.File, Line: line, Where: where, What: fmt.Sprintf(format, args...)})
}

func (l *loader) loadSection(sec *ini.Section) {
	if sec.Name == "" {
		l.fail(sec, "", "has no name, write [%s NAME]", sec.Kind)
		return
	}
	if first, ok := l.byTitle[sec.Title()]; ok {
		l.fail(sec, "", "given twice, first at %s:%d", first.File, first.Line)
		return
	}
	l.byTitle[sec.Title()] = sec
	c := l.config
	switch sec.Kind {
	case "fleet":
		c.Fleets = append(c.Fleets, Fleet{Name: sec.Name})
		l.decode(sec, &c.Fleets[len(c.Fleets)-1])
	case "target":
		c.Targets = append(c.Targets, Target{Name: sec.Name})
		l.decode(sec, &c.Targets[len(c.Targets)-1])
	case "group":
		c.Groups = append(c.Groups, Group{Name: sec.Name})
		l.decode(sec, &c.Groups[len(c.Groups)-1])
	case "service":
		c.Services = append(c.Services, Service{Name: sec.Name})
		l.decode(sec, &c.Services[len(c.Services)-1])
	case "team":
		c.Teams = append(c.Teams, Team{Name: sec.Name})
		l.decode(sec, &c.Teams[len(c.Teams)-1])
	case "policy":
		c.Policies = append(c.Policies, Policy{Name: sec.Name})
		l.decode(sec, &c.Policies[len(c.Policies)-1])
	default:
		l.fail(sec, "", "unknown kind of section, allowed: fleet, group, policy, service, target, team")
	}
}

func (l *loader) decode(sec *ini.Section, dst any) {
	l.errs = append(l.errs, ini.Decode(sec, dst)...)
}

// DefaultPolicy is the name of the policy of services that name none.
const DefaultPolicy = "default"

// addDefaults adds the default policy if the configuration has none.
func (c *Config) addDefaults() {
	if slices.ContainsFunc(c.Policies, func(p Policy) bool { return p.Name == DefaultPolicy }) {
		return
	}
	p := Policy{Name: DefaultPolicy}
	// An empty section has no keys, so decoding it cannot fail.
	_ = ini.Decode(&ini.Section{Kind: "policy", Name: DefaultPolicy}, &p)
	c.Policies = append(c.Policies, p)
}

func (c *Config) sort() {
	slices.SortFunc(c.Fleets, func(a, b Fleet) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Targets, func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Groups, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Policies, func(a, b Policy) int { return cmp.Compare(a.Name, b.Name) })
}

// checkReferences reports references to sections that do not exist, and then the
// other faults that depend on several sections.
func (l *loader) checkReferences() {
	for _, t := range l.config.Targets {
		l.checkReference("target", t.Name, "fleet", "fleet", t.Fleet)
	}
	for _, s := range l.config.Services {
		l.checkReference("service", s.Name, "fleet", "fleet", s.Fleet)
		if s.Policy != DefaultPolicy {
			l.checkReference("service", s.Name, "policy", "policy", s.Policy)
		}
	}
	for _, g := range l.config.Groups {
		l.checkReference("group", g.Name, "fleet", "fleet", g.Fleet)
		for _, rank := range g.Ranks {
			l.checkReference("group", g.Name, "ranks", "target", rank)
		}
	}
	for _, t := range l.config.Teams {
		for _, s := range t.Services {
			l.checkReference("team", t.Name, "services", "service", s)
		}
		l.checkKeyHashes(t)
	}
	l.checkSemantics()
}

// checkReference reports an error if the section that key refers to does not exist.
func (l *loader) checkReference(kind, name, key, wantKind, want string) {
	sec := l.byTitle[kind+" "+name]
	if sec == nil || want == "" {
		return
	}
	if _, ok := l.byTitle[wantKind+" "+want]; !ok {
		l.fail(sec, key, "there is no [%s %s]", wantKind, want)
	}
}

func (l *loader) checkKeyHashes(t Team) {
	sec := l.byTitle["team "+t.Name]
	for _, h := range t.KeyHashes {
		if len(h) != keyHashHexLen || strings.Trim(h, "0123456789abcdef") != "" {
			l.fail(sec, "key-hash", "want the sha256 of a key as %d lower-case hex digits", keyHashHexLen)
		}
	}
}
