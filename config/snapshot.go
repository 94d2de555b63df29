package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"
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
	teams    map[string]*Team
}

// NewSnapshot indexes a configuration.
func NewSnapshot(version uint64, id string, digest uint64, c *Config) *Snapshot {
	s := &Snapshot{
		Version:  version,
		ID:       id,
		Digest:   digest,
		Config:   c,
		services: make(map[string]*Service, len(c.Services)),
		policies: make(map[string]*Policy, len(c.Policies)),
		fleets:   make(map[string]*Fleet, len(c.Fleets)),
		byFleet:  make(map[string][]Target, len(c.Fleets)),
		byKey:    make(map[string]*Team, len(c.Teams)),
		teams:    make(map[string]*Team, len(c.Teams)),
	}
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
	}
	for i := range c.Teams {
		s.teams[c.Teams[i].Name] = &c.Teams[i]
		for _, h := range c.Teams[i].KeyHashes {
			s.byKey[h] = &c.Teams[i]
		}
	}
	return s
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
func (s *Snapshot) Team(name string) *Team { return s.teams[name] }

// Weight returns a team's share under contention.
func (s *Snapshot) Weight(team string) int {
	if t := s.teams[team]; t != nil {
		return t.Weight
	}
	return 1
}

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

// Encode returns the one encoding of a configuration and its digest.
func Encode(c *Config) ([]byte, uint64, error) {
	b, err := c.MarshalMsg(nil)
	if err != nil {
		return nil, 0, fmt.Errorf("encode configuration: %w", err)
	}
	return b, xxhash.Sum64(b), nil
}
