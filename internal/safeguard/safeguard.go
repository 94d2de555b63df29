// Package safeguard lists the safeguards that a test can disable in order to verify
// that the test's checker detects the resulting violations. The package is internal, so
// users of the module can't disable a safeguard.
package safeguard

// Off selects the safeguards that are disabled. In production it has its zero value: all
// safeguards are enabled.
type Off struct {
	Deduplication    bool // agent: keep the deduplication table of idempotency keys
	DispatchCheck    bool // agent: ask the entries that may have dispatched an unknown key
	EntryList        bool // agent: also ask the entries that have no connection to the agent
	Rest             bool // agent: send nothing to a target that has asked for rest
	Incarnation      bool // agent: refuse requests sent to an earlier incarnation
	DispatchLog      bool // entry: record dispatches and report them to agents that ask
	Supersede        bool // entry: send nothing to an agent that a newer one of the same target supersedes
	UncertainOutcome bool // entry: a later "not run" does not clear an earlier "may have run"
	Home             bool // entry: route each key to its home target
	Deadline         bool // entry: end a request at its deadline
	Continue         bool // entry: continue a broken stream where it ended
	Quarantine       bool // entry: run suspects of a crash alone, and refuse a request that crashed its targets
}
