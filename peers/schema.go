package peers

//go:generate go tool -modfile=../tools/go.mod msgp -tests=false -io=false -o schema_gen.go

//msgp:limit arrays:8388608 maps:1024

// Kind is the type of a message. Numbers are part of the protocol.
type Kind uint8

// Kinds of messages.
const (
	KindHeartbeat Kind = 1 // Heartbeat, answered by a Heartbeat
	KindCollect   Kind = 2 // Collect, answered by a RankState
	KindOrder     Kind = 3 // RankOrder, answered by an OrderResult
	KindLoads     Kind = 4 // LoadsQuery, answered by Loads
	KindProbe     Kind = 5 // ProbeQuery, answered by ProbeResult
	KindPermit    Kind = 6 // PermitQuery, answered by PermitResult
)

// Heartbeat is an entry's sign of life; an answer brings what the other one lacks.
//
//msgp:tuple Heartbeat
type Heartbeat struct {
	Entry           Presence
	Members         []Member // that the sender learnt of lately, or all that it knows if All was asked for
	Digest          uint64   // of all that the sender knows of entries
	All             bool     // asks for all that the other one knows of entries
	Topics          []TopicState
	Updates         []TopicUpdate
	RequestedTopics uint8 // a bit for each topic of which the sender asks for what it lacks
	FailureReports  []FailureReport
	Rates           []Rate
}

// Rate is how many requests a second a target takes from all entries together.
//
//msgp:tuple Rate
type Rate struct {
	Target      string
	StartedAtMS int64   // of the target's run
	PerSecond   float64 // negative: it names no rate any more
	AgeMS       uint32  // since it said so last
}

// PermitQuery asks the entry that issues the permits of a target for one.
//
//msgp:tuple PermitQuery
type PermitQuery struct {
	Rate           Rate    // of the target, as the asker knows it
	MaxWaitMS      uint32  // that the request may wait
	RejectIfDenied bool    // without a permit a caller is refused
	ColdRate       float64 // requests a second that the target takes, as it is cold; 0: it is not
}

// PermitResult tells when a request may go to a target.
//
//msgp:tuple PermitResult
type PermitResult struct {
	Owner        bool // whoever was asked issues the permits; else the rest is not told
	Granted      bool
	WaitMS       uint32 // until the permit is valid, or until one may be free
	RetryAfterMS uint32 // for a caller that is refused
	Rate         Rate   // as whoever issues the permits knows it
}

// FailureReport is what one entry has seen of a target that broke off connections or did not answer.
//
//msgp:tuple FailureReport
type FailureReport struct {
	Entry           string // that has seen it
	Target          string
	StartedAtMS     int64  // of the target's run
	ConnBrokenAgeMS uint32 // since the latest connection that broke off; Never: none
	TimeoutAgeMS    uint32 // since the latest request without an answer; Never: none
	Timeouts        uint16 // requests in a row without an answer
	SuccessAgeMS    uint32 // since the latest whole answer; Never: none
}

// Never stands for the age of what has never been.
const Never = 1<<32 - 1

// Member is what one entry knows of another.
//
//msgp:tuple Member
type Member struct {
	Entry Presence
	Lost  bool // it did not answer, neither whom it was asked by nor others
}

// ProbeQuery asks an entry whether another one answers it.
//
//msgp:tuple ProbeQuery
type ProbeQuery struct {
	Name string
}

// ProbeResult tells whether it did.
//
//msgp:tuple ProbeResult
type ProbeResult struct {
	Known    bool // whoever was asked knows the entry
	Answered bool
}

// Presence tells how an entry is reached and whether it takes requests.
//
//msgp:tuple Presence
type Presence struct {
	Name           string
	Incarnation    uint64 // differs at each start of the process
	Revision       uint64 // rises within an incarnation whenever the entry says something new of itself
	DataCentre     string
	CallerAddr     string // address that callers connect to
	PeerAddr       string // address that entries connect to
	Ready          bool
	StoreReachable bool // it reaches the store
}

// TopicState is how far an entry knows a topic of the store.
//
//msgp:tuple TopicState
type TopicState struct {
	Next  uint64 // all records before this offset are known
	AgeMS uint32 // since some entry read them all from the store
	Read  bool   // some entry has read the topic; it may have been empty
}

// TopicUpdate are records of a topic that the receiver lacks.
//
//msgp:tuple TopicUpdate
type TopicUpdate struct {
	Topic   uint8
	From    uint64 // the receiver was to know all records before
	Next    uint64
	Full    bool // Records are all that exist, whatever the receiver knows
	Records []Record
	Packed  []byte // Records, msgpack in DEFLATE, where that is shorter
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
	Counts  bool     // with the experts chosen since the last time they were asked for
	Lists   bool     // with the experts of each rank in the map in use
	Leader  string   // address of the agent that leads the group and asks this
	Fence   uint64   // a pass for which the agent must arm its rank no more; 0: none
	Epoch   uint64   // of the group, with Fence
	Subtree []string // addresses of other agents that are asked the same by this one
	LimitMS uint32   // within which the answer must be there, with Subtree
	Loads   Loads    // of all ranks as of the latest round, for entries to ask for; not Known: none
}

// RankState is the state of one rank of a group, fresh from its engine.
//
//msgp:tuple RankState
type RankState struct {
	Known              bool  // the engine answered, and is a rank of a group
	Unreachable        bool  // the agent was asked and did not answer; told by who asked it for another
	Fenced             bool  // the agent keeps to the fence that was asked for
	StartedAtMS        int64 // when this run of the engine began, in Unix milliseconds; 0: not told
	Group              string
	Epoch              uint64
	Rank               int
	Ranks              int // of the whole group
	Complete           bool
	Step               uint64 // last pass that was begun
	Map                uint64 // version in use
	Prepared           uint64 // version that is ready to be armed
	Armed              uint64 // version that is armed
	Held               uint64 // pass that waits for a release; 0: none
	Running            int
	Waiting            int
	ProxyArm           ProxyArm // what became of an arm that the agent gave to another engine
	Slowdown           float64  // how many times as long as usual the engine takes
	Unit               float64  // choices of the expert that was chosen most since the last Collect with Counts
	Experts            uint32   // that Bands are of, set by set; 0: nothing was chosen, or it is not told
	Bands              []byte   // of each expert how far it lies below Unit; see expert.EncodeLoads
	Coarse             bool     // Bands hold two experts in a byte; see expert.PackCoarse
	HighestMapReceived uint64   // highest version of a map that the agent was given in this epoch; 0: none

	Lists [][]uint16 // experts of this rank in the map in use, by set

	QueuedInTime   uint32 // requests that wait at the entries that ask this agent for loads, and can be in time
	QueuedLate     uint32 // the same of those that can't
	EnginesUnknown bool   // the agent was not told which engines the loads are of

	Subtree []RankState // states of the ranks below; choices and waiting requests are added up in this one
}

// ProxyArm is an arm that an agent gave to an engine on another VM.
//
//msgp:tuple ProxyArm
type ProxyArm struct {
	Epoch    uint64
	Step     uint64
	Accepted bool // false: it is not known whether it was
}

// OrderKind says what an order asks of a rank.
type OrderKind uint8

// Orders.
const (
	OrderPrepare OrderKind = 1 // copy the weights of a map
	OrderArm     OrderKind = 2 // switch to a prepared map as a pass begins
	OrderHold    OrderKind = 3 // do not begin a pass
	OrderRelease OrderKind = 4 // end a hold
	OrderDisarm  OrderKind = 5 // take an arm back
)

// RankOrder is an order to one rank.
//
//msgp:tuple RankOrder
type RankOrder struct {
	Kind       OrderKind
	Epoch      uint64
	Version    uint64       // of the map, where the order is about one
	Step       uint64       // of the pass, where the order is about one
	Map        [][][]uint16 // with OrderPrepare: experts by set and rank, or
	Changes    []byte       // lists that differ from those of another map; see lockstep.packChanges
	Base       uint64       // version of that map; 0: the one that engines start with
	InitialMap InitialMap   // shape of the map that engines start with, if Changes lead on from that
	Engine     string       // address of the engine, if it is not the agent's own
	Recovery   bool         // with OrderArm: from who has fenced the pass and finishes the switch
	Subtree    []string     // addresses of other agents that the order is passed on to
	LimitMS    uint32       // within which the answer must be there, with Subtree
}

// InitialMap is the shape of the map that engines start with: experts in turn.
//
//msgp:tuple InitialMap
type InitialMap struct {
	Sets    uint16
	Ranks   uint16
	Experts uint16 // of a set
}

// OrderResult tells what became of an order.
//
//msgp:tuple OrderResult
type OrderResult struct {
	Accepted    bool          // begun, done, or already so
	Refused     bool          // the engine refused it, and it has no effect
	UnknownBase bool          // the agent does not know the map that the changes lead on from
	Subtree     []OrderResult // what became of it at the agents that it was passed on to
}

// LoadsQuery asks an agent for what it last knew of all ranks of its group.
//
//msgp:tuple LoadsQuery
type LoadsQuery struct {
	Roster       uint64 // of the engines that the asker knows; 0: none
	Entry        string // that asks
	QueuedInTime uint16 // requests that wait there and can be in time
	QueuedLate   uint16 // requests that wait there and can't
}

// Loads are the loads of the ranks of a group.
//
//msgp:tuple Loads
type Loads struct {
	Known         bool
	Leader        string // who knows them, if this agent does not
	AskOthers     bool   // any other agent of the group tells them as well, and is to be asked
	Complete      bool
	AgeMS         uint32
	PassMS        float32  // time of the latest passes
	Imbalance     float32  // how many times as long as even loads the ranks take for their experts
	PeakImbalance float32  // the most of it lately
	Roster        uint64   // names the list of engines
	Engines       []string // addresses by rank; left out if the asker knows them
	QueuedInTime  uint16   // requests that wait at all entries and can be in time
	QueuedLate    uint16   // requests that wait at all entries and can't
	Running       []byte   // requests by rank; 255: so many or more
	Waiting       []byte   // the same of requests that wait there
	Slow          []SlowRank
	Group         string // told, as Ranks, also if the loads are not Known
	Ranks         uint16 // of the whole group, those that have no engine among them
}

// SlowRank is a rank that takes longer than usual.
//
//msgp:tuple SlowRank
type SlowRank struct {
	Rank     uint16
	Slowdown float32 // how many times as long
}
