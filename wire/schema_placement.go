package wire

//go:generate go tool -modfile=../tools/go.mod msgp -tests=false -io=false -o schema_placement_gen.go

//msgp:limit arrays:65536 maps:65536

// Notes of placement and admission.
const (
	NoteDemand Note = 41 // Demand, entry to entry
)

// Load is an agent's account of its target, sent to an entry. FromReceiver is the part
// of the work that the entry itself has sent: the entry subtracts it and adds
// its own books, so that each request is counted once however late this comes.
type Load struct {
	Target            string  `msg:"t,omitempty"` // empty: the target that the hello named
	Seq               uint64  `msg:"n"`           // grows with each report of this incarnation
	Leaving           bool    `msg:"l,omitempty"`
	EngineUp          bool    `msg:"u"`
	Total             Work    `msg:"w"`
	FromReceiver      Work    `msg:"m"`
	Queued            int     `msg:"q,omitempty"` // part of Total that waits at the agent
	Slots             int     `msg:"s,omitempty"` // requests that the engine decodes at once
	TokensPerSec      float32 `msg:"d,omitempty"` // decode speed learnt, of the full engine
	PrefillPerSec     float32 `msg:"f,omitempty"` // prompt tokens a second learnt
	FirstTokenBaseSec float32 `msg:"b,omitempty"` // seconds to a first token that don't depend on prompts
	AnswerTokens      float32 `msg:"a,omitempty"` // mean length of answers
}

// Work is a part of a target's load, waiting requests included.
//
//msgp:tuple Work
type Work struct {
	Requests int
	Prompt   int // uncached prompt tokens not yet computed
	Decode   int // tokens still to generate, estimated
}

// Sched is what an agent's queue must know of a request.
type Sched struct {
	Entry     string `msg:"-"`           // that sent it; known from the connection
	Weight    int    `msg:"w,omitempty"` // of its team
	Prompt    int    `msg:"p,omitempty"` // uncached prompt tokens, estimated
	Decode    int    `msg:"d,omitempty"` // tokens to generate, estimated
	MaxWaitMs int64  `msg:"m,omitempty"` // send it back if its first token takes longer; 0: never
}

// Demand is what one entry saw of teams with limits in the last period.
type Demand struct {
	Period uint64       `msg:"p"` // grows with each period of this incarnation
	Teams  []TeamDemand `msg:"t"`
}

// TeamDemand is one team's demand.
//
//msgp:tuple TeamDemand
type TeamDemand struct {
	Team     string
	Requests float32 // asked for in a second, refused ones included
}
