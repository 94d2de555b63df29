// Package ablate disables one mechanism at build time, so that its effect can be
// measured:
//
//	go build -ldflags "-X github.com/heatherrail/heatherrail/internal/ablate.off=breaker" ./cmd/...
//
// No setting, flag or environment variable disables a mechanism: a program that is built
// as deploy/system.toml specifies has all of them. tools/ablate builds and runs each
// variant.
package ablate

// Mechanism is a mechanism that can be disabled.
type Mechanism string

// Mechanisms. Each comment describes the behaviour without the mechanism.
const (
	Limit            Mechanism = "limit"            // the limit on streams of an engine is the number of its slots
	Headroom         Mechanism = "room"             // each entry uses all the headroom that it sees
	LateShare        Mechanism = "late-share"       // late streams use all remaining headroom
	Breaker          Mechanism = "breaker"          // requests are sent to a broken group
	OnTimeFirst      Mechanism = "in-time-first"    // requests are admitted in the order of arrival
	RefuseEarly      Mechanism = "refuse-early"     // requests are queued even if the expected wait is too long
	CannotFinish     Mechanism = "cannot-finish"    // streams are admitted that can't finish on time
	Sample           Mechanism = "sample"           // each placement compares all targets
	SlowWeight       Mechanism = "slow-weight"      // a slow rank gets the same share of work as others
	SlowLeftOut      Mechanism = "slow-left-out"    // a very slow rank gets work
	Ejection         Mechanism = "ejection"         // failing targets get work
	FailureReports   Mechanism = "doubts"           // an entry does not send failure reports to other entries
	Resume           Mechanism = "resume"           // a broken stream is not resumed
	TwoMeans         Mechanism = "two-means"        // demand is estimated by one mean
	Urgency          Mechanism = "urgency"          // plans price copies as for a busy group
	FastHoldRecovery Mechanism = "held-soon"        // ranks of a group left on hold are queried with the usual time limits
	StoreTurns       Mechanism = "store-turns"      // every entry reads the store as often as the first one
	Rest             Mechanism = "rest"             // targets that ask for rest get work
	RestRecovery     Mechanism = "rest-recovery"    // targets get work without permits right after a rest
	StoreEra         Mechanism = "store-era"        // positions of the store do not tell the eras of the store apart
	KeptRecords      Mechanism = "kept-records"     // records that the store has lost are not kept until they are written again
	Leaving          Mechanism = "leaving"          // targets that say that they leave get work until the store says so too
	QueueUrgency     Mechanism = "queue-urgency"    // headroom is divided by the number of queued requests, whatever their urgency
	ShiftSample      Mechanism = "shift-sample"     // plans right after a shift use selections from before it; no time of the next shift bounds their gain
	DemandExchange   Mechanism = "demand-exchange"  // leaders do not send demand samples to other groups
	UnreportedGroup  Mechanism = "unreported-group" // a group without current load reports gets no work while another group reports
	Quarantine       Mechanism = "quarantine"       // requests are sent however many targets have crashed while they ran
	SuspectTrial     Mechanism = "suspect-trial"    // suspects run beside each other, at several entries at once
	LocalGroup       Mechanism = "local-group"      // groups of all data centres are used alike
)

// off is the disabled mechanism, set by the linker; empty: none.
var off string

// Off reports whether a mechanism is disabled in this build.
func Off(m Mechanism) bool { return off == string(m) }
