package wire

//go:generate go tool -modfile=../tools/go.mod msgp -tests=false -io=false -o schema_control_gen.go

//msgp:limit arrays:1048576 maps:131072

// Methods of configuration and control.
const (
	MethodTail   Method = 20 // TailRequest, answered by TailReply and, with State, chunks
	MethodStatus Method = 21 // StatusRequest, answered by StatusReply
	MethodDrain  Method = 22 // DrainRequest, answered by StatusReply
	MethodOrder  Method = 23 // Order, answered by OrderReply
)

// Notes of configuration and control.
const (
	NoteAgentConfig  Note = 20 // AgentConfig, entry to agent
	NoteHeartbeat    Note = 21 // Heartbeat, entry to the few of its data centre
	NoteSilentReport Note = 22 // SilentReport, the few to the entries of their data centre
	NoteSummary      Note = 23 // Summary, between data centres
)

// Messages of configuration and control inside a stream.
const (
	MessageTail   MessageKind = 20 // TailReply
	MessageStatus MessageKind = 21 // StatusReply
	MessageOrder  MessageKind = 22 // OrderReply
)

// TailRequest asks a peer for log records from an offset on.
type TailRequest struct {
	From   uint64 `msg:"f"`
	Cold   bool   `msg:"c"` // no state yet: send the whole one
	WaitMs int64  `msg:"w"` // how long to wait for the first record
}

// TailReply holds records, or announces a whole state as chunks.
type TailReply struct {
	First   uint64   `msg:"f"` // offset of the first record
	Next    uint64   `msg:"n"` // what the sender has folded up to
	Records [][]byte `msg:"r"`
	State   bool     `msg:"s"` // a saved state follows in chunks
	AgeMs   int64    `msg:"a"` // since the sender, or its source, read the log
}

// AgentConfig is all that an agent needs of the configuration: it needs no teams.
type AgentConfig struct {
	Version  uint64          `msg:"v"`
	Digest   uint64          `msg:"d"`
	Entries  int             `msg:"e"` // in the VM list; says how many sources of floors there can be
	Policies []ServicePolicy `msg:"p"` // of the services that the target's fleet serves
	Floors   []FenceFloor    `msg:"f"` // of the resources that concern the target
}

// ServicePolicy is the policy of one service.
type ServicePolicy struct {
	Service string `msg:"s"`
	Policy  []byte `msg:"p"` // encoded config.Policy
}

// FenceFloor is the least fencing number that may act for a resource.
//
//msgp:tuple FenceFloor
type FenceFloor struct {
	Resource string
	Fence    uint64
}

// Heartbeat is an entry's heartbeat; who it is stands in the connection's hello.
type Heartbeat struct {
	Version uint64 `msg:"v"`
	Leaving bool   `msg:"l"`
}

// SilentReport names the entries of a data centre that a witness has not heard lately,
// that leave or that have no configuration. It heard all others just now.
type SilentReport struct {
	Rows []SilentRow `msg:"r"`
}

// SilentRow is one such entry.
//
//msgp:tuple SilentRow
type SilentRow struct {
	Name        string
	Incarnation uint64
	Version     uint64
	AgeMs       int64
	Leaving     bool
}

// Summary is what one data centre tells another.
type Summary struct {
	DataCentre string `msg:"d"`
	Region     string `msg:"r"`
	Entries    int    `msg:"n"`
	Down       int    `msg:"o"`
	Oldest     uint64 `msg:"v"` // oldest version in force among its entries
	Newest     uint64 `msg:"w"`
}

// StatusRequest asks a process how it is; Full also asks for leases and targets.
type StatusRequest struct {
	Full bool `msg:"f"`
}

// StatusReply is how a process sees itself and others.
type StatusReply struct {
	Name        string      `msg:"n"`
	Role        string      `msg:"r"`
	DataCentre  string      `msg:"d"`
	Incarnation uint64      `msg:"i"`
	Version     uint64      `msg:"v"`
	Change      string      `msg:"c"` // id of the change in force
	Digest      uint64      `msg:"g"`
	LogAgeMs    int64       `msg:"a"`
	Stopped     string      `msg:"x"` // why the fold stopped; empty: it runs
	Leaving     bool        `msg:"l"`
	InFlight    int         `msg:"f"`
	Down        []string    `msg:"o"` // entries that this one believes lost
	Leases      []LeaseInfo `msg:"e"`
	Targets     []Load      `msg:"t"`
	Summaries   []Summary   `msg:"s"`
	Maps        string      `msg:"p"` // the owner's account of its groups, ready to print
}

// LeaseInfo is one row of the folded lease table.
type LeaseInfo struct {
	Resource string `msg:"r"`
	Holder   string `msg:"h"`
	Fence    uint64 `msg:"f"`
	Term     uint64 `msg:"t"`
}

// DrainRequest takes a process out of service: it finishes what it has.
type DrainRequest struct {
	Undo bool `msg:"u"`
}

// Order is the state that an engine should reach.
type Order struct {
	Resource string   `msg:"r"` // whose lease allows it
	Fence    uint64   `msg:"f"`
	AgentInc uint64   `msg:"i"`
	Model    string   `msg:"m"`
	Version  string   `msg:"v"`
	Adapters []string `msg:"a"`
	Role     string   `msg:"o"`
}

// OrderReply tells whether the engine has reached the ordered state.
type OrderReply struct {
	Reached bool   `msg:"d"`
	Detail  string `msg:"t"`
}
