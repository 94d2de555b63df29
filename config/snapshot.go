package config

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
)

const hashHexLen = sha256.Size * 2

// HashKey returns what the files hold in place of a team's key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Snapshot is one accepted version, with the look-ups that requests need. It
// never changes after it was made.
type Snapshot struct {
	Version uint64
	ID      string // of the change that made it
	Digest  uint64
	Config  *Config

	services map[string]*Service
	policies map[string]*Policy
	fleets   map[string]*Fleet
	byFleet  map[string][]Target
	byKey    map[string]*Team
	fleetOf  map[string]string // by target
}

// NewSnapshot indexes a configuration.
func NewSnapshot(version uint64, id string, digest uint64, c *Config) *Snapshot {
	s := &Snapshot{Version: version, ID: id, Digest: digest, Config: c}
	s.indexAll()
	return s
}

// successor indexes the next version. What did not change is shared: at 38,000
// teams the index of keys is the largest part, and most changes leave it alone.
func (s *Snapshot) successor(version uint64, id string, digest uint64, c *Config) *Snapshot {
	if s == nil || !sameTeams(s.Config.Teams, c.Teams) {
		return NewSnapshot(version, id, digest, c)
	}
	next := &Snapshot{Version: version, ID: id, Digest: digest, Config: c, byKey: s.byKey}
	next.indexSmall()
	return next
}

// sameTeams reports whether two versions share one list.
func sameTeams(a, b []Team) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (s *Snapshot) indexAll() {
	s.indexSmall()
	s.byKey = make(map[string]*Team, len(s.Config.Teams))
	for i := range s.Config.Teams {
		for _, h := range s.Config.Teams[i].KeyHashes {
			s.byKey[h] = &s.Config.Teams[i]
		}
	}
}

func (s *Snapshot) indexSmall() {
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

// Service returns a service by name, nil if there is none.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Policy returns the policy of a service; checked files always have it.
func (s *Snapshot) Policy(svc *Service) *Policy { return s.policies[svc.Policy] }

// Fleet returns the fleet of a service.
func (s *Snapshot) Fleet(svc *Service) *Fleet { return s.fleets[svc.Fleet] }

// Targets returns the declared targets of a fleet in the order of their names.
func (s *Snapshot) Targets(fleet string) []Target { return s.byFleet[fleet] }

// Team returns a team by name, nil if there is none.
func (s *Snapshot) Team(name string) *Team {
	at, ok := slices.BinarySearchFunc(s.Config.Teams, name, func(t Team, name string) int { return cmp.Compare(t.Name, name) })
	if !ok {
		return nil
	}
	return &s.Config.Teams[at]
}

// Weight returns a team's share under contention.
func (s *Snapshot) Weight(team string) int {
	if t := s.Team(team); t != nil {
		return t.Weight
	}
	return 1
}

// FleetOfTarget returns the fleet of a declared target, empty for any other name.
func (s *Snapshot) FleetOfTarget(target string) string { return s.fleetOf[target] }

// TeamByKey returns the team that a key belongs to. The look-up is by the key's
// hash, so its timing tells nothing about the key; the comparison of the stored
// hash is in constant time all the same.
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
