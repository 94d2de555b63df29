package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/heatherrail/heatherrail/config"
)

// maxResources bounds the lease table: a claim on a further resource is refused.
const maxResources = 4096

// LeaseTable folds lease records. It uses no clock: the claimants judge whether a lease
// has lapsed, and the order of the log decides between them. It implements
// config.Extension.
type LeaseTable struct {
	highestFence uint64
	rows         map[string]LeaseRow
}

// NewLeaseTable returns an empty table.
func NewLeaseTable() *LeaseTable {
	return &LeaseTable{rows: make(map[string]LeaseRow)}
}

// Kind implements config.Extension.
func (t *LeaseTable) Kind() string { return RecordLease }

// Fold implements config.Extension.
func (t *LeaseTable) Fold(_ uint64, body []byte) error {
	var b LeaseBatch
	if _, err := b.UnmarshalMsg(body); err != nil {
		return fmt.Errorf("lease batch: %w", err)
	}
	for i := range b.Claims {
		t.applyClaim(&b, &b.Claims[i])
	}
	return nil
}

func (t *LeaseTable) applyClaim(b *LeaseBatch, c *LeaseClaim) {
	row, known := t.rows[c.Resource]
	if row.Fence != c.Fence || row.Term != c.Term {
		return // the lease is not the one that the claimant saw: another record came first
	}
	if !known && len(t.rows) >= maxResources {
		return
	}
	held := row.Holder == b.Holder && row.Incarnation == b.Incarnation
	switch {
	case c.Release && !held:
		return
	case c.Release:
		row.Term++
		row.Holder = "" // the incarnation stays: it tells whose lease it was
	case held:
		row.Term++
	default:
		t.highestFence = max(t.highestFence, b.Highest) + 1
		row = LeaseRow{Resource: c.Resource, Holder: b.Holder, Incarnation: b.Incarnation, Fence: t.highestFence}
	}
	row.TTLMs, row.Nonce = b.TTLMs, b.Nonce
	t.rows[c.Resource] = row
}

// Row returns the state of a resource, or the zero row if the resource was never claimed.
func (t *LeaseTable) Row(resource string) LeaseRow { return t.rows[resource] }

// Rows returns the rows of all resources, sorted by resource.
func (t *LeaseTable) Rows() []LeaseRow {
	return slices.SortedFunc(maps.Values(t.rows), func(a, b LeaseRow) int { return cmp.Compare(a.Resource, b.Resource) })
}

// Save implements config.Extension.
func (t *LeaseTable) Save() ([]byte, error) {
	st := LeaseState{Highest: t.highestFence, Rows: t.Rows()}
	return st.MarshalMsg(nil)
}

// Merge implements config.Extension. The row with the higher fencing number is the later one, since
// claims name the highest number that their sender knew. If a number was given to two holders, both
// lose the lease, and the next claim gets a number above it.
func (t *LeaseTable) Merge(saved []byte) error {
	lost, err := decodeLeases(saved)
	if err != nil {
		return err
	}
	t.highestFence = max(t.highestFence, lost.Highest)
	for _, theirs := range lost.Rows {
		ours, known := t.rows[theirs.Resource]
		switch {
		case !known, theirs.Fence > ours.Fence, isSameLease(ours, theirs) && theirs.Term > ours.Term:
			t.rows[theirs.Resource] = theirs
		case theirs.Fence == ours.Fence && !isSameLease(ours, theirs):
			t.highestFence++
			t.rows[theirs.Resource] = LeaseRow{Resource: theirs.Resource, Fence: t.highestFence}
		}
	}
	return nil
}

// isSameLease reports whether two rows with the same fencing number are of the same lease.
func isSameLease(a, b LeaseRow) bool {
	return a.Fence == b.Fence && a.Incarnation == b.Incarnation
}

// Includes implements config.Extension.
func (t *LeaseTable) Includes(saved []byte) (bool, error) {
	lost, err := decodeLeases(saved)
	if err != nil {
		return false, err
	}
	for _, theirs := range lost.Rows {
		ours := t.rows[theirs.Resource]
		if theirs.Fence > ours.Fence || (theirs.Fence == ours.Fence && (!isSameLease(ours, theirs) || theirs.Term > ours.Term)) {
			return false, nil
		}
	}
	return lost.Highest <= t.highestFence, nil
}

func decodeLeases(saved []byte) (*LeaseState, error) {
	st := new(LeaseState)
	if _, err := st.UnmarshalMsg(saved); err != nil {
		return nil, fmt.Errorf("lease table: %w", err)
	}
	return st, nil
}

// Clone implements config.Extension.
func (t *LeaseTable) Clone() config.Extension {
	return &LeaseTable{highestFence: t.highestFence, rows: maps.Clone(t.rows)}
}

// Restore implements config.Extension.
func (t *LeaseTable) Restore(saved []byte) error {
	st, err := decodeLeases(saved)
	if err != nil {
		return err
	}
	t.highestFence = st.Highest
	t.rows = make(map[string]LeaseRow, len(st.Rows))
	for _, row := range st.Rows {
		t.rows[row.Resource] = row
	}
	return nil
}
