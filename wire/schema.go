package wire

//go:generate go tool -modfile=../tools/go.mod msgp -tests=false -io=false -o schema_gen.go

// The limit applies to the bytes of a request's body too. Elements of arrays are limited by maxElements.
//
//msgp:limit arrays:8388608 maps:65536

// SchemaVersion is the newest message schema version of this build. Two peers use
// the lower of their versions if both still support it.
const SchemaVersion = 1

// OldestSchema is the oldest schema version that this build supports.
const OldestSchema = 1

// Hello is the first frame in each direction of a connection.
type Hello struct {
	Schema      uint32 `msg:"s"`
	Oldest      uint32 `msg:"o"`
	Name        string `msg:"n"` // target or VM name, unique among live processes
	Role        string `msg:"r"` // RoleEntry, RoleAgent or RoleTool
	Incarnation uint64 `msg:"i"` // new at each process start
	DataCentre  string `msg:"d"`
	Window      uint32 `msg:"w"` // chunk bytes that a stream may have in flight towards the sender of the hello; zero: DefaultWindow
}

// Roles of processes in Hello.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
	RoleTool  = "tool"
)

// Header is one HTTP header of a relayed request or response.
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
	Priority      int8     `msg:"pr"` // a request with a higher priority runs first
	DeadlineMs    int64    `msg:"de"` // milliseconds until the deadline, as of the sending of the frame
	ConfigVersion uint64   `msg:"cv"`
	AgentInc      uint64   `msg:"ai"` // incarnation of the agent that the entry addresses
	Suspect       bool     `msg:"su"` // the request may have crashed an engine and must run alone on its engine
	Fingerprint   uint64   `msg:"fp"` // identifies the request of the caller across attempts and continuations
	AttachOnly    bool     `msg:"ao"` // for a non-repeatable request: the agent attaches it to an earlier attempt and starts no new one
	DedupMs       int64    `msg:"dw"` // for a non-repeatable request: milliseconds for which the key stays in the deduplication table
	DedupKeys     int      `msg:"dk"` // for a non-repeatable request: limit of keys in the deduplication table of the target
	Sched         Sched    `msg:"sc"`
}

// Answer carries the status and headers of a response. It is the first message on
// the stream of a running request.
type Answer struct {
	Status  int      `msg:"st"`
	Headers []Header `msg:"he"`
	Target  string   `msg:"ta"`
	Model   string   `msg:"mo"` // model version that generates the response
	Replay  bool     `msg:"rp"` // the response is the stored one of an earlier attempt
}

// Refusal ends a stream without a response.
type Refusal struct {
	Code         uint16 `msg:"c"`
	Detail       string `msg:"d"`
	RetryAfterMs int64  `msg:"r"`
}

// End closes one direction of a stream. The receiver compares count and digest with
// the received chunks, so a response with a lost, duplicated or foreign chunk is not
// taken for a complete one.
//
//msgp:tuple End
type End struct {
	Chunks uint64
	Digest uint64 // xxhash64 of all chunk bytes
	Code   uint16 // result code; nonzero: the response is incomplete
	Detail string
}

// Credit allows the peer to send more chunk bytes on a stream.
//
//msgp:tuple Credit
type Credit struct {
	Bytes uint32
}
