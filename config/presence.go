package config

//go:generate go tool -modfile=../tools/go.mod msgp -tests=false -io=false -o presence_gen.go

import (
	"fmt"
	"time"
)

// RecordPresence holds a Presence. It changes no configuration.
const RecordPresence = "presence"

// Presence announces on the log a process that handles non-repeatable requests.
// Agents read it to learn which entries must send a dispatch report before an unknown
// idempotency key may run. Entries read it to learn that a target has a newer agent
// than the connected one.
type Presence struct {
	Role        string       `msg:"r"` // PresenceEntry or PresenceAgent
	Name        string       `msg:"n"` // name of the entry or of the target
	Incarnation uint64       `msg:"i"`
	AtMs        int64        `msg:"a"` // Unix milliseconds, by the clock of the process
	Gone        bool         `msg:"g"` // the entry has stopped dispatching
	Dispatched  []Dispatched `msg:"d"` // with Gone: the keys that the entry dispatched within the deduplication window
}

// Dispatched is one idempotency key that an entry dispatched to an agent.
//
//msgp:tuple Dispatched
type Dispatched struct {
	Key         uint64 // hash of the idempotency key; see route.KeyHash
	Target      string
	Incarnation uint64 // incarnation of the agent
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

// At returns the time at which the presence was written, by the clock of its writer.
func (p *Presence) At() time.Time { return time.UnixMilli(p.AtMs) }

// ReadPresence returns the presence in a log record, or nil if the record is of
// another kind.
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
