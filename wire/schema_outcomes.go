package wire

//go:generate go tool -modfile=../tools/go.mod msgp -tests=false -io=false -o schema_outcomes_gen.go

//msgp:limit arrays:131072 maps:131072

// Notes of this file.
const (
	NoteDispatchReport Note = 10 // DispatchReport, entry to agent
	NoteCrash          Note = 11 // Crash, agent to entry
	// NoteShutdown is empty: the agent has ended all its answers and stops. The
	// entry hangs up once it has received them.
	NoteShutdown Note = 12
)

// DispatchReport is an entry's statement to an agent about requests that must not run
// twice. From now on the entry dispatches none of them under an older version.
type DispatchReport struct {
	Version uint64   `msg:"v"`
	Targets []string `msg:"t"` // declared targets of the agent's fleet under Version
	// Keys are the hashes of the keys whose home the agent is under Version and
	// which the entry has dispatched to another target or incarnation.
	Keys []uint64 `msg:"k"`
}

// Crash reports that an engine died and what was running on it.
type Crash struct {
	ID       uint64   `msg:"i"` // unique over all agents and restarts
	Target   string   `msg:"t"`
	Alone    bool     `msg:"a"` // the only suspect ran alone on purpose
	Suspects []uint64 `msg:"s"` // fingerprints
	AgeMs    int64    `msg:"g"` // since the crash; agents repeat reports to entries that come later
}
