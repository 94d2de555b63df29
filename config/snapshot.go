package config

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
)

const keyHashHexLen = sha256.Size * 2

// HashKey returns the SHA-256 of a team's key in hex, as in the setting key-hash.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Snapshot is one accepted version with indexes for look-ups by requests. It is
// immutable.
type Snapshot struct {
	Version uint64
	ID      string // id of the change that produced the version
	Digest  uint64
	Config  *Config

	services map[string]*Service
	policies map[string]*Policy
	fleets   map[string]*Fleet
	byFleet  map[string][]Target
	byKey    map[string]*Team
	fleetOf  map[string]string // name of the fleet, by target name
}

// NewSnapshot returns a snapshot of c with its indexes.
func NewSnapshot(version uint64, id string, digest uint64, c *Config) *Snapshot {
	s := &Snapshot{Version: version, ID: id, Digest: digest, Config: c}
	s.indexAll()
	return s
}

// successor returns the snapshot of the next version. It shares the key index with s
// if the teams did not change: with 38,000 teams that index is the largest, and most
// changes do not affect it.
func (s *Snapshot) successor(version uint64, id string, digest uint64, c *Config) *Snapshot {
	if s == nil || !sharesTeams(s.Config.Teams, c.Teams) {
		return NewSnapshot(version, id, digest, c)
	}
	next := &Snapshot{Version: version, ID: id, Digest: digest, Config: c, byKey: s.byKey}
	next.indexExceptTeams()
	return next
}

// withVersion returns the same configuration under another version.
func (s *Snapshot) withVersion(version uint64) *Snapshot {
	next := *s
	next.Version = version
	return &next
}

// sharesTeams reports whether a and b are the same slice.
func sharesTeams(a, b []Team) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (s *Snapshot) indexAll() {
	s.indexExceptTeams()
	s.byKey = make(map[string]*Team, len(s.Config.Teams))
	for i := range s.Config.Teams {
		for _, h := range s.Config.Teams[i].KeyHashes {
			s.byKey[h] = &s.Config.Teams[i]
		}
	}
}

func (s *Snapshot) indexExceptTeams() {
	c := s.Config
	s.services = make(map[string]*Service, len(c.Services))
	s.policies = make(map[string]*Policy, len(c.Policies))
	s.fleets = make(map[string]*Fleet, len(c.Fleets))
	s.byFleet = make(map[string][]Target, len(c.Fleets))
	s.fleetOf = make(map[string]string, len(c.Targets))
	for i := range c.Services {
		s.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Policies {
		s.policies[c.Policies[i].Name] = &c.Policies[i]
	}
	for i := range c.Fleets {
		s.fleets[c.Fleets[i].Name] = &c.Fleets[i]
	}
	for _, t := range c.Targets {
		s.byFleet[t.Fleet] = append(s.byFleet[t.Fleet], t)
		s.fleetOf[t.Name] = t.Fleet
	}
}

// Service returns a service by name, or nil if there is none.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Policy returns the policy of a service. Load guarantees that it exists.
func (s *Snapshot) Policy(svc *Service) *Policy { return s.policies[svc.Policy] }

// Fleet returns the fleet of a service.
func (s *Snapshot) Fleet(svc *Service) *Fleet { return s.fleets[svc.Fleet] }

// Targets returns the declared targets of a fleet, sorted by name.
func (s *Snapshot) Targets(fleet string) []Target { return s.byFleet[fleet] }

// Team returns a team by name, or nil if there is none.
func (s *Snapshot) Team(name string) *Team {
	at, ok := slices.BinarySearchFunc(s.Config.Teams, name, func(t Team, name string) int { return cmp.Compare(t.Name, name) })
	if !ok {
		return nil
	}
	return &s.Config.Teams[at]
}

// Weight returns a team's share under contention, 1 for an unknown team.
func (s *Snapshot) Weight(team string) int {
	if t := s.Team(team); t != nil {
		return t.Weight
	}
	return 1
}

// FleetOfTarget returns the fleet of a declared target, or "" for any other name.
func (s *Snapshot) FleetOfTarget(target string) string { return s.fleetOf[target] }

// TeamByKey returns the team that owns a key, or nil. The map look-up uses the hash
// of the key, so its timing reveals nothing about the key. The stored hash is
// compared in constant time nevertheless.
func (s *Snapshot) TeamByKey(key string) *Team {
	hash := HashKey(key)
	team := s.byKey[hash]
	if team == nil {
		return nil
	}
	for _, h := range team.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(h), []byte(hash)) == 1 {
			return team
		}
	}
	return nil
}
