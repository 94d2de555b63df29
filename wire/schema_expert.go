package wire

//go:generate go tool -modfile=../tools/go.mod msgp -tests=false -io=false -o schema_expert_gen.go

//msgp:limit arrays:65536 maps:65536

// MethodRank carries one RankOrder, answered by one RankReply.
const MethodRank Method = 30

// NoteRankStalled is a RankStalled, agent to entries.
const NoteRankStalled Note = 30

// MessageRank is a RankReply.
const MessageRank MessageKind = 30

// What a RankOrder asks for.
const (
	RankStatus   uint8 = 1 // where the rank stands
	RankLoads    uint8 = 2 // status, and loads
	RankMap      uint8 = 3 // status, and the content of the map in use
	RankPrepare  uint8 = 4 // load Slots as rank Rank; answered when loaded
	RankHold     uint8 = 5 // promise the ballot, hold before At
	RankConfirm  uint8 = 6 // confirm the promise
	RankDecide   uint8 = 7 // obey the decision
	RankWithdraw uint8 = 8 // the ballot will not decide
)

// RankOrder is an order, or a question, to one rank of a group.
type RankOrder struct {
	Group    string `msg:"g"`
	Op       uint8  `msg:"o"`
	Fence    uint64 `msg:"f"` // of the group's lease; 0 in a rescue
	Recovery bool   `msg:"r"` // brings a stuck group on, by whoever sees it

	Round       uint64        `msg:"b"` // ballot
	Owner       uint64        `msg:"w"` // ballot
	At          uint64        `msg:"a"` // step
	Incarnation uint64        `msg:"i"` // of the agent that replied
	Start       uint64        `msg:"s"` // of the engine that replied
	Schedule    []RankSegment `msg:"c"`
	Join        uint64        `msg:"j"`

	Rank        int    `msg:"k"`
	Ranks       int    `msg:"n"` // shape of the map
	Layers      int    `msg:"l"`
	Experts     int    `msg:"e"`
	SlotsOfRank int    `msg:"p"`
	Slots       []byte `msg:"m"` // expert of each slot, two bytes each, little endian
}

// RankSegment says which map is in use from a step on.
//
//msgp:tuple RankSegment
type RankSegment struct {
	From uint64
	Map  uint64
}

// RankReply says where a rank stands.
type RankReply struct {
	Incarnation uint64   `msg:"i"`
	Start       uint64   `msg:"s"`
	Entered     bool     `msg:"e"` // a step was entered since the engine's start
	Next        uint64   `msg:"n"`
	Inside      bool     `msg:"d"`
	Map         uint64   `msg:"m"`
	Held        bool     `msg:"h"`
	HoldAt      uint64   `msg:"a"`
	Round       uint64   `msg:"b"` // highest ballot promised
	Owner       uint64   `msg:"w"`
	Loaded      []uint64 `msg:"l"`

	Unit    float64 `msg:"u"` // loads as expert.EncodeLoads packs them
	Bands   []byte  `msg:"t"`
	Seconds float64 `msg:"c"` // of computing in a step
	Slots   []byte  `msg:"p"` // of the map in use
}

// RankStalled says that a rank has been held for long, or waits to be told where to
// join.
type RankStalled struct {
	Target string `msg:"t"`
	Held   bool   `msg:"h"`
}
