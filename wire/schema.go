package wire

//go:generate go tool -modfile=../tools/go.mod msgp -tests=false -io=false -o schema_gen.go

//msgp:limit arrays:65536 maps:65536

// SchemaVersion is the newest message schema that this build speaks; peers
// agree on the lower of their two versions, if both still speak it.
const SchemaVersion = 1

// OldestSchema is the oldest schema version that this build still speaks.
const OldestSchema = 1

// Hello is the first frame in each direction of a connection.
type Hello struct {
	Schema      uint32 `msg:"s"`
	Oldest      uint32 `msg:"o"`
	Name        string `msg:"n"` // target or VM name, unique among live processes
	Role        string `msg:"r"` // RoleEntry, RoleAgent or RoleTool
	Incarnation uint64 `msg:"i"` // new at each process start
	DataCentre  string `msg:"d"`
	Window      uint32 `msg:"w"` // bytes of chunks a stream may have in flight towards the sender; zero: DefaultWindow
}

// Roles of processes in Hello.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
	RoleTool  = "tool"
)

// Header is one HTTP header of a relayed request or answer.
//
//msgp:tuple Header
type Header struct {
	Name  string
	Value string
}

// Request asks an agent to run one request on its target.
type Request struct {
	ID            string   `msg:"id"`
	Team          string   `msg:"tm"`
	Service       string   `msg:"sv"`
	Method        string   `msg:"me"`
	Path          string   `msg:"pa"` // path and query towards the target
	Headers       []Header `msg:"he"`
	Body          []byte   `msg:"bo"`
	Key           string   `msg:"ke"` // idempotency key, empty if none
	Repeatable    bool     `msg:"re"`
	Priority      int8     `msg:"pr"` // higher runs first
	DeadlineMs    int64    `msg:"de"` // milliseconds left when the frame was sent
	ConfigVersion uint64   `msg:"cv"`
	AgentInc      uint64   `msg:"ai"` // incarnation that the entry believes it speaks to
	Suspect       bool     `msg:"su"` // must run alone
	Fingerprint   uint64   `msg:"fp"` // names the caller's request over its tries and continuations
	AttachOnly    bool     `msg:"ao"` // not repeatable: join an earlier try, start nothing
	DedupMs       int64    `msg:"dw"` // not repeatable: milliseconds for which the key is remembered
	DedupKeys     int      `msg:"dk"` // not repeatable: how many keys a target remembers at most
	Sched         Sched    `msg:"sc"`
}

// Answer is the first message of a running request's stream.
type Answer struct {
	Status  int      `msg:"st"`
	Headers []Header `msg:"he"`
	Target  string   `msg:"ta"`
	Model   string   `msg:"mo"` // model version that produces the answer
	Replay  bool     `msg:"rp"` // a kept answer of an earlier try
}

// Refusal ends a stream without an answer.
type Refusal struct {
	Code         uint16 `msg:"c"`
	Detail       string `msg:"d"`
	RetryAfterMs int64  `msg:"r"`
}

// End closes one direction of a stream. A receiver compares count and digest
// with what arrived, so a lost, doubled or foreign chunk can't pass for a whole
// answer.
//
//msgp:tuple End
type End struct {
	Chunks uint64
	Digest uint64 // xxhash64 of all chunk bytes
	Code   uint16 // result code; not zero: the answer is incomplete
	Detail string
}

// Credit allows the peer to send more chunk bytes on a stream.
//
//msgp:tuple Credit
type Credit struct {
	Bytes uint32
}
