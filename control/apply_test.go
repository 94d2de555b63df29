package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/internal/fake"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/result"
)

type applyInput struct{ base uint64 }

type applyOutput struct {
	code    result.Code // OK, ChangeRefused or ChangeUnknown
	version uint64
}

// versionModel is a register of the version in force. An accepted change on base v sets it
// to v+1, a refused change saw another version, and an unknown change may or may not have
// taken effect.
var versionModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, output any) []any {
		v, in, out := state.(uint64), input.(applyInput), output.(applyOutput)
		switch {
		case out.code == result.OK && in.base == v && out.version == v+1:
			return []any{v + 1}
		case out.code == result.ChangeRefused && in.base != v:
			return []any{v}
		case out.code == result.ChangeUnknown && in.base == v:
			return []any{v, v + 1}
		case out.code == result.ChangeUnknown:
			return []any{v}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// Four operators apply conflicting configurations while the log loses answers and is down
// at times. Their outcomes must fit one order of changes, each on the version before it.
func TestConcurrentAppliesHaveOneOrder(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			log := fake.NewLog()
			var clock atomic.Int64
			var mu sync.Mutex
			var history []porcupine.Operation
			seen := make(map[result.Code]int)
			var wg sync.WaitGroup
			for client := range 4 {
				wg.Go(func() {
					rng := rand.New(rand.NewPCG(seed, uint64(client)))
					for i := range 8 {
						time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
						op := runOperator(t, log, rng, client, i, &clock)
						if op == nil {
							continue
						}
						mu.Lock()
						history = append(history, *op)
						seen[op.Output.(applyOutput).code]++
						mu.Unlock()
					}
				})
			}
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(seed, 99))
				for range 20 {
					time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
					log.SetFaults(fake.LogFaults{Down: rng.IntN(4) == 0, DropResponses: rng.IntN(3), Delay: time.Duration(rng.IntN(300)) * time.Millisecond})
				}
				log.SetFaults(fake.LogFaults{})
			})
			wg.Wait()
			g.Expect(seen[result.OK]).To(BeNumerically(">", 0))
			g.Expect(seen[result.ChangeRefused]).To(BeNumerically(">", 0))
			model := versionModel.ToModel()
			g.Expect(porcupine.CheckOperations(model, history)).To(BeTrue(), "%v", history)
		})
	}
}

func runOperator(t *testing.T, log outside.Log, rng *rand.Rand, client, i int, clock *atomic.Int64) *porcupine.Operation {
	op := &Operator{Log: log}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if op.Sync(ctx) != nil {
		return nil
	}
	base := uint64(0)
	if s := op.Current(); s != nil {
		base = s.Version
	}
	time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond) // the operator reads the diff
	id := NewChangeID()
	call := clock.Add(1)
	out, err := op.Apply(ctx, id, base, teams(1+client*100+i))
	if err != nil && result.From(err).Code == result.ChangeUnknown && rng.IntN(2) == 0 {
		resumeCtx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		out, err = op.Resume(resumeCtx, id)
	}
	code := result.OK
	if err != nil {
		code = result.From(err).Code
	}
	end := clock.Add(1)
	if code == result.ChangeUnknown {
		end = 1 << 40 // the change may still take effect at any later time
	}
	// Resume may void a change whose base was in force, so this outcome does not tell which version
	// was in force.
	if code == result.ChangeRefused && out.Reason == config.ReasonVoided {
		return nil
	}
	return &porcupine.Operation{ClientId: client*1000 + i, Input: applyInput{base}, Call: call, Output: applyOutput{code, out.Version}, Return: end}
}

// The operator's tool dies between the parts of a large change. No node may apply any
// part, the next change succeeds, and a later Resume of the first change is refused.
func TestIncompleteChangeIsNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, map[string]int{"a": 2})
		defer c.close()
		c.startAll()
		v := c.apply(1)
		id := NewChangeID()
		big := teams(4000)
		records, err := config.ChangeRecords(&config.Change{ID: id, Base: v, Digest: config.Digest(big), Delta: config.NewDelta(teams(1), big)})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(records)).To(BeNumerically(">", 3))
		_, err = c.log.Append(t.Context(), records[:len(records)-1]) // all parts without the commit
		g.Expect(err).NotTo(HaveOccurred())
		next := c.apply(2)
		g.Expect(next).To(Equal(v + 1))
		c.waitForVersion(applyDeadline, next, c.names()...)
		op := &Operator{Log: c.log}
		_, err = op.Resume(t.Context(), id)
		g.Expect(result.From(err).Code).To(Equal(result.ChangeRefused))
		_, err = c.log.Append(t.Context(), records[len(records)-1:]) // the commit arrives late
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(applyDeadline)
		g.Expect(c.version("a-0")).To(Equal(next))
	})
}

// An append takes effect but its answer is lost. The operator must find the change by reading the
// log back, accepted exactly once.
func TestChangeIsAcceptedOnceAfterLostAppendResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, map[string]int{"a": 2})
		defer c.close()
		c.startAll()
		v := c.apply(1)
		c.log.SetFaults(fake.LogFaults{DropResponses: 1})
		g.Expect(c.apply(2)).To(Equal(v + 1))
		g.Expect(c.apply(3)).To(Equal(v + 2))
		c.waitForVersion(applyDeadline, v+2, c.names()...)
	})
}
