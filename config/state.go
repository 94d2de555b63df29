package config

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// maxState bounds what a saved state may unpack to, in bytes.
const maxState = 256 << 20

// snapshot handles a record of a saved state. Readers that know the state pass it
// over; one that lost records starts from it and reads on from its Upto.
func (f *Fold) snapshot(offset uint64, rec *Record) error {
	if rec.Kind == RecordSnapshotPart {
		if !f.seeking {
			return nil
		}
		var part Part
		if _, err := part.UnmarshalMsg(rec.Body); err != nil {
			return fmt.Errorf("snapshot part: %w", err)
		}
		f.snapshots.add(offset, part)
		return nil
	}
	var c SnapshotCommit
	if _, err := c.UnmarshalMsg(rec.Body); err != nil {
		return fmt.Errorf("snapshot commit: %w", err)
	}
	if c.Upto > offset {
		return fmt.Errorf("snapshot claims records up to %d, it stands at %d", c.Upto, offset)
	}
	f.snapshotAt = max(f.snapshotAt, c.Upto)
	if !f.seeking {
		return nil
	}
	saved := f.snapshots.take(c.ID, c.Parts, c.Digest)
	if saved == nil || c.Upto < f.seekFrom {
		return nil // parts were trimmed, or records after Upto were: wait for the next one
	}
	return f.restore(saved)
}

// Save returns the one encoding of the state, compressed: hashes in hex halve.
func (f *Fold) Save() ([]byte, error) {
	if f.seeking {
		return nil, fmt.Errorf("no state to save: records are missing")
	}
	if f.stopped != nil {
		return nil, f.stopped
	}
	st := State{Next: f.next, Outcomes: f.outcomes, Pending: f.pending.sets}
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
	raw, err := st.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return compress(raw)
}

// Restore takes a peer's saved state if it is ahead of this one. It never goes
// back, neither in the log's order nor in versions.
func (f *Fold) Restore(saved []byte) error {
	if f.stopped != nil {
		return f.stopped
	}
	return f.restore(saved)
}

func (f *Fold) restore(saved []byte) error {
	raw, err := decompress(saved)
	if err != nil {
		return err
	}
	var st State
	if _, err := st.UnmarshalMsg(raw); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if !f.ahead(&st) {
		return nil
	}
	if len(st.Extensions) != len(f.extensions) {
		return fmt.Errorf("state has %d extensions, this build %d", len(st.Extensions), len(f.extensions))
	}
	for i, x := range f.extensions {
		if st.Extensions[i].Kind != x.Kind() {
			return fmt.Errorf("state holds %q where this build has %q", st.Extensions[i].Kind, x.Kind())
		}
		if err := x.Restore(st.Extensions[i].Data); err != nil {
			return fmt.Errorf("restore %s: %w", x.Kind(), err)
		}
	}
	if st.Version > 0 && (f.current == nil || f.current.Version < st.Version) {
		intern(&st.Config)
		f.current = NewSnapshot(st.Version, st.ID, st.Digest, &st.Config)
	}
	f.next, f.outcomes = st.Next, st.Outcomes
	f.pending = partSet{sets: st.Pending}
	f.seeking, f.snapshots = false, partSet{}
	return nil
}

// ahead reports whether a saved state has more than this fold. While seeking, the
// own position says nothing, but versions still only grow.
func (f *Fold) ahead(st *State) bool {
	if f.current != nil && st.Version < f.current.Version {
		return false
	}
	if f.seeking {
		return st.Next >= f.seekFrom
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
	raw, err := io.ReadAll(io.LimitReader(r, maxState+1))
	if err != nil {
		return nil, fmt.Errorf("unpack state: %w", err)
	}
	if len(raw) > maxState {
		return nil, fmt.Errorf("state unpacks to more than %d bytes", maxState)
	}
	return raw, nil
}

// intern lets teams with equal lists of services share one: most of 38,000 teams
// use the same few, and each decoded copy costs a slice and its strings.
func intern(c *Config) {
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
