package config

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// branch is a log and the fold of all its records.
type branch struct {
	log  [][]byte
	fold *Fold
}

func (b *branch) append(t *rapid.T, records ...[][]byte) {
	for _, page := range records {
		for _, raw := range page {
			if err := b.fold.Apply(uint64(len(b.log)), raw); err != nil {
				t.Fatal(err)
			}
			b.log = append(b.log, raw)
		}
	}
}

// change appends an accepted change to n teams.
func (b *branch) change(t *rapid.T, id string, n int) {
	var old *Config
	version := uint64(0)
	if s := b.fold.Current(); s != nil {
		old, version = s.Config, s.Version
	}
	b.append(t, mustRecords(changeTo(id, version, old, teams(n, 0))))
	if b.fold.Current() == nil || b.fold.Current().ID != id {
		t.Fatalf("change %s was refused", id)
	}
}

// fork returns a log that has lost all records from an offset on.
func (b *branch) fork(t *rapid.T, at int) *branch {
	f := &branch{fold: NewFold(new(counter))}
	f.append(t, b.log[:at])
	return f
}

func (b *branch) recover(t *rapid.T, id string, lost *Fold, mode string) {
	saved, err := lost.Save()
	if err != nil {
		t.Fatal(err)
	}
	records, err := RecoveryRecords(id, saved, mode)
	if err != nil {
		t.Fatal(err)
	}
	b.append(t, records)
}

// Guards against recoveries that undo a newer change, or that readers of one log fold differently.
func TestRecoveriesKeepTheNewestChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &branch{fold: NewFold(new(counter))}
		log.change(t, "c000", 1)
		newest, number := "c000", 0
		highest := uint64(1)
		change := func() {
			number++
			newest = fmt.Sprintf("c%03d", number)
			log.change(t, newest, 1+number)
		}
		for loss := range rapid.IntRange(1, 4).Draw(t, "losses") {
			base := rapid.IntRange(1, len(log.log)).Draw(t, "base")
			for range rapid.IntRange(0, 3).Draw(t, "lost changes") {
				change()
			}
			var readers []*Fold // what the readers had read when the records were lost
			for range rapid.IntRange(1, 3).Draw(t, "readers") {
				readers = append(readers, log.fork(t, rapid.IntRange(base, len(log.log)).Draw(t, "read")).fold)
			}
			readers = append(readers, log.fold)
			for _, r := range readers {
				highest = max(highest, r.Current().Version)
			}
			log = log.fork(t, base)
			for range rapid.IntRange(0, 2).Draw(t, "changes before") {
				change()
			}
			for i, r := range readers {
				log.recover(t, fmt.Sprint(loss, "-", i), r, RecoveryMerge)
			}
			for range rapid.IntRange(0, 2).Draw(t, "changes after") {
				change()
			}
			if s := log.fold.Current(); s.ID != newest || s.Version < highest {
				t.Fatalf("in force is version %d by %s, want %s at version %d or later", s.Version, s.ID, newest, highest)
			}
			for _, r := range readers {
				if !log.fold.Includes(r) {
					t.Fatal("a recovered state is not included")
				}
			}
		}
		want, err := log.fold.Save()
		if err != nil {
			t.Fatal(err)
		}
		first := rapid.IntRange(0, len(log.log)).Draw(t, "first")
		reader := log.fork(t, first)
		saved, err := reader.fold.Save()
		if err != nil {
			t.Fatal(err)
		}
		follower := NewFold(new(counter))
		if err := follower.Restore(saved); err != nil {
			t.Fatal(err)
		}
		feed(t, follower, log.log, uint64(first))
		if got, err := follower.Save(); err != nil || string(got) != string(want) {
			t.Fatalf("a reader from offset %d reached another state: %v", first, err)
		}
	})
}

// No reader of a trimmed log can derive a state. A reader with an earlier state writes a reset; all
// readers, also one that had derived a state, must reach the same one.
func TestResetGivesAllReadersOneState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := &branch{fold: NewFold(new(counter))}
		log.change(t, "c000", 1)
		log.change(t, "c001", 2)
		lost := log.fold.Clone()
		log = log.fork(t, 1)
		if rapid.Bool().Draw(t, "change") {
			log.change(t, "c002", 3)
		}
		first := uint64(len(log.log))
		reader := NewFold(new(counter))
		reader.SkipTo(first)
		log.recover(t, "r", lost, RecoveryReset)
		displaced := log.fold.TakeDisplaced()
		if displaced == nil {
			t.Fatal("the state that the reset replaced is gone")
		}
		if !log.fold.Includes(displaced) {
			log.recover(t, "displaced", displaced, RecoveryMerge)
		}
		log.change(t, "c003", 4)
		feed(t, reader, log.log, first)
		want, err := log.fold.Save()
		if err != nil {
			t.Fatal(err)
		}
		if got, err := reader.Save(); err != nil || string(got) != string(want) {
			t.Fatalf("readers differ: %v", err)
		}
	})
}
