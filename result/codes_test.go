package result_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/result"
)

// A duplicate, undocumented or contradictory table entry would mislead callers.
func TestTableEntriesAreUniqueAndComplete(t *testing.T) {
	g := NewWithT(t)
	codes, names := make(map[result.Code]bool), make(map[string]bool)
	for _, info := range result.All() {
		g.Expect(codes[info.Code]).To(BeFalse(), "duplicate code %d", info.Code)
		g.Expect(names[info.Name]).To(BeFalse(), "duplicate name %s", info.Name)
		codes[info.Code], names[info.Name] = true, true
		g.Expect(info.Meaning).NotTo(BeEmpty())
		g.Expect(info.Operator).NotTo(BeEmpty())
		if info.Run == result.RunMaybe {
			g.Expect(info.RetryAfter).To(BeZero(), "%s: a delay never resolves an unknown outcome", info.Name)
		}
	}
}
