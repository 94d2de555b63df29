package bench_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/bench"
)

func set(values ...float64) *bench.Set {
	s := new(bench.Set)
	for _, v := range values {
		r := bench.NewReport("relay", 1)
		r.Add("64", "added", "us", v)
		s.Reports = append(s.Reports, r)
	}
	return s
}

func TestCompareMarksOnlyDisjointSpreads(t *testing.T) {
	cases := []struct {
		name       string
		older, new *bench.Set
		want       string
		apart      bool
	}{
		{"overlapping ranges are no change", set(1, 5, 3), set(4, 6), "3 [1, 5]", false},
		{"disjoint ranges are a change", set(1, 2), set(3), "1.5 [1, 2]", true},
		{"a figure of one set only is no change", set(), set(3), "-", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			c := bench.Compare(tc.older, tc.new)
			g.Expect(c.Rows).To(HaveLen(1))
			g.Expect(c.Rows[0].Old.String()).To(Equal(tc.want))
			g.Expect(c.Rows[0].Disjoint).To(Equal(tc.apart))
			var out strings.Builder
			g.Expect(c.Write(&out, bench.FormatText)).To(Succeed())
			g.Expect(out.String()).To(ContainSubstring("relay"))
		})
	}
}
