package wire

//go:generate go tool -modfile=../tools/go.mod msgp -tests=false -io=false -o schema_expert_gen.go

//msgp:limit arrays:65536 maps:65536

// MethodRank carries one RankOrder, answered by one RankReply.
const MethodRank Method = 30

// NoteRankStalled is a RankStalled, agent to entries.
const NoteRankStalled Note = 30

// MessageRank is a RankReply.
const MessageRank MessageKind = 30

// Operations of a RankOrder. Hold, confirm and decide are the phases of a ballot that
// switches the map of a group.
const (
	RankStatus   uint8 = 1 // return the position of the rank
	RankLoads    uint8 = 2 // return the position and the expert loads of the rank
	RankMap      uint8 = 3 // return the position of the rank and the content of the map in use
	RankPrepare  uint8 = 4 // load the experts in Slots as rank Rank; the reply follows when they are loaded
	RankHold     uint8 = 5 // promise to follow the ballot, and hold the rank before step At
	RankConfirm  uint8 = 6 // confirm that the ballot still holds the rank
	RankDecide   uint8 = 7 // apply the decision of the ballot
	RankWithdraw uint8 = 8 // lift the hold of the ballot, which ends without a decision
)

// RankOrder is an order to, or a query of, one rank of a group.
type RankOrder struct {
	Group    string `msg:"g"`
	Op       uint8  `msg:"o"`
	Fence    uint64 `msg:"f"` // fencing number of the group's lease; 0 in a recovery
	Recovery bool   `msg:"r"` // the order recovers a stalled group; any entry that detects the stall may send it

	Round       uint64        `msg:"b"` // round of the ballot
	Owner       uint64        `msg:"w"` // owner of the ballot
	At          uint64        `msg:"a"` // the rank must hold before this step
	Incarnation uint64        `msg:"i"` // incarnation of the agent that replied to the hold
	Start       uint64        `msg:"s"` // id of the run of the engine that replied to the hold
	Schedule    []RankSegment `msg:"c"`
	Join        uint64        `msg:"j"` // step at which a rank that has entered no step since its start begins

	Rank        int    `msg:"k"`
	Ranks       int    `msg:"n"` // number of ranks; with Layers, Experts and SlotsOfRank the shape of the map
	Layers      int    `msg:"l"`
	Experts     int    `msg:"e"`
	SlotsOfRank int    `msg:"p"`
	Slots       []byte `msg:"m"` // expert of each slot, see EncodeSlots
}

// RankSegment is a segment of a schedule: the map in use from a step onwards.
//
//msgp:tuple RankSegment
type RankSegment struct {
	From uint64
	Map  uint64
}

// RankReply is the position of a rank, and its loads or map if they were queried.
type RankReply struct {
	Incarnation uint64   `msg:"i"`
	Start       uint64   `msg:"s"` // id of the engine's run, new at each start
	Entered     bool     `msg:"e"` // the engine has entered a step since its start
	Next        uint64   `msg:"n"` // next step that the engine will enter
	Inside      bool     `msg:"d"` // the engine has entered a step and not completed it
	Map         uint64   `msg:"m"` // id of the map of the latest step; 0: no step was entered
	Held        bool     `msg:"h"`
	HoldAt      uint64   `msg:"a"`
	Round       uint64   `msg:"b"` // round of the highest promised ballot
	Owner       uint64   `msg:"w"` // owner of the highest promised ballot
	Loaded      []uint64 `msg:"l"` // ids of the maps whose weights are loaded

	Unit    float64 `msg:"u"` // load of the busiest slot, the unit of Bands; see expert.EncodeLoads
	Bands   []byte  `msg:"t"`
	Seconds float64 `msg:"c"` // computing time of a step, in seconds
	Slots   []byte  `msg:"p"` // slots of the map in use
}

// RankStalled reports a rank that has been held for too long (Held), or that waits
// for the step at which to join.
type RankStalled struct {
	Target string `msg:"t"`
	Held   bool   `msg:"h"`
}
