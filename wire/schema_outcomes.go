package wire

//go:generate go tool -modfile=../tools/go.mod msgp -tests=false -io=false -o schema_outcomes_gen.go

//msgp:limit arrays:131072 maps:131072

// Notes on dispatches, crashes and shutdowns.
const (
	NoteDispatchReport Note = 10 // DispatchReport, entry to agent
	NoteCrash          Note = 11 // Crash, agent to entry
	// NoteShutdown is empty: the agent has ended all its responses and stops. The
	// entry closes the connection once it has received them.
	NoteShutdown Note = 12
)

// DispatchReport is the report of an entry to an agent about the non-repeatable
// requests that it has dispatched. After sending it, the entry dispatches no such
// request under an older configuration version.
type DispatchReport struct {
	Version uint64   `msg:"v"`
	Targets []string `msg:"t"` // declared targets of the fleet of the agent under Version
	// Keys are hashes of idempotency keys. The entry has dispatched these keys to another
	// target or incarnation. Under Version the receiving agent is the home of the keys
	// (the only agent that may run them).
	Keys []uint64 `msg:"k"`
}

// Crash reports the crash of an engine and the requests that were running on it.
type Crash struct {
	ID       uint64   `msg:"i"` // id of the crash, unique over all agents and restarts
	Target   string   `msg:"t"`
	Alone    bool     `msg:"a"` // the only running request was already a suspect of an earlier crash and ran alone
	Suspects []uint64 `msg:"s"` // fingerprints of the running requests
	AgeMs    int64    `msg:"g"` // milliseconds since the crash; agents repeat crash reports to entries that connect later
}
