package result_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/result"
)

func TestTable(t *testing.T) {
	g := NewWithT(t)
	codes, names := make(map[result.Code]bool), make(map[string]bool)
	for _, info := range result.All() {
		g.Expect(codes[info.Code]).To(BeFalse(), "code %d stands twice", info.Code)
		g.Expect(names[info.Name]).To(BeFalse(), "name %s stands twice", info.Name)
		codes[info.Code], names[info.Name] = true, true
		g.Expect(info.Meaning).NotTo(BeEmpty())
		g.Expect(info.Operator).NotTo(BeEmpty())
		if info.Run == result.RunMaybe {
			g.Expect(info.RetryAfter).To(BeZero(), "%s: waiting never settles a doubt", info.Name)
		}
	}
}
