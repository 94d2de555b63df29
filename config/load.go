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

// LoadDir reads and checks all *.ini files of a directory. The error lists every
// fault as file:line (ini.Errors), or says why the directory can't be read.
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

// Load checks files, given as name to text, and returns one configuration.
func Load(files map[string]string) (*Config, error) {
	l := loader{config: new(Config), seen: make(map[string]*ini.Section)}
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		sections, errs := ini.Parse(name, files[name])
		l.errs = append(l.errs, errs...)
		for i := range sections {
			l.section(&sections[i])
		}
	}
	l.config.addDefaults()
	l.config.sort()
	l.cross()
	if err := l.errs.Err(); err != nil {
		return nil, err
	}
	return l.config, nil
}

type loader struct {
	config *Config
	seen   map[string]*ini.Section // by title
	errs   ini.Errors
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

func (l *loader) section(sec *ini.Section) {
	if sec.Name == "" {
		l.fail(sec, "", "has no name, write [%s NAME]", sec.Kind)
		return
	}
	if first, ok := l.seen[sec.Title()]; ok {
		l.fail(sec, "", "given twice, first at %s:%d", first.File, first.Line)
		return
	}
	l.seen[sec.Title()] = sec
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

// DefaultPolicy is the name of the policy that services use when they name none.
const DefaultPolicy = "default"

// addDefaults gives the default policy to configurations that don't write one.
func (c *Config) addDefaults() {
	if slices.ContainsFunc(c.Policies, func(p Policy) bool { return p.Name == DefaultPolicy }) {
		return
	}
	p := Policy{Name: DefaultPolicy}
	// An empty section has no keys that could be wrong.
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

// cross checks what one section says about another.
func (l *loader) cross() {
	for _, t := range l.config.Targets {
		l.needs("target", t.Name, "fleet", "fleet", t.Fleet)
	}
	for _, s := range l.config.Services {
		l.needs("service", s.Name, "fleet", "fleet", s.Fleet)
		if s.Policy != DefaultPolicy {
			l.needs("service", s.Name, "policy", "policy", s.Policy)
		}
	}
	for _, g := range l.config.Groups {
		l.needs("group", g.Name, "fleet", "fleet", g.Fleet)
		for _, rank := range g.Ranks {
			l.needs("group", g.Name, "ranks", "target", rank)
		}
	}
	for _, t := range l.config.Teams {
		for _, s := range t.Services {
			l.needs("team", t.Name, "services", "service", s)
		}
		l.keyHashes(t)
	}
	l.sense()
}

// needs reports a reference to a section that does not exist.
func (l *loader) needs(kind, name, key, wantKind, want string) {
	sec := l.seen[kind+" "+name]
	if sec == nil || want == "" {
		return
	}
	if _, ok := l.seen[wantKind+" "+want]; !ok {
		l.fail(sec, key, "there is no [%s %s]", wantKind, want)
	}
}

func (l *loader) keyHashes(t Team) {
	sec := l.seen["team "+t.Name]
	for _, h := range t.KeyHashes {
		if len(h) != hashHexLen || strings.Trim(h, "0123456789abcdef") != "" {
			l.fail(sec, "key-hash", "want the sha256 of a key as %d lower-case hex digits", hashHexLen)
		}
	}
}
