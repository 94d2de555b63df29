package control

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/result"
)

// The caller sees: an order of a holder that was paused through its lapse is
// refused with fence_stale. In order: holder 7 is paused, holder 8 gives an order,
// the agent restarts with an empty memory, holder 7 wakes and sends its order.
// The restarted agent knows nothing, so it must refuse until entries told it.
func TestFenceAfterRestart(t *testing.T) {
	g := NewWithT(t)
	res := GroupResource("a")
	f := NewFence()
	code := func(n uint64) result.Code {
		if err := f.Check(res, n); err != nil {
			return result.From(err).Code
		}
		return result.OK
	}
	g.Expect(code(7)).To(Equal(result.FenceUnknown))
	f.Learn("entry-1", 3, []Floor{{res, 6}}) // cut off from the log, behind
	f.Learn("entry-1", 3, []Floor{{res, 6}})
	g.Expect(code(7)).To(Equal(result.FenceUnknown))
	f.Learn("entry-2", 3, []Floor{{res, 8}})
	g.Expect(code(7)).To(Equal(result.FenceStale))
	g.Expect(code(8)).To(Equal(result.OK))
	f.Learn("entry-1", 3, []Floor{{res, 6}})
	g.Expect(code(7)).To(Equal(result.FenceStale))
}
