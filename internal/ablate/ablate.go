// Package ablate leaves out one mechanism of a build, to measure what it is worth:
//
//	go build -ldflags "-X github.com/heatherrail/heatherrail/internal/ablate.off=breaker" ./cmd/...
//
// No setting, flag or environment variable does so: a program that is built as
// deploy/system.toml says has all mechanisms. tools/ablate builds and plays each.
package ablate

// Mechanism is one that can be left out.
type Mechanism string

// Mechanisms, by what is done without them.
const (
	Limit        Mechanism = "limit"         // streams fill all places of an engine
	Room         Mechanism = "room"          // each entry takes all the room that it sees
	LateShare    Mechanism = "late-share"    // late streams take all the room that is left
	Breaker      Mechanism = "breaker"       // requests go to a group that is broken
	InTimeFirst  Mechanism = "in-time-first" // requests go in the order of arrival
	RefuseEarly  Mechanism = "refuse-early"  // requests wait though it will be too long
	CannotFinish Mechanism = "cannot-finish" // streams are taken that can't end in time
	Sample       Mechanism = "sample"        // each placement compares all targets
	SlowWeight   Mechanism = "slow-weight"   // a slow rank gets its share of work
	SlowLeftOut  Mechanism = "slow-left-out" // a very slow rank may get work
	Ejection     Mechanism = "ejection"      // targets that fail get work
	Doubts       Mechanism = "doubts"        // what one entry has seen of a target stays with it
	Resume       Mechanism = "resume"        // a broken stream ends
	TwoMeans     Mechanism = "two-means"     // demand is one mean
	Urgency      Mechanism = "urgency"       // plans rate copies as a busy group does
	HeldSoon     Mechanism = "held-soon"     // a group left held is asked with the usual time limits
	StoreTurns   Mechanism = "store-turns"   // every entry reads the store as the first one does
)

// off is set by the linker.
var off string

// Off tells whether this build does without a mechanism.
func Off(m Mechanism) bool { return off == string(m) }
