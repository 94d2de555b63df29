package config

//go:generate go tool -modfile=../tools/go.mod msgp -tests=false -io=false -o presence_gen.go

import (
	"fmt"
	"time"
)

// RecordPresence is the kind of log records that contain a Presence. These records change no
// configuration.
const RecordPresence = "presence"

// Presence announces on the log that a process handles non-repeatable requests.
//
// Agents read presence records to learn which entries exist. If a request arrives whose
// idempotency key an agent does not know, the agent runs the request only after these
// entries have reported whether they dispatched the key elsewhere. Entries read presence
// records to learn that a target has a newer agent than the one they are connected to.
type Presence struct {
	Role        string       `msg:"r"` // PresenceEntry or PresenceAgent
	Name        string       `msg:"n"` // name of the entry or of the target
	Incarnation uint64       `msg:"i"`
	AtMs        int64        `msg:"a"` // Unix milliseconds, by the clock of the process
	Gone        bool         `msg:"g"` // last record of an entry, which has stopped dispatching requests
	Dispatched  []Dispatched `msg:"d"` // keys that a stopped entry dispatched within the deduplication window; may be split over several records, Gone is set in the last
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
func (p *Presence) Encode() ([]byte, error) { return NewRecord(RecordPresence, p) }

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
