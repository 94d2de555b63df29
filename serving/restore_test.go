package serving

import (
	"errors"
	"math/rand/v2"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
)

// restoringStore is a store that comes back from older copies of its log. Its writers write each
// key's newest value again, with a higher number.
type restoringStore struct {
	era     uint64
	log     []Record
	numbers map[string]int // number of the newest value of each key; absent: the key is removed
	last    int
}

func (s *restoringStore) write(key string, exists bool) {
	rec := Record{Key: key, Offset: PositionAt(s.era, uint64(len(s.log)))}
	if exists {
		s.last++
		s.numbers[key], rec.Value = s.last, []byte(strconv.Itoa(s.last))
	} else {
		delete(s.numbers, key)
	}
	s.log = append(s.log, rec)
}

// restore goes back to an earlier length of the log.
func (s *restoringStore) restore(length int) {
	s.era++
	s.log = append([]Record(nil), s.log[:length]...)
	for i := range s.log {
		s.log[i].Offset = PositionAt(s.era, uint64(i))
	}
}

// rewrite makes the writers write all keys again, also the removal of keys that the copy still has.
func (s *restoringStore) rewrite(keys []string) {
	for _, key := range keys {
		_, exists := s.numbers[key]
		s.write(key, exists)
	}
}

func (s *restoringStore) end() Position { return PositionAt(s.era, uint64(len(s.log))) }

// read makes a replica read the store as an entry does.
func (s *restoringStore) read(r *Replica) {
	next := r.NextOffset()
	if r.IsLoaded() && EraOf(next) == s.era {
		r.Apply(s.log[OffsetOf(next):], s.end())
		return
	}
	r.ApplySnapshot(newestRecords(s.log), s.end())
}

// isLowerNumber is the IsOlder of a topic whose values are numbered.
func isLowerNumber(_ string, a, b []byte) bool {
	x, errX := strconv.Atoi(string(a))
	y, errY := strconv.Atoi(string(b))
	return errors.Join(errX, errY) == nil && x < y
}

// newNumberedReplica returns a replica of a topic whose records are kept or dropped in a new era.
func newNumberedReplica(keep bool) *Replica {
	r := NewReplica(nil)
	r.SetRestorePolicy(RestorePolicy{IsOlder: isLowerNumber, KeepMissing: keep, IgnoreRemoved: !keep})
	return r
}

// Guards against a replica that goes back to an older value when the store does, and against replicas
// that differ from the store once its writers have written again.
func TestReplicasFollowAStoreThroughRestores(t *testing.T) {
	for seed := range uint64(200) {
		g := NewWithT(t)
		keep := seed%2 == 0
		rng := rand.New(rand.NewPCG(seed, 5))
		keys := []string{"a", "b", "c", "d"}
		s := &restoringStore{numbers: make(map[string]int)}
		replicas := []*Replica{newNumberedReplica(keep), newNumberedReplica(keep), newNumberedReplica(keep)}
		highest := make([]map[string]int, len(replicas))
		for i := range highest {
			highest[i] = make(map[string]int)
		}
		update := func(to, from int) {
			r := replicas[to]
			r.ApplyUpdate(replicas[from].UpdateSince(r.NextOffset(), r.Kept()))
		}
		for range 300 {
			i := rng.IntN(len(replicas))
			switch rng.IntN(12) {
			case 0, 1, 2:
				s.write(keys[rng.IntN(len(keys))], rng.IntN(3) > 0)
			case 3:
				s.restore(rng.IntN(len(s.log) + 1))
			case 4:
				replicas[i], highest[i] = newNumberedReplica(keep), make(map[string]int)
			case 5:
				s.rewrite(keys)
			case 6, 7, 8:
				s.read(replicas[i])
			default:
				update(i, rng.IntN(len(replicas)))
			}
			for key, rec := range replicas[i].records {
				if len(rec.Value) == 0 && keep {
					delete(highest[i], key) // a copy may bring back an order that was withdrawn
				}
				if len(rec.Value) > 0 {
					number, _ := strconv.Atoi(string(rec.Value)) // test data always decodes
					g.Expect(number).To(BeNumerically(">=", highest[i][key]), "seed %d, replica %d, key %s", seed, i, key)
					highest[i][key] = number
				}
			}
		}
		for range 2 { // a key that was removed is taken for live when it is written after the first read of an era
			s.rewrite(keys)
			s.read(replicas[0])
			s.read(replicas[1])
		}
		for range 2 {
			update(1, 0)
			update(2, 1)
			update(0, 2)
		}
		for _, r := range replicas {
			g.Expect(existingKeys(r)).To(ConsistOf(newestKeys(s.log)), "seed %d", seed)
			for _, want := range newestRecords(s.log) {
				g.Expect(r.records[want.Key].Value).To(Equal(want.Value), "seed %d, key %s", seed, want.Key)
			}
			g.Expect(r.NextOffset()).To(Equal(replicas[0].NextOffset()))
			g.Expect(r.Kept()).To(Equal(replicas[0].Kept()))
		}
	}
}

// Positions of a later era must be later, and give back their parts.
func TestPositionsOfDifferentErasCompare(t *testing.T) {
	g := NewWithT(t)
	g.Expect(PositionAt(2, 0)).To(BeNumerically(">", PositionAt(1, 1<<39)))
	g.Expect(EraOf(PositionAt(3, 7))).To(Equal(uint64(3)))
	g.Expect(OffsetOf(PositionAt(3, 7))).To(Equal(uint64(7)))
	g.Expect(PositionAt(0, 7)).To(Equal(Position(7)))
}
