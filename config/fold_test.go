package config

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func teamHash(i int) string { return HashKey(fmt.Sprint("key-", i)) }

// teams returns a configuration of n teams whose weights depend on seed.
func teams(n, seed int) *Config {
	c := &Config{
		Fleets:   []Fleet{{Name: "f", Kind: "plain"}},
		Targets:  []Target{{Name: "t", Fleet: "f", DataCentre: "a"}},
		Services: []Service{{Name: "s", Fleet: "f", Policy: DefaultPolicy}},
	}
	for i := range n {
		c.Teams = append(c.Teams, Team{Name: fmt.Sprintf("team-%05d", i), KeyHashes: []string{teamHash(i)}, Services: []string{"s"}, Weight: 100 + seed + i%7})
	}
	c.addDefaults()
	c.sort()
	return c
}

// counter is an extension that counts its records, so that a record that is folded twice or never
// is detected.
type counter struct{ n byte }

func (c *counter) Kind() string               { return "count" }
func (c *counter) Fold(uint64, []byte) error  { c.n++; return nil }
func (c *counter) Save() ([]byte, error)      { return []byte{c.n}, nil }
func (c *counter) Restore(saved []byte) error { c.n = saved[0]; return nil }
func (c *counter) Clone() Extension           { return &counter{n: c.n} }
func (c *counter) Merge(saved []byte) error   { c.n = max(c.n, saved[0]); return nil }
func (c *counter) Includes(saved []byte) (bool, error) {
	return c.n >= saved[0], nil
}

func mustRecords(ch *Change) [][]byte {
	records, err := ChangeRecords(ch)
	if err != nil {
		panic(err)
	}
	return records
}

func changeTo(id string, base uint64, old, c *Config) *Change {
	return &Change{ID: id, Base: base, Digest: Digest(c), Delta: NewDelta(old, c)}
}

// history returns a random log: changes on correct and wrong bases, duplicate
// records, changes in parts with and without commit, and snapshots of earlier
// states.
func history(t *rapid.T) [][]byte {
	var log [][]byte
	reader := NewFold(new(counter))
	read := func() {
		for reader.Next() < uint64(len(log)) {
			if err := reader.Apply(reader.Next(), log[reader.Next()]); err != nil {
				t.Fatal(err)
			}
		}
	}
	var savedState []byte // a saved state that is not yet on the log
	var savedOffset uint64
	for i := range rapid.IntRange(1, 25).Draw(t, "steps") {
		read()
		id := fmt.Sprint("c", i)
		var old *Config
		var version uint64
		if s := reader.Current(); s != nil {
			old, version = s.Config, s.Version
		}
		next := teams(rapid.IntRange(1, 6).Draw(t, "teams"), rapid.IntRange(0, 3).Draw(t, "seed"))
		switch rapid.IntRange(0, 7).Draw(t, "kind") {
		case 0, 1:
			log = append(log, mustRecords(changeTo(id, version, old, next))...)
		case 2: // superseded or future base
			log = append(log, mustRecords(changeTo(id, version+uint64(rapid.IntRange(1, 2).Draw(t, "ahead")), old, next))...)
		case 3: // a duplicate record
			if len(log) > 0 {
				log = append(log, log[rapid.IntRange(0, len(log)-1).Draw(t, "double")])
			}
		case 4: // a change in parts, some of them lost or duplicated
			log = append(log, parts(t, changeTo(id, version, old, next))...)
		case 7:
			raw, _ := NewRecord("count", &Part{})
			log = append(log, raw)
		case 5:
			var err error
			if savedState, err = reader.Save(); err != nil {
				t.Fatal(err)
			}
			savedOffset = reader.Next()
		case 6:
			if savedState != nil {
				records, err := SnapshotRecords(id, savedState, savedOffset)
				if err != nil {
					t.Fatal(err)
				}
				log = append(log, records...)
			}
		}
	}
	return log
}

func parts(t *rapid.T, ch *Change) [][]byte {
	body, _ := ch.MarshalMsg(nil)
	half := len(body) / 2
	var out [][]byte
	for i, data := range [][]byte{body[:half], body[half:]} {
		raw, _ := NewRecord(RecordPart, &Part{ID: ch.ID, Index: i, Data: data})
		for range rapid.IntRange(0, 2).Draw(t, "copies") {
			out = append(out, raw)
		}
	}
	if rapid.Bool().Draw(t, "commit") {
		raw, _ := NewRecord(RecordCommit, &Commit{ID: ch.ID, Parts: 2, Digest: digestOf(body)})
		out = append(out, raw)
	}
	return out
}

// feed folds the log as a reader receives it: from the first offset that the log still contains, in
// pages that repeat some records already folded.
func feed(t *rapid.T, f *Fold, log [][]byte, first uint64) {
	version := uint64(0)
	for f.Next() < uint64(len(log)) {
		from := f.Next() - min(f.Next()-first, uint64(rapid.IntRange(0, 3).Draw(t, "overlap")))
		to := min(uint64(len(log)), f.Next()+uint64(rapid.IntRange(1, 5).Draw(t, "page")))
		for o := from; o < to; o++ {
			if err := f.Apply(o, log[o]); err == ErrGap {
				break
			} else if err != nil {
				t.Fatal(err)
			}
			if s := f.Current(); s != nil {
				if s.Version < version {
					t.Fatalf("version decreased from %d to %d", version, s.Version)
				}
				version = s.Version
			}
		}
	}
}

// Readers start at the first record, fall behind the trimming of the log, or start from
// a snapshot or a peer's state. All must reach the same state.
func TestReadersReachSameStateFromAnyStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := history(t)
		fromStart := NewFold(new(counter))
		feed(t, fromStart, log, 0)
		want, err := fromStart.Save()
		if err != nil {
			t.Fatal(err)
		}
		if s := fromStart.Current(); s != nil && s.Digest != Digest(s.Config) {
			t.Fatal("incremental digest differs from Digest of the configuration")
		}
		first := uint64(rapid.IntRange(0, len(log)).Draw(t, "first"))
		reader := NewFold(new(counter))
		if rapid.Bool().Draw(t, "slow") { // the next records of the reader have been trimmed
			for o := uint64(0); o < first/2; o++ {
				if err := reader.Apply(o, log[o]); err != nil {
					t.Fatal(err)
				}
			}
		}
		reader.SkipTo(first)
		feed(t, reader, log, first)
		if reader.NeedsSnapshot() {
			if err := reader.Restore(want); err != nil { // no snapshot on the log: restore from a peer
				t.Fatal(err)
			}
		}
		got, err := reader.Save()
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != string(want) {
			t.Fatalf("reader from offset %d of %d records reached a different state", first, len(log))
		}
	})
}

// A peer that was paused since version 1 sends its state to a reader at version 2. If the reader
// adopted this state, an old policy would be in force again.
func TestRestoreIgnoresOlderState(t *testing.T) {
	g := NewWithT(t)
	f := NewFold()
	g.Expect(f.Apply(0, mustRecords(changeTo("a", 0, nil, teams(2, 0)))[0])).To(Succeed())
	old, err := f.Save()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.Apply(1, mustRecords(changeTo("b", 1, teams(2, 0), teams(3, 1)))[0])).To(Succeed())
	g.Expect(f.Restore(old)).To(Succeed())
	g.Expect(f.Current().Version).To(Equal(uint64(2)))
	f.SkipTo(9)
	g.Expect(f.Restore(old)).To(Succeed())
	g.Expect(f.Current().Version).To(Equal(uint64(2)))
}

// A newer build writes a record of schema 2, or of a new kind, to the log. A reader
// that skipped it would diverge from its peers, so the fold must stop instead.
func TestUnknownRecordStopsTheFold(t *testing.T) {
	newer := Record{Schema: RecordSchema + 1, Kind: RecordChange}
	newerRaw, _ := newer.MarshalMsg(nil)
	otherRaw, _ := NewRecord("other", &Part{})
	for name, raw := range map[string][]byte{"schema": newerRaw, "kind": otherRaw, "garbage": {0xc1}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := NewFold()
			change := mustRecords(changeTo("a", 0, nil, teams(1, 0)))[0]
			g.Expect(f.Apply(0, raw)).NotTo(Succeed())
			g.Expect(f.Apply(1, change)).NotTo(Succeed())
			g.Expect(f.Current()).To(BeNil())
			_, err := f.Save()
			g.Expect(err).To(HaveOccurred(), "a stopped fold must not save its state")
		})
	}
}

// The append of a change is delayed, and a resumed apply voids its id and reports that it did not
// happen. The delayed record arrives while its base is in force and must change nothing.
func TestVoidedChangeNeverTakesEffect(t *testing.T) {
	g := NewWithT(t)
	f := NewFold()
	late := mustRecords(changeTo("a", 0, nil, teams(1, 0)))[0]
	void := mustRecords(&Change{ID: "a", Base: VoidBase})[0]
	g.Expect(f.Apply(0, void)).To(Succeed())
	g.Expect(f.Apply(1, late)).To(Succeed())
	g.Expect(f.Current()).To(BeNil())
	out, _ := f.Outcome("a")
	g.Expect(out.Reason).To(Equal(ReasonVoided))
}

func TestLargeChangeIsSplitIntoParts(t *testing.T) {
	g := NewWithT(t)
	big := teams(5000, 0)
	records := mustRecords(changeTo("big", 0, nil, big))
	g.Expect(len(records)).To(BeNumerically(">", 3))
	f := NewFold()
	for i, raw := range records {
		g.Expect(len(raw)).To(BeNumerically("<=", MaxRecordBytes+256))
		g.Expect(f.Current()).To(BeNil(), "parts without their commit have no effect")
		g.Expect(f.Apply(uint64(i), raw)).To(Succeed())
	}
	g.Expect(f.Current().Config.Teams).To(HaveLen(5000))
	small := mustRecords(changeTo("small", 1, big, teams(5001, 0)))
	g.Expect(small).To(HaveLen(1))
	g.Expect(len(small[0])).To(BeNumerically("<", 1024), "the size of a change must depend on its difference alone")
	g.Expect(f.Apply(uint64(len(records)), small[0])).To(Succeed())
	g.Expect(f.Current().TeamByKey("key-5000").Name).To(Equal("team-05000"))
}

func TestOldestOutcomesAreEvicted(t *testing.T) {
	g := NewWithT(t)
	f := NewFold()
	for i := range uint64(maxOutcomes + 10) {
		raw := mustRecords(&Change{ID: fmt.Sprint("c", i), Base: 99})[0]
		g.Expect(f.Apply(i, raw)).To(Succeed())
	}
	g.Expect(f.outcomes).To(HaveLen(maxOutcomes))
	_, known := f.Outcome("c0")
	g.Expect(known).To(BeFalse())
	_, known = f.Outcome("c20")
	g.Expect(known).To(BeTrue())
}

// FuzzFold feeds arbitrary records to two folds. Both must reach the same state.
func FuzzFold(f *testing.F) {
	f.Add(mustRecords(changeTo("a", 0, nil, teams(2, 0)))[0], []byte{})
	part, _ := NewRecord(RecordPart, &Part{ID: "p", Index: 1, Data: []byte("x")})
	commit, _ := NewRecord(RecordCommit, &Commit{ID: "p", Parts: 2})
	f.Add(part, commit)
	state, _ := NewFold().Save()
	snapshots, _ := SnapshotRecords("s", state, 0)
	f.Add(snapshots[0], snapshots[1])
	f.Fuzz(func(t *testing.T, a, b []byte) {
		for _, skip := range []uint64{0, 1} {
			one, two := NewFold(), NewFold()
			for _, fold := range []*Fold{one, two} {
				fold.SkipTo(skip)
				_ = fold.Apply(fold.Next(), a)
				_ = fold.Apply(fold.Next(), b)
				_ = fold.Restore(b)
			}
			x, errX := one.Save()
			y, errY := two.Save()
			if (errX == nil) != (errY == nil) || string(x) != string(y) {
				t.Fatal("two folds of the same records differ")
			}
		}
	})
}

func digestOf(body []byte) uint64 { return xxhash.Sum64(body) }
