package config

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// maxStateBytes limits the decompressed size of a saved state.
const maxStateBytes = 256 << 20

// foldSnapshotRecord handles a part or the commit of a snapshot. A reader that lost
// records restores the snapshot and continues from its Upto. Other readers ignore
// the snapshot, unless it is a recovery.
func (f *Fold) foldSnapshotRecord(offset uint64, rec *Record) error {
	if rec.Kind == RecordSnapshotPart {
		return f.foldSnapshotPart(offset, rec.Body)
	}
	var c SnapshotCommit
	if _, err := c.UnmarshalMsg(rec.Body); err != nil {
		return fmt.Errorf("snapshot commit: %w", err)
	}
	if c.Mode != "" {
		return f.foldRecovery(&c)
	}
	if c.Upto > offset || f.passed.contradicts(Position{Next: c.Upto, Mark: c.Mark}) {
		return nil // the snapshot belongs to records that the log has lost since
	}
	f.snapshotOffset = max(f.snapshotOffset, c.Upto)
	if !f.awaitingSnapshot {
		return nil
	}
	saved := f.snapshotParts.take(c.ID, c.Parts, c.Digest)
	if saved == nil || c.Upto < f.firstKept {
		return nil // parts, or records after Upto, were trimmed: wait for the next snapshot
	}
	return f.restore(saved)
}

func (f *Fold) foldSnapshotPart(offset uint64, body []byte) error {
	var id PartID
	if _, err := id.UnmarshalMsg(body); err != nil {
		return fmt.Errorf("snapshot part: %w", err)
	}
	if !f.awaitingSnapshot && !IsRecovery(id.ID) {
		return nil
	}
	var part Part
	if _, err := part.UnmarshalMsg(body); err != nil {
		return fmt.Errorf("snapshot part: %w", err)
	}
	if f.awaitingSnapshot {
		f.snapshotParts.add(offset, part)
		return nil
	}
	f.pendingParts.expire(offset)
	f.pendingParts.add(offset, part)
	return nil
}

// Save returns the encoded and compressed state; equal states give equal bytes.
// Compression halves the size of the hex hashes of team keys. Save fails while the fold
// needs a snapshot and after it has stopped.
func (f *Fold) Save() ([]byte, error) {
	st, err := f.state()
	if err != nil {
		return nil, err
	}
	raw, err := st.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return compress(raw)
}

func (f *Fold) state() (*State, error) {
	if f.awaitingSnapshot {
		return nil, fmt.Errorf("no state to save: log records are missing, waiting for a snapshot")
	}
	if f.stopErr != nil {
		return nil, f.stopErr
	}
	st := &State{Next: f.next, Mark: f.mark, Recoveries: f.recoveries, Recovered: f.recovered, Outcomes: f.outcomes, Pending: f.pendingParts.sets}
	if s := f.current; s != nil {
		st.Version, st.ID, st.Digest, st.Config = s.Version, s.ID, s.Digest, *s.Config
	}
	for _, x := range f.extensions {
		data, err := x.Save()
		if err != nil {
			return nil, fmt.Errorf("save %s: %w", x.Kind(), err)
		}
		st.Extensions = append(st.Extensions, SavedBytes{Kind: x.Kind(), Data: data})
	}
	return st, nil
}

// Restore adopts the saved state of a peer if that state is ahead of this fold. The
// fold never goes back, neither in log offset nor in version.
func (f *Fold) Restore(saved []byte) error {
	if f.stopErr != nil {
		return f.stopErr
	}
	return f.restore(saved)
}

func (f *Fold) restore(saved []byte) error {
	st, err := decodeState(saved)
	if err != nil {
		return err
	}
	if !f.isAhead(st) {
		return nil
	}
	if err := f.restoreExtensions(st); err != nil {
		return err
	}
	f.adopt(st)
	f.next, f.mark = st.Next, st.Mark
	return nil
}

func decodeState(saved []byte) (*State, error) {
	raw, err := decompress(saved)
	if err != nil {
		return nil, err
	}
	st := new(State)
	if _, err := st.UnmarshalMsg(raw); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	return st, nil
}

func (f *Fold) restoreExtensions(st *State) error {
	if err := f.checkExtensions(st); err != nil {
		return err
	}
	for i, x := range f.extensions {
		if err := x.Restore(st.Extensions[i].Data); err != nil {
			return fmt.Errorf("restore %s: %w", x.Kind(), err)
		}
	}
	return nil
}

// checkExtensions returns an error if a state has other extensions than this build.
func (f *Fold) checkExtensions(st *State) error {
	if len(st.Extensions) != len(f.extensions) {
		return fmt.Errorf("state has %d extensions, this build %d", len(st.Extensions), len(f.extensions))
	}
	for i, x := range f.extensions {
		if st.Extensions[i].Kind != x.Kind() {
			return fmt.Errorf("state holds %q where this build has %q", st.Extensions[i].Kind, x.Kind())
		}
	}
	return nil
}

// adopt replaces everything but the position and the extensions by a saved state.
func (f *Fold) adopt(st *State) {
	if st.Version > 0 && (f.current == nil || f.current.Version < st.Version) {
		f.current = st.snapshot()
	}
	f.outcomes, f.recoveries, f.recovered = st.Outcomes, st.Recoveries, st.Recovered
	f.pendingParts = partBuffer{sets: st.Pending}
	f.awaitingSnapshot, f.snapshotParts = false, partBuffer{}
}

func (st *State) snapshot() *Snapshot {
	shareServiceLists(&st.Config)
	return NewSnapshot(st.Version, st.ID, st.Digest, &st.Config)
}

// isAhead reports whether a saved state is newer than this fold. While the fold
// awaits a snapshot, its own offset is meaningless, but the version must still not
// decrease.
func (f *Fold) isAhead(st *State) bool {
	if f.current != nil && st.Version < f.current.Version {
		return false
	}
	if f.awaitingSnapshot {
		return st.Next >= f.firstKept
	}
	return st.Next > f.next
}

func compress(raw []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress state: %w", err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, fmt.Errorf("compress state: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress state: %w", err)
	}
	return b.Bytes(), nil
}

func decompress(saved []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(saved))
	raw, err := io.ReadAll(io.LimitReader(r, maxStateBytes+1))
	if err != nil {
		return nil, fmt.Errorf("unpack state: %w", err)
	}
	if len(raw) > maxStateBytes {
		return nil, fmt.Errorf("state unpacks to more than %d bytes", maxStateBytes)
	}
	return raw, nil
}

// shareServiceLists lets teams with equal service lists share one slice. Most of
// 38,000 teams use the same few lists, and each decoded copy costs a slice and its
// strings.
func shareServiceLists(c *Config) {
	lists := make(map[string][]string)
	for i := range c.Teams {
		t := &c.Teams[i]
		key := fmt.Sprintf("%q", t.Services)
		if known, ok := lists[key]; ok {
			t.Services = known
			continue
		}
		lists[key] = t.Services
	}
}
