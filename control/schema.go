package control

//go:generate go tool -modfile=../tools/go.mod msgp -tests=false -io=false -o schema_gen.go

//msgp:limit arrays:1048576 maps:131072

// RecordLease is the kind of log records that contain a LeaseBatch.
const RecordLease = "lease"

// LeaseBatch holds the claims and renewals of one process in one record.
type LeaseBatch struct {
	Holder      string       `msg:"h"`
	Incarnation uint64       `msg:"i"`
	TTLMs       int64        `msg:"s"` // validity of each accepted claim, in ms
	Nonce       uint64       `msg:"n"` // identifies the accepted batch to its sender
	Highest     uint64       `msg:"f"` // highest fencing number that the sender knows, also of records that the log has lost
	Claims      []LeaseClaim `msg:"c"`
}

// LeaseClaim claims, renews or releases a resource, provided that its lease is still the
// one that the claimant saw. The order of the log thereby decides between racing claims.
//
//msgp:tuple LeaseClaim
type LeaseClaim struct {
	Resource string
	Fence    uint64 // fencing number of the lease that the claimant saw
	Term     uint64 // term of the lease that the claimant saw
	Release  bool
}

// LeaseRow is the folded lease state of one resource.
//
//msgp:tuple LeaseRow
type LeaseRow struct {
	Resource    string
	Holder      string // empty: the lease was released
	Incarnation uint64
	Fence       uint64 // fencing number, grows with each new holder
	Term        uint64 // grows with each accepted record under this fencing number
	TTLMs       int64
	Nonce       uint64
}

// LeaseState is the saved state of a LeaseTable.
type LeaseState struct {
	Highest uint64     `msg:"h"`
	Rows    []LeaseRow `msg:"r"` // sorted by resource
}
