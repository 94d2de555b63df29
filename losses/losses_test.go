package losses_test

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/losses"
)

const logLines = `front-1 time=2026-04-20T08:45:00.000Z level=info event=started vm=front-1 data_centre=a
front-2 time=2026-04-20T08:45:00.000Z level=info event=started vm=front-2 data_centre=b
garbage that is no event
front-1 time=2026-04-20T08:45:12.000Z level=info event=answered request=r1 kind=stream ms=900 late=no
front-1 time=2026-04-20T08:45:12.100Z level=info event=answered request=r2 kind=stream ms=900 late=pause
front-1 time=2026-04-20T08:45:12.200Z level=info event=refused request=r3 kind=stream reason=unauthorized ms=0
front-1 time=2026-04-20T08:45:15.000Z level=info event=placed request=r4 imbalance=2.7 report_ms=90 pace=1
front-1 time=2026-04-20T08:45:15.500Z level=info event=answered request=r4 kind=stream ms=600 late="first event"
front-2 time=2026-04-20T08:45:18.000Z level=info event=placed request=r5 imbalance=1.1 report_ms=2600 pace=0
front-2 time=2026-04-20T08:45:18.500Z level=info event=refused request=r5 kind=stream reason=wait_too_long ms=600
side-1 time=2026-04-20T08:45:18.400Z level=info event="this rank is left held" step=9
front-2 time=2026-04-20T08:45:18.600Z level=info event=answered request=r6 kind=stream ms=300 late=pause
front-2 time=2026-04-20T08:45:21.000Z level=info event="group load" pace=12 imbalance=4
front-2 time=2026-04-20T08:45:21.500Z level=info event="broken off" request=r7 kind=stream reason=deadline_past ms=400
front-2 time=2026-04-20T08:45:24.000Z level=info event="try failed" request=r8 reason=target_lost
front-2 time=2026-04-20T08:45:24.300Z level=info event=answered request=r8 kind=idempotent status=200 ms=300 late=answer
front-2 time=2026-04-20T08:45:24.400Z level=info event=answered request=r9 kind=once status=500 ms=30 late=no
front-2 time=2026-04-20T08:45:27.000Z level=info event=refused request=r12 kind=once reason=target_limit ms=3
front-1 time=2026-04-20T08:45:30.000Z level=info event=started vm=front-1 data_centre=a
front-2 time=2026-04-20T08:45:30.200Z level=info event=started vm=front-2 data_centre=b
front-1 time=2026-04-20T08:45:30.500Z level=info event=refused request=r10 kind=stream reason=no_config ms=0
front-1 time=2026-04-20T08:45:32.500Z level=info event=answered request=r11 kind=stream ms=400 late="first event"
`

// Requests are lost for different reasons, some of which apply at the same time. Each loss
// must be attributed to one cause, the one with the highest precedence.
func TestEachLossIsAttributedToOneCause(t *testing.T) {
	g := NewWithT(t)
	a, err := losses.Read(strings.NewReader(logLines))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Answered).To(Equal(1))
	g.Expect(a.UnparsedLines).To(Equal(1))
	type want struct {
		second     int
		cause      losses.Cause
		outcome    losses.Outcome
		dataCentre string
	}
	var got []want
	for _, loss := range a.Losses {
		got = append(got, want{loss.Second, loss.Cause, loss.Outcome, loss.DataCentre})
	}
	g.Expect(got).To(Equal([]want{
		{12, losses.Backlog, losses.Late, "a"},
		{12, losses.CallerFault, losses.Refused, "a"},
		{15, losses.MapOutdated, losses.Late, "a"},
		{18, losses.GroupHeld, losses.Refused, "b"},
		{18, losses.GroupHeld, losses.Late, "b"},
		{21, losses.SlowRank, losses.Failed, "b"},
		{24, losses.TargetFailed, losses.Late, "b"},
		{24, losses.TargetSlow, losses.Failed, "b"},
		{27, losses.TargetRateLimited, losses.Refused, "b"},
		{30, losses.NoConfig, losses.Refused, "a"},
		{32, losses.AfterRestart, losses.Late, "a"},
	}))
}

// A report has several tables and three formats. Each table must count each loss once,
// and each format must be well-formed.
func TestReportCountsEachLossOnce(t *testing.T) {
	g := NewWithT(t)
	a, err := losses.Read(strings.NewReader(logLines))
	g.Expect(err).NotTo(HaveOccurred())
	r := a.Report()
	causes, savable, seconds := 0, 0, 0
	for _, row := range r.Causes {
		causes += row.Late + row.Refused + row.Failed
		savable += row.Savable
	}
	for _, s := range r.Seconds {
		for _, n := range s.Causes {
			seconds += n
		}
	}
	g.Expect(causes).To(Equal(len(a.Losses)))
	g.Expect(seconds).To(Equal(len(a.Losses)))
	g.Expect(savable).To(Equal(6))
	g.Expect(r.DataCentres).To(Equal(map[string]int{"a": 5, "b": 6}))
	g.Expect(r.Kinds).To(Equal(map[string]int{"stream": 8, "idempotent": 1, "once": 2}))

	var text, svg, encoded bytes.Buffer
	g.Expect(r.WriteText(&text)).To(Succeed())
	g.Expect(text.String()).To(MatchRegexp(`slow rank +0 +0 +1 +0`))
	g.Expect(r.WriteJSON(&encoded)).To(Succeed())
	var back losses.Report
	g.Expect(json.Unmarshal(encoded.Bytes(), &back)).To(Succeed())
	g.Expect(&back).To(Equal(r))
	g.Expect(r.WriteSVG(&svg)).To(Succeed())
	dec := xml.NewDecoder(&svg)
	for {
		if _, err = dec.Token(); err != nil {
			break
		}
	}
	g.Expect(err).To(Equal(io.EOF))
}
