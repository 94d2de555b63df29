package wire

//go:generate go tool -modfile=../tools/go.mod msgp -tests=false -io=false -o schema_control_gen.go

//msgp:limit arrays:1048576 maps:131072

// Methods of configuration and control.
const (
	MethodTail   Method = 20 // TailRequest, answered by TailReply and, if its State is set, chunks
	MethodStatus Method = 21 // StatusRequest, answered by StatusReply
	MethodDrain  Method = 22 // DrainRequest, answered by StatusReply
	MethodOrder  Method = 23 // Order, answered by OrderReply
)

// Notes of configuration and control.
const (
	NoteAgentConfig  Note = 20 // AgentConfig, entry to agent
	NoteHeartbeat    Note = 21 // Heartbeat, entry to the observers of its data centre
	NoteSilentReport Note = 22 // SilentReport, observer to the entries of its data centre
	NoteSummary      Note = 23 // Summary, between data centres
)

// Messages of configuration and control inside a stream.
const (
	MessageTail   MessageKind = 20 // carries a TailReply
	MessageStatus MessageKind = 21 // carries a StatusReply
	MessageOrder  MessageKind = 22 // carries an OrderReply
)

// TailRequest asks a peer for log records from an offset on.
type TailRequest struct {
	From   uint64 `msg:"f"`
	Mark   uint64 `msg:"m"` // hash of the record before From, 0 if there is none or it is unknown
	Cold   bool   `msg:"c"` // the sender needs a whole state before it can fold records
	WaitMs int64  `msg:"w"` // longest wait for the first record, in milliseconds
}

// TailReply holds records, or announces a whole state that follows in chunks.
type TailReply struct {
	First   uint64   `msg:"f"` // offset of the first record
	Next    uint64   `msg:"n"` // offset of the next record that the sender will fold
	Records [][]byte `msg:"r"`
	Marks   []uint64 `msg:"k"` // hashes of the records that are sent empty, in order
	State   bool     `msg:"s"` // a saved state follows in chunks
	AgeMs   int64    `msg:"a"` // milliseconds since the sender, or the peer from which it gets its records, read the log to its end

	FirstMark  uint64 `msg:"m"` // hash of the record before First
	NextMark   uint64 `msg:"o"` // hash of the record before Next
	Diverged   bool   `msg:"d"` // the sender folded other records before From than the receiver
	Recoveries uint64 `msg:"e"` // recoveries that the sender has folded
	Kept       bool   `msg:"p"` // the sender holds a state that the log has lost, and sends it if Cold is set
}

// AgentConfig is the part of the configuration that an agent needs. It has no teams.
type AgentConfig struct {
	Version  uint64          `msg:"v"`
	Digest   uint64          `msg:"d"`
	Entries  int             `msg:"e"` // number of entries in the VM list; each of them can send the fencing floors in Floors
	Policies []ServicePolicy `msg:"p"` // policies of the services that the target's fleet serves
	Floors   []FenceFloor    `msg:"f"` // fencing floors (lowest fencing numbers still valid) of the resources that concern the target

	Recoveries uint64 `msg:"r"` // grows with each loss of records of the log
	Unsettled  bool   `msg:"u"` // the sender may not know the latest holders of leases: its floors may be too low
}

// ServicePolicy is the policy of one service.
type ServicePolicy struct {
	Service string `msg:"s"`
	Policy  []byte `msg:"p"` // encoded config.Policy
}

// FenceFloor is the lowest fencing number that is still valid for a resource.
//
//msgp:tuple FenceFloor
type FenceFloor struct {
	Resource string
	Fence    uint64
}

// Heartbeat is the heartbeat of an entry. The hello of the connection identifies the
// entry.
type Heartbeat struct {
	Version uint64 `msg:"v"`
	Leaving bool   `msg:"l"`
}

// SilentReport lists the entries of a data centre whose heartbeats an observer has
// missed, that are leaving or that have no configuration. The observer has heard
// recent heartbeats of all other entries.
type SilentReport struct {
	Rows []SilentRow `msg:"r"`
}

// SilentRow is one entry of a SilentReport.
//
//msgp:tuple SilentRow
type SilentRow struct {
	Name        string
	Incarnation uint64
	Version     uint64
	AgeMs       int64 // milliseconds since the observer received the last heartbeat of the entry
	Leaving     bool
}

// Summary is the state of the entries of one data centre, sent to other data
// centres.
type Summary struct {
	DataCentre string `msg:"d"`
	Region     string `msg:"r"`
	Entries    int    `msg:"n"`
	Down       int    `msg:"o"` // number of entries that are down
	Oldest     uint64 `msg:"v"` // oldest configuration version in force at an entry of the data centre
	Newest     uint64 `msg:"w"`
}

// StatusRequest asks a process for its status. Full includes leases and targets.
type StatusRequest struct {
	Full   bool   `msg:"f"`
	Change string `msg:"c"` // id of a change whose effect is asked for; empty: none
}

// Effects of a change at an entry.
const (
	EffectUnknown = 0 // not asked for, or the process can't tell
	EffectPending = 1 // not in force
	EffectInForce = 2 // in force, or replaced by a later change that is
)

// StatusReply is the status of a process and its view of other processes.
type StatusReply struct {
	Name        string      `msg:"n"`
	Role        string      `msg:"r"`
	DataCentre  string      `msg:"d"`
	Incarnation uint64      `msg:"i"`
	Version     uint64      `msg:"v"`
	Change      string      `msg:"c"` // id of the change that produced the configuration in force
	Digest      uint64      `msg:"g"`
	LogAgeMs    int64       `msg:"a"`
	Stopped     string      `msg:"x"` // error that stopped the folding of log records; empty: none
	Leaving     bool        `msg:"l"`
	InFlight    int         `msg:"f"`
	Down        []string    `msg:"o"` // entries that this process considers down
	Leases      []LeaseInfo `msg:"e"`
	Targets     []Load      `msg:"t"`
	Summaries   []Summary   `msg:"s"`
	Maps        string      `msg:"p"` // map status of the groups that this process owns, as printable text
	Effect      int         `msg:"k"` // effect of the change asked for
}

// LeaseInfo is one row of the lease table.
type LeaseInfo struct {
	Resource string `msg:"r"`
	Holder   string `msg:"h"`
	Fence    uint64 `msg:"f"`
	Term     uint64 `msg:"t"`
}

// DrainRequest drains a process: it finishes its requests and accepts no new ones.
// Undo ends the drain.
type DrainRequest struct {
	Undo bool `msg:"u"`
}

// Order is the desired state of an engine.
type Order struct {
	Resource string   `msg:"r"` // resource whose lease authorises the order
	Fence    uint64   `msg:"f"`
	AgentInc uint64   `msg:"i"`
	Model    string   `msg:"m"`
	Version  string   `msg:"v"`
	Adapters []string `msg:"a"`
	Role     string   `msg:"o"`
}

// OrderReply reports whether the engine has reached the desired state.
type OrderReply struct {
	Reached bool   `msg:"d"`
	Detail  string `msg:"t"`
}
