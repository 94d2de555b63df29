package config

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const goodFiles = `[fleet e]
kind = engine
[fleet p]
kind = plain
[target e1]
fleet = e
data-centre = a
[target p1]
fleet = p
data-centre = a
[service s]
fleet = e
model = m
[team t]
services = s
key-hash = 0000000000000000000000000000000000000000000000000000000000000000
`

func TestLoadReportsFileLineAndKeyOfFaults(t *testing.T) {
	group := "[group g]\nfleet = e\nexperts = 2\nslots = 2\nranks = "
	cases := map[string]struct{ text, want string }{
		"good":                {"", ""},
		"unknown fleet":       {"[service x]\nfleet = nowhere\n", "x.ini:2: service x.fleet: there is no [fleet nowhere]"},
		"unknown key":         {"[fleet x]\nkind = plain\nsize = 3\n", "x.ini:3: fleet x.size: unknown key"},
		"duplicate section":   {"[fleet e]\nkind = plain\n", "x.ini:1: fleet e: given twice, first at good.ini:1"},
		"rank of other fleet": {group + "e1, p1\n", "x.ini:5: group g.ranks: target p1 belongs to fleet p"},
		"rank twice":          {group + "e1, e1\n", "x.ini:5: group g.ranks: target e1 is already a rank of group g"},
		"too few slots":       {"[group g]\nfleet = e\nexperts = 3\nslots = 2\nranks = e1\n", "x.ini:4: group g.slots: 2 slots can't hold 3 experts"},
		"short dedup window":  {"[policy x]\ndeadline = 1h\n", "x.ini:1: policy x.dedup-window: 10m0s is shorter than the deadline, 1h0m0s"},
		"shared key":          {"[team u]\nservices = s\nkey-hash = " + strings.Repeat("0", 64) + "\n", "x.ini:3: team u.key-hash: team t has the same key"},
		"plain-text key":      {"[team u]\nservices = s\nkey-hash = secret\n", "x.ini:3: team u.key-hash: want the sha256"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := Load(map[string]string{"good.ini": goodFiles, "x.ini": tc.text})
			if tc.want == "" {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(ContainSubstring(tc.want)))
		})
	}
}

func TestDiffDeltaAndServicesLosingTargets(t *testing.T) {
	g := NewWithT(t)
	old, err := Load(map[string]string{"f.ini": goodFiles})
	g.Expect(err).NotTo(HaveOccurred())
	changed := strings.NewReplacer("model = m", "model = n", "[target e1]\nfleet = e", "[target e2]\nfleet = p").Replace(goodFiles)
	next, err := Load(map[string]string{"f.ini": changed})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ServicesLosingTargets(old, next)).To(Equal([]string{"s"}))
	g.Expect(ServicesLosingTargets(nil, next)).To(BeEmpty())
	var out strings.Builder
	g.Expect(WriteDiff(&out, Diff(old, next))).To(Succeed())
	g.Expect(out.String()).To(Equal("- [target e1]\n+ [target e2]\n    fleet = p\n    data-centre = a\n~ [service s]\n    model: \"m\" -> \"n\"\n"))
	d := NewDelta(old, next)
	c, digest := d.Apply(old, Digest(old))
	g.Expect(digest).To(Equal(Digest(next)))
	g.Expect(Diff(c, next)).To(BeEmpty())
	empty := NewDelta(next, c)
	g.Expect(empty.Empty()).To(BeTrue())
}
