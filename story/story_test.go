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

// One entry refuses a request and another entry answers its retry. The lines are sorted
// by time, context events outside the window are left out, unparsable lines are counted.
func TestReadCollectsLinesAndContextInOrder(t *testing.T) {
	g := NewWithT(t)
	s, err := story.Read(strings.NewReader(recorded), "r7")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.UnparsedLines).To(Equal(1))
	g.Expect(s.Lines).To(HaveLen(2))
	g.Expect(s.Lines[0].Source).To(Equal("front-1"))
	g.Expect(s.Lines[0].Get("detail")).To(Equal("waited 1500 ms"))
	var events []string
	for _, l := range s.Context {
		events = append(events, l.Event)
	}
	g.Expect(events).To(Equal([]string{"group stands still", "store lost"}))
	var b strings.Builder
	g.Expect(s.Write(&b)).To(Succeed())
	g.Expect(b.String()).To(HavePrefix("request r7 came at 08:45:40.700\n"))
}

// No log line has the requested ID. The output must state that.
func TestUnknownRequestIsReported(t *testing.T) {
	g := NewWithT(t)
	s, err := story.Read(strings.NewReader(recorded), "r99")
	g.Expect(err).NotTo(HaveOccurred())
	var b strings.Builder
	g.Expect(s.Write(&b)).To(Succeed())
	g.Expect(b.String()).To(ContainSubstring("no line of request r99"))
}

// Log lines may be truncated, mixed up or forged. Parse must return an event with a name, or an
// error.
func FuzzParse(f *testing.F) {
	for line := range strings.Lines(recorded) {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		l, err := story.Parse(line)
		if err == nil && l.Event == "" {
			t.Error("Parse returned an event without a name")
		}
	})
}

const causes = `front-1 time=2026-04-20T08:45:42.150Z level=info event=placed request=a1 target=i-1 try=1 wait_ms=400 load=7 report_ms=90 imbalance=2.8 pace=1
front-1 time=2026-04-20T08:45:43.150Z level=info event=answered request=a1 tries=1 wait_ms=400 ms=1400 gap_ms=80 late="first event" first_ms=610
front-1 time=2026-04-20T08:45:42.150Z level=info event=answered request=a2 tries=1 wait_ms=3 ms=1400 gap_ms=210 late=pause first_ms=110
side-1 time=2026-04-20T08:45:41.900Z level=info event="demand moved" step=4
side-1 time=2026-04-20T08:45:42.000Z level=info event="group load" pass_ms=190.5 running=60 waiting=3 imbalance=2.71
front-1 time=2026-04-20T08:45:42.100Z level=info event="try failed" request=a3 target=i-2 try=1 code=310 reason=target_lost detail="i-2: reset" again=true
front-1 time=2026-04-20T08:45:42.300Z level=info event=answered request=a3 target=i-3 status=200 tries=2 ms=700 late=answer
front-1 time=2026-04-20T08:45:42.300Z level=info event=refused request=a4 code=250 reason=wait_too_long detail="waited 1500 ms" ms=1500
front-1 time=2026-04-20T08:45:42.300Z level=info event=answered request=a5 tries=1 wait_ms=0 ms=900 gap_ms=60 late=no first_ms=140
front-1 time=2026-04-20T08:45:42.300Z level=info event="broken off" request=a6 code=320 reason=answer_broken detail="i-4: reset" ms=300
front-1 time=2026-04-20T08:45:42.300Z level=info event=refused request=a7 kind=once code=301 reason=target_lost detail="i-5: EOF" ms=53
`

// Requests are late, refused or lose their connection for different reasons. Cause must name the
// reason given by the log lines, and no reason for a request that was answered on time.
func TestCauseNamesReasonOfFailureOrDelay(t *testing.T) {
	g := NewWithT(t)
	for id, cause := range map[string]string{
		"a1": "late first event, 610 ms: it waited 400 ms for a place; passes of the group took 190.5 ms, imbalance 2.71, 60 streams, 3 waiting; demand had moved",
		"a2": "a pause of 210 ms between events; passes of the group took 190.5 ms",
		"a3": "late answer, 700 ms: try 1 failed: target_lost: i-2: reset",
		"a4": "refused: wait_too_long: waited 1500 ms; passes of the group took 190.5 ms",
		"a5": "",
		"a7": "refused: target_lost: i-5: EOF",
		"a6": "broken off: answer_broken: i-4: reset",
	} {
		s, err := story.Read(strings.NewReader(causes), id)
		g.Expect(err).NotTo(HaveOccurred())
		if cause == "" {
			g.Expect(s.Cause()).To(BeEmpty(), id)
			continue
		}
		g.Expect(s.Cause()).To(HavePrefix(cause), id)
		if id == "a7" {
			g.Expect(s.Cause()).To(Equal(cause), "requests to plain services have no group context")
		}
	}
}
