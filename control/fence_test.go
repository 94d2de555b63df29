package control

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/result"
)

// A holder is paused, a newer one gives an order, and the agent restarts. The agent must
// refuse the paused holder's order before and after two entries have sent their floors.
func TestRestartedAgentRefusesStaleFencingNumber(t *testing.T) {
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
	f.RecordFloors("entry-1", 3, []Floor{{res, 6}}) // entry-1 does not reach the log, so its floor is out of date
	f.RecordFloors("entry-1", 3, []Floor{{res, 6}})
	g.Expect(code(7)).To(Equal(result.FenceUnknown))
	f.RecordFloors("entry-2", 3, []Floor{{res, 8}})
	g.Expect(code(7)).To(Equal(result.FenceStale))
	g.Expect(code(8)).To(Equal(result.OK))
	f.RecordFloors("entry-1", 3, []Floor{{res, 6}})
	g.Expect(code(7)).To(Equal(result.FenceStale))
}
