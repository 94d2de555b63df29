// Package safeguard names the safeguards that a test can switch off, to see that
// its checker notices. Nothing outside this module can reach it.
package safeguard

// Off lists safeguards that are switched off. The zero value is the product.
type Off struct {
	Ledger      bool // agent: remember keys
	Witness     bool // agent: ask who may have run an unknown key
	Roster      bool // agent: ask entries that are not linked
	Incarnation bool // agent: refuse what was sent to an earlier process
	Book        bool // entry: book dispatches and attest them
	Supersede   bool // entry: go to no overtaken agent
	Doubt       bool // entry: a later "not run" does not undo an earlier doubt
	Home        bool // entry: one home for each key
	Deadline    bool // entry: end a request at its deadline
	Continue    bool // entry: continue a text where it was cut
}
