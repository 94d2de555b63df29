package control

//go:generate go tool -modfile=../tools/go.mod msgp -tests=false -io=false -o schema_gen.go

//msgp:limit arrays:1048576 maps:131072

// RecordLease is the kind of log records that hold a LeaseBatch.
const RecordLease = "lease"

// LeaseBatch is one holder's claims and renewals, in one record.
type LeaseBatch struct {
	Holder      string       `msg:"h"`
	Incarnation uint64       `msg:"i"`
	TTLMs       int64        `msg:"s"` // how long each accepted claim holds
	Nonce       uint64       `msg:"n"` // tells the holder which of its batches was accepted
	Claims      []LeaseClaim `msg:"c"`
}

// LeaseClaim asks for a resource, provided that its lease is still the one that the
// claimant saw. The log's order thereby decides between racing claims.
//
//msgp:tuple LeaseClaim
type LeaseClaim struct {
	Resource string
	Fence    uint64 // seen
	Term     uint64 // seen
	Release  bool
}

// LeaseRow is the state of one resource after a fold.
//
//msgp:tuple LeaseRow
type LeaseRow struct {
	Resource    string
	Holder      string // empty: released
	Incarnation uint64
	Fence       uint64 // grows with each new holder
	Term        uint64 // grows with each accepted record of this fence
	TTLMs       int64
	Nonce       uint64
}

// LeaseState is the saved state of a LeaseTable.
type LeaseState struct {
	Highest uint64     `msg:"h"`
	Rows    []LeaseRow `msg:"r"` // sorted by resource
}
