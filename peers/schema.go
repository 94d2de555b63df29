package peers

import "time"

//go:generate go tool -modfile=../tools/go.mod msgp -tests=false -io=false -o schema_gen.go

//msgp:limit arrays:8388608 maps:1024

// Kind is the type of a message. The numbers are part of the protocol.
type Kind uint8

// Kinds of messages.
const (
	KindHeartbeat Kind = 1 // request Heartbeat, response Heartbeat
	KindCollect   Kind = 2 // request Collect, response RankState
	KindOrder     Kind = 3 // request RankOrder, response OrderResult
	KindLoads     Kind = 4 // request LoadsQuery, response Loads
	KindProbe     Kind = 5 // request ProbeQuery, response ProbeResult
	KindPermit    Kind = 6 // request PermitQuery, response PermitResult
	KindDemand    Kind = 7 // request DemandSample, response DemandAck
)

// Heartbeat shows a peer that an entry is alive and gossips its state. The response, another
// Heartbeat, contains the state that the sender of the first one lacks.
//
//msgp:tuple Heartbeat
type Heartbeat struct {
	Entry           Presence
	Members         []Member // recent updates of the sender's member table; the whole table if the other entry set All
	Digest          uint64   // hash of the sender's member table
	All             bool     // requests the whole member table of the other entry
	Topics          []TopicState
	Updates         []TopicUpdate
	RequestedTopics uint8 // bit set of the topics for which the sender requests updates
	FailureReports  []FailureReport
	Rates           []Rate
	Leavings        []Leaving
	Suspects        []Suspect
}

// Suspect is a request that was running on targets when they crashed.
//
//msgp:tuple Suspect
type Suspect struct {
	Fingerprint uint64 // hash of the request's content
	Crashes     []SuspectCrash
	Trials      []Trial
}

// SuspectCrash is a crash that a suspect may have caused.
//
//msgp:tuple SuspectCrash
type SuspectCrash struct {
	Target  uint64 // hash of the run of the target that crashed
	AgeMS   uint32 // time since the crash
	Cleared bool   // the request has completed since
}

// Trial is a run of a suspect that may only run alone.
//
//msgp:tuple Trial
type Trial struct {
	Entry  string // entry that runs the suspect
	Seq    uint64 // rises with each trial of the entry
	Target uint64 // hash of the run of the target
	LeftMS uint32 // time until the trial ends at the latest
	Ended  bool
}

// SuspectRecord is the record in the store of a suspect that entries reject.
//
//msgp:tuple SuspectRecord
type SuspectRecord struct {
	WrittenAtMS int64 // time of writing in Unix milliseconds; the ages of the suspect are as of this time
	Suspect     Suspect
}

// Leaving is the statement of a target that it leaves and must get no new requests.
//
//msgp:tuple Leaving
type Leaving struct {
	Target      string
	StartedAtMS int64  // start of the target's run, in Unix milliseconds
	AgeMS       uint32 // time since the target last said so
}

// Rate is a target's rate limit on the requests of all entries together.
//
//msgp:tuple Rate
type Rate struct {
	Target      string
	StartedAtMS int64   // start of the target's run, in Unix milliseconds
	PerSecond   float64 // requests a second; negative: the target no longer reports a limit
	AgeMS       uint32  // time since the target's latest report of the limit
}

// PermitQuery asks the permit owner of a target, the entry that issues its permits, for a
// permit to send one request to the target.
//
//msgp:tuple PermitQuery
type PermitQuery struct {
	Rate           Rate    // rate limit of the target, as the querying entry knows it
	MaxWaitMS      uint32  // longest time that the request may wait
	RejectIfDenied bool    // the caller's request is rejected if no permit is granted
	ColdRate       float64 // requests a second that the target takes while it is cold or has just ended a rest; 0: it is neither
}

// PermitResult is the response to a PermitQuery: when the request may be sent to the target.
//
//msgp:tuple PermitResult
type PermitResult struct {
	Owner        bool // the queried entry is the permit owner of the target; if false, the other fields are unset
	Granted      bool
	WaitMS       uint32 // time until the permit is valid or, if it is denied, until one may be available
	RetryAfterMS uint32 // retry delay for a rejected caller
	Rate         Rate   // rate limit of the target, as the permit owner knows it
}

// FailureReport is what one entry has seen of a target's failures: broken connections and
// timeouts.
//
//msgp:tuple FailureReport
type FailureReport struct {
	Entry           string // entry that saw the failures
	Target          string
	StartedAtMS     int64  // start of the target's run, in Unix milliseconds
	ConnBrokenAgeMS uint32 // time since the latest broken connection; Never: none
	TimeoutAgeMS    uint32 // time since the latest timeout; Never: none
	Timeouts        uint16 // consecutive timeouts
	SuccessAgeMS    uint32 // time since the latest complete response; Never: none
}

// MaxNameBytes is the maximum length of the names and addresses that are kept of a message.
const MaxNameBytes = 255

// IsName reports whether a name in a message may be kept.
func IsName(s string) bool { return s != "" && len(s) <= MaxNameBytes }

// Never is the age of an event that has not happened.
const Never = 1<<32 - 1

// Member is what one entry knows of another.
//
//msgp:tuple Member
type Member struct {
	Entry Presence
	Lost  bool // the entry answered neither a direct probe nor the indirect probes that followed
}

// ProbeQuery asks an entry to probe another one (an indirect probe).
//
//msgp:tuple ProbeQuery
type ProbeQuery struct {
	Name string
}

// ProbeResult is the result of an indirect probe.
//
//msgp:tuple ProbeResult
type ProbeResult struct {
	Known    bool // the queried entry knows the entry to be probed
	Answered bool
}

// Presence describes how to reach an entry and whether it accepts requests.
//
//msgp:tuple Presence
type Presence struct {
	Name           string
	Incarnation    uint64 // differs between starts of the process
	Revision       uint64 // rises within an incarnation whenever the entry changes its presence
	DataCentre     string
	CallerAddr     string // address that callers connect to
	PeerAddr       string // address that entries connect to
	Ready          bool
	StoreReachable bool // the entry can reach the store
}

// TopicState is how far an entry has read a topic of the store.
//
//msgp:tuple TopicState
type TopicState struct {
	Next  uint64 // the entry knows all records before this position
	Kept  uint64 // hash of the records that the entry keeps from earlier eras of the store; 0: none
	AgeMS uint32 // time since an entry last read all these records from the store
	Read  bool   // an entry has read the topic, which may have been empty
}

// TopicUpdate holds the records of a topic that the receiver lacks.
//
//msgp:tuple TopicUpdate
type TopicUpdate struct {
	Topic      uint8
	FromOffset uint64 // the update applies to a receiver that knows all records before this position
	NextOffset uint64
	LiveFrom   uint64 // records from this position on have been written in the era of the store
	Full       bool   // Records are the newest records of all existing keys, for a receiver at any offset
	Records    []Record
	Packed     []byte // Records in msgpack, compressed with DEFLATE; set instead of Records if they are large
}

// Records are the records of a topic.
type Records []Record

// Record is the newest record of a key.
//
//msgp:tuple Record
type Record struct {
	Key    string
	Value  []byte
	Offset uint64
}

// Collect asks an agent for the state of its rank.
//
//msgp:tuple Collect
type Collect struct {
	Counts  bool     // include the selections of each expert since the last Collect with Counts
	Lists   bool     // include the experts that the map in use assigns to the rank
	Leader  string   // address of the group's leader; set only in the Collects of the leader's rounds
	Fence   uint64   // number of a pass for which the agent must no longer arm its rank (OrderArm); 0: none
	Epoch   uint64   // epoch of the group in which Fence applies
	Subtree []string // addresses of other agents to which this agent forwards the request
	LimitMS uint32   // time limit for the response, if the request is forwarded along a tree of agents; 0: no limit given
	Loads   Loads    // loads of all ranks in the leader's latest round, which the agent returns to entries; Loads.Known is false if there are none
}

// RankState is the current state of one rank of a group, read from its engine.
//
//msgp:tuple RankState
type RankState struct {
	Known              bool  // the engine responded and is a rank of a group
	Unreachable        bool  // the agent did not respond; set by the agent that forwarded the request to it
	Fenced             bool  // the agent has set the fence that Collect.Fence requests
	StartedAtMS        int64 // start of this run of the engine in Unix milliseconds; 0: unknown
	Group              string
	Epoch              uint64
	Rank               int
	Ranks              int    // number of ranks of the whole group
	Complete           bool   // no rank of the group is missing
	Step               uint64 // number of the last pass that was started
	Map                uint64 // version of the map in use
	Prepared           uint64 // version of the map that the rank has prepared and can be armed for; 0: none
	Armed              uint64 // version of the map that the rank is armed to switch to; 0: none
	Held               uint64 // number of the pass that is held until a release; 0: none
	Running            int
	Waiting            int
	ProxyArm           ProxyArm // outcome of an arm order that the agent sent to an engine on another VM
	Slowdown           float64  // how many times as long as usual the engine takes for a pass
	Unit               float64  // selections of the most selected expert since the last Collect with Counts
	Experts            uint32   // number of experts in Bands, over all layer sets; 0: none was selected, or counts are not included
	Bands              []byte   // selections of each expert, as a share of those of the most selected expert (Unit); see expert.EncodeLoads
	Coarse             bool     // each byte of Bands holds the values of two experts; see expert.PackCoarse
	HighestMapReceived uint64   // highest map version that the agent received in this epoch; 0: none

	Lists [][]uint16 // experts of this rank in the map in use, by layer set

	QueuedOnTime   uint32 // requests that are queued at the entries that query this agent and can still be on time
	QueuedLate     uint32 // requests that are queued at the entries that query this agent and can no longer be on time
	EnginesUnknown bool   // the agent does not know which engines the loads belong to

	QueuedByLevel []uint16 // requests of QueuedOnTime by urgency level, without trailing zeros
	LongestGapMS  uint16   // longest gap between two events of a stream that entries have reported since the last Collect; 0: none

	Subtree []RankState // states of the ranks below this one in the tree; their selections and queued requests are added to this state's own

	AsOf   time.Time `msg:"-"` // the state is that of this moment or a later one, by the clock of the process that asked for it
	Lagged bool      `msg:"-"` // the state is a report to another VM, which is old; AsOf is an estimate
}

// ProxyArm is an arm order that an agent sent to an engine on another VM.
//
//msgp:tuple ProxyArm
type ProxyArm struct {
	Epoch    uint64
	Step     uint64
	Accepted bool // the engine accepted the order; false: unknown
}

// OrderKind is the operation that an order requests of a rank.
type OrderKind uint8

// Kinds of orders to a rank.
const (
	OrderPrepare OrderKind = 1 // copy the weights of the experts that a map assigns to the rank
	OrderArm     OrderKind = 2 // switch to a prepared map at the start of a pass
	OrderHold    OrderKind = 3 // do not start a pass
	OrderRelease OrderKind = 4 // release a held pass
	OrderDisarm  OrderKind = 5 // cancel an accepted OrderArm
	OrderAbandon OrderKind = 6 // to an agent: never arm rank 0 for a pass; see lockstep.proxyRank
)

// RankOrder is an order to one rank.
//
//msgp:tuple RankOrder
type RankOrder struct {
	Kind       OrderKind
	Epoch      uint64
	Version    uint64       // version of the map that the order is about, if any
	Step       uint64       // number of the pass that the order is about, if any
	Map        [][][]uint16 // set with OrderPrepare unless Changes is set: experts of the map, by layer set and rank
	Changes    []byte       // expert lists that differ from those of map version Base; see lockstep.packChanges
	Base       uint64       // version of the map that Changes applies to; 0: the initial map of the engines
	InitialMap InitialMap   // shape of the initial map, if Base is 0
	Engine     string       // address of the engine, if it is not the agent's own
	Recovery   bool         // set with OrderArm if the sender has fenced the pass and completes an unfinished switch
	Subtree    []string     // addresses of other agents to which this agent forwards the order
	LimitMS    uint32       // time limit for the response, if the order is forwarded along a tree of agents; 0: no limit given
}

// InitialMap is the shape of the map with which engines start; it assigns experts to ranks in
// turn.
//
//msgp:tuple InitialMap
type InitialMap struct {
	Sets    uint16
	Ranks   uint16
	Experts uint16 // number of experts in a layer set
}

// OrderResult is the outcome of an order.
//
//msgp:tuple OrderResult
type OrderResult struct {
	Accepted    bool          // the order was started or completed, now or by an earlier copy of it
	Refused     bool          // the engine refused the order, which has no effect
	UnknownBase bool          // the agent does not have the map of version Base
	Subtree     []OrderResult // outcomes at the agents to which the order was forwarded
}

// LoadsQuery asks an agent for the latest known loads of all ranks of its group.
//
//msgp:tuple LoadsQuery
type LoadsQuery struct {
	Roster       uint64 // identifies the list of engines that the querying entry knows; 0: none
	Entry        string // name of the querying entry
	QueuedOnTime uint16 // requests that are queued at the querying entry and can still be on time
	QueuedLate   uint16 // requests that are queued at the querying entry and can no longer be on time

	QueuedByLevel []uint16 // requests of QueuedOnTime by urgency level, without trailing zeros
	LongestGapMS  uint16   // longest gap between two events of the entry's streams at the group since its previous query; 0: none
}

// Loads holds the loads of the ranks of a group.
//
//msgp:tuple Loads
type Loads struct {
	Known         bool
	Leader        string // address of the agent to query for the loads, if not this one
	AskOthers     bool   // every other agent of the group can provide the loads and should be queried instead
	Complete      bool
	AgeMS         uint32
	PassMS        float32  // mean time of the latest passes
	Imbalance     float32  // longest time of a rank for its experts, summed over the layer sets, divided by the sum with even loads
	PeakImbalance float32  // recent maximum of Imbalance
	Roster        uint64   // identifies the list of engines; set even if Engines is omitted
	Engines       []string // addresses of the engines by rank; omitted if the querying entry knows them
	QueuedOnTime  uint16   // requests that are queued at all entries together and can still be on time
	QueuedLate    uint16   // requests that are queued at all entries together and can no longer be on time
	Running       []byte   // running requests by rank; 255: that many or more
	Waiting       []byte   // waiting requests by rank; 255: that many or more
	Slow          []SlowRank
	Group         string // name of the group; set even if Known is false
	Ranks         uint16 // number of ranks in the group, including those without an engine; set even if Known is false

	QueuedByLevel []uint16 // requests of QueuedOnTime by urgency level, without trailing zeros
}

// DemandSample holds the expert selections of one group of a service since its latest shift of
// demand. The leader of the group sends it to the leaders of the service's other groups.
//
//msgp:tuple DemandSample
type DemandSample struct {
	Group   string
	Shifted bool    // the sender has just detected the shift
	AgeMS   uint32  // time since the sender detected the shift
	Unit    float64 // selections of the most selected expert
	Experts uint32  // number of experts in Bands, over all layer sets
	Bands   []byte  // selections of each expert as a share of Unit; see expert.EncodeLoads
}

// DemandAck is the response to a DemandSample.
//
//msgp:tuple DemandAck
type DemandAck struct {
	Leads bool // the receiver leads a group of the service
}

// SlowRank is a rank that is slower than usual.
//
//msgp:tuple SlowRank
type SlowRank struct {
	Rank     uint16
	Slowdown float32 // how many times as long as usual the rank takes
}
