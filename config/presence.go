package config

//go:generate go tool -modfile=../tools/go.mod msgp -tests=false -io=false -o presence_gen.go

import (
	"fmt"
	"time"
)

// RecordPresence holds a Presence. It changes no configuration.
const RecordPresence = "presence"

// Presence says that a process exists which takes part in requests that must not
// run twice. Agents read it to know which entries to ask about a key; entries, to
// know that a target has a newer agent than the one they reach.
type Presence struct {
	Role        string       `msg:"r"` // PresenceEntry or PresenceAgent
	Name        string       `msg:"n"` // of the entry or the target
	Incarnation uint64       `msg:"i"`
	AtMs        int64        `msg:"a"` // Unix milliseconds by the process's clock
	Gone        bool         `msg:"g"` // an entry that dispatches nothing more
	Dispatched  []Dispatched `msg:"d"` // with Gone: what it dispatched within the window
}

// Dispatched is one key that an entry sent to an agent.
//
//msgp:tuple Dispatched
type Dispatched struct {
	Key         uint64 // route.KeyHash
	Target      string
	Incarnation uint64 // of the agent
}

// Roles in Presence.
const (
	PresenceEntry = "entry"
	PresenceAgent = "agent"
)

// Encode returns the log record of a presence.
func (p *Presence) Encode() ([]byte, error) {
	body, err := p.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("encode presence: %w", err)
	}
	rec := Record{Schema: RecordSchema, Kind: RecordPresence, Body: body}
	raw, err := rec.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return raw, nil
}

// At returns when the presence was written, by its writer's clock.
func (p *Presence) At() time.Time { return time.UnixMilli(p.AtMs) }

// ReadPresence returns the presence that a log record holds, nil if it holds
// something else.
func ReadPresence(raw []byte) (*Presence, error) {
	var rec Record
	if _, err := rec.UnmarshalMsg(raw); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	if rec.Kind != RecordPresence {
		return nil, nil
	}
	p := new(Presence)
	if _, err := p.UnmarshalMsg(rec.Body); err != nil {
		return nil, fmt.Errorf("presence: %w", err)
	}
	return p, nil
}
