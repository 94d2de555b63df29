package config

//go:generate go tool -modfile=../tools/go.mod msgp -tests=false -io=false -o presence_gen.go

import (
	"fmt"
	"time"
)

// RecordPresence holds a Presence. It changes no configuration.
const RecordPresence = "presence"

// Presence says that an entry exists and may dispatch requests that must not run
// twice. Agents read it to know whom to ask about keys that they don't know.
type Presence struct {
	Entry       string `msg:"e"`
	Incarnation uint64 `msg:"i"`
	AtMs        int64  `msg:"a"` // Unix milliseconds by the entry's clock
}

// NewPresence encodes a presence record for the log.
func NewPresence(entry string, incarnation uint64, at time.Time) ([]byte, error) {
	p := Presence{Entry: entry, Incarnation: incarnation, AtMs: at.UnixMilli()}
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
