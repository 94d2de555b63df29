package story_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/story"
)

const recorded = `  36.1500 front-1 time=2026-04-20T08:45:42.150Z level=info event="store lost" error="store answered 503"
  36.1000 side-1 time=2026-04-20T08:45:42.100Z level=info event="group stands still" group=g0 step=9
garbage that is no event
  36.2000 front-1 time=2026-04-20T08:45:42.200Z level=info event=refused request=r7 route=r-1 kind=stream code=250 reason=wait_too_long detail="waited 1500 ms" ms=1500
  36.1900 front-1 time=2026-04-20T08:45:42.190Z level=info event=answered request=r8 ms=20
  39.0000 front-2 time=2026-04-20T08:45:45.000Z level=info event=answered request=r7 route=r-1 kind=stream tries=1 ms=900 first_ms=200
  12.0000 side-1 time=2026-04-20T08:45:18.000Z level=info event="map switched" version=3
`

// A request was refused by one entry and answered by another when it came back.
// Its lines come in order, with what else happened about then and nothing that was
// long over; lines that can't be read are counted.
func TestAStoryIsPutTogether(t *testing.T) {
	g := NewWithT(t)
	s, err := story.Read(strings.NewReader(recorded), "r7")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Bad).To(Equal(1))
	g.Expect(s.Lines).To(HaveLen(2))
	g.Expect(s.Lines[0].Source).To(Equal("front-1"))
	g.Expect(s.Lines[0].Get("detail")).To(Equal("waited 1500 ms"))
	var around []string
	for _, l := range s.Around {
		around = append(around, l.Event)
	}
	g.Expect(around).To(Equal([]string{"group stands still", "store lost"}))
	var b strings.Builder
	g.Expect(s.Write(&b)).To(Succeed())
	g.Expect(b.String()).To(HavePrefix("request r7 came at 08:45:40.700\n"))
}

// An id that no line has is said to be unknown, not passed over in silence.
func TestAnUnknownRequest(t *testing.T) {
	g := NewWithT(t)
	s, err := story.Read(strings.NewReader(recorded), "r99")
	g.Expect(err).NotTo(HaveOccurred())
	var b strings.Builder
	g.Expect(s.Write(&b)).To(Succeed())
	g.Expect(b.String()).To(ContainSubstring("no line of request r99"))
}

// Logs are cut, mixed and forged; a line either is an event or an error.
func FuzzParse(f *testing.F) {
	for line := range strings.Lines(recorded) {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		l, err := story.Parse(line)
		if err == nil && l.Event == "" {
			t.Error("an event without a name")
		}
	})
}
