package wire

//go:generate go tool -modfile=../tools/go.mod msgp -tests=false -io=false -o schema_placement_gen.go

//msgp:limit arrays:65536 maps:65536

// Types of notes (one-way messages) for placement and admission.
const (
	NoteDemand Note = 41 // Demand, entry to entry
)

// Load is the load report of a target, sent by its agent to an entry. FromReceiver is
// the part of the work that the receiving entry itself dispatched. The entry replaces
// that part by its own in-flight counts, so that each request is counted once however
// late the report arrives.
type Load struct {
	Target            string  `msg:"t,omitempty"` // empty: the target that the hello named
	Seq               uint64  `msg:"n"`           // report number, increasing within an incarnation
	Leaving           bool    `msg:"l,omitempty"`
	EngineUp          bool    `msg:"u"`
	Total             Work    `msg:"w"`
	FromReceiver      Work    `msg:"m"`
	Queued            int     `msg:"q,omitempty"` // requests of Total that are queued at the agent
	Slots             int     `msg:"s,omitempty"` // requests that the engine decodes concurrently
	TokensPerSec      float32 `msg:"d,omitempty"` // estimated decode rate of the engine at full load
	PrefillPerSec     float32 `msg:"f,omitempty"` // estimated prefill rate, in prompt tokens per second
	FirstTokenBaseSec float32 `msg:"b,omitempty"` // part of the time to first token that does not depend on the prompt, in seconds
	AnswerTokens      float32 `msg:"a,omitempty"` // mean output tokens per request
}

// Work is an amount of load on a target, including queued requests.
//
//msgp:tuple Work
type Work struct {
	Requests int
	Prompt   int // uncached prompt tokens not yet computed
	Decode   int // tokens still to generate, estimated
}

// Sched holds the scheduling parameters of a request for the queue of the agent.
type Sched struct {
	Entry     string `msg:"-"`           // entry that sent the request; known from the connection
	Weight    int    `msg:"w,omitempty"` // weight of the team
	Prompt    int    `msg:"p,omitempty"` // uncached prompt tokens, estimated
	Decode    int    `msg:"d,omitempty"` // tokens to generate, estimated
	MaxWaitMs int64  `msg:"m,omitempty"` // the agent rejects the request if its first token would take longer; 0: never
}

// Demand is the demand of teams with limits that one entry observed in the last
// period.
type Demand struct {
	Period uint64       `msg:"p"` // period number, increasing within an incarnation
	Teams  []TeamDemand `msg:"t"`
}

// TeamDemand is one team's demand.
//
//msgp:tuple TeamDemand
type TeamDemand struct {
	Team     string
	Requests float32 // requests per second, including refused ones
}
