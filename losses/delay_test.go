package losses_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/losses"
)

// delayLogs has two groups with passes of different length. The first column is the prefix of a
// log collector that states seconds before the name of the process.
const delayLogs = `  -1.0000 side-1 time=2026-04-20T08:45:00.000Z level=info event=started vm=side-1 engine=10.0.0.1:80
  -1.0000 front-1 time=2026-04-20T08:45:00.000Z level=info event=started vm=front-1 data_centre=a
   0.0000 front-1 time=2026-04-20T08:45:09.000Z level=info event=placed request=p1 group=g0 target=i-1
   0.0000 side-1 time=2026-04-20T08:45:09.900Z level=info event="demand moved" epoch=1 step=4
   0.0000 side-1 time=2026-04-20T08:45:09.950Z level=info event="group load" group=g0 pass_ms=70.5 running=100 waiting=1 imbalance=1.1
   0.0000 side-2 time=2026-04-20T08:45:09.950Z level=info event="group load" group=g1 pass_ms=300 running=240 waiting=9 imbalance=2.9
   0.0000 side-1 time=2026-04-20T08:45:10.100Z level=info event="map planned" epoch=1 version=7 copies=40
   0.0000 side-1 time=2026-04-20T08:45:10.500Z level=info event="group load" group=g0 pass_ms=128.5 running=201 waiting=4 imbalance=1.8
   0.0000 side-1 time=2026-04-20T08:45:10.600Z level=info event="map switched" group=g0 version=7
   0.0000 front-1 time=2026-04-20T08:45:11.000Z level=info event=answered request=p1 kind=stream tries=1 wait_ms=3 ms=2000 gap_ms=131 late=pause first_ms=120
   0.0000 front-1 time=2026-04-20T08:45:20.000Z level=info event=placed request=f1 group=g1 target=i-2
   0.0000 front-1 time=2026-04-20T08:45:21.000Z level=info event=answered request=f1 kind=stream tries=1 wait_ms=40 ms=1100 gap_ms=60 late="first event" first_ms=520
   0.0000 front-1 time=2026-04-20T08:45:21.000Z level=info event=answered request=w1 kind=stream tries=1 wait_ms=400 ms=1100 gap_ms=60 late="first event" first_ms=520
   0.0000 front-1 time=2026-04-20T08:45:21.000Z level=info event=answered request=ok kind=stream tries=1 wait_ms=0 ms=1100 gap_ms=60 late=no first_ms=120
   0.0000 front-1 time=2026-04-20T08:45:21.000Z level=info event=refused request=r1 kind=stream reason=wait_too_long ms=900
   0.0000 front-1 time=2026-04-20T08:45:21.000Z level=info event=answered request=a1 kind=once status=200 ms=900 late=answer
`

// A late stream may have missed the objective of its first event, because of a wait or at the
// target, or the objective of gaps. Counted together, they hide which limit to change.
func TestLateStreamsAreDistinguishedByDelay(t *testing.T) {
	g := NewWithT(t)
	a, err := losses.Read(strings.NewReader(delayLogs))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.UnparsedLines).To(BeZero())
	delays := make(map[losses.Delay]time.Duration)
	for _, loss := range a.Losses {
		delays[loss.Delay] += loss.DelayTime
	}
	g.Expect(delays).To(Equal(map[losses.Delay]time.Duration{
		losses.NoDelay:         0,
		losses.LongPause:       131 * time.Millisecond,
		losses.LateFirstEvent:  520 * time.Millisecond,
		losses.AdmissionWait:   400 * time.Millisecond,
		losses.WaitUntilRefuse: 900 * time.Millisecond,
	}))
}

// Groups differ in load at the same time. A loss must be shown with the longest pass of its own
// group while it ran, and with the state of the group then.
func TestLossHasLongestPassOfItsGroup(t *testing.T) {
	g := NewWithT(t)
	a, err := losses.Read(strings.NewReader(delayLogs))
	g.Expect(err).NotTo(HaveOccurred())
	byDelay := make(map[losses.Delay]losses.Loss)
	for _, loss := range a.Losses {
		byDelay[loss.Delay] = loss
	}
	pause := byDelay[losses.LongPause].Pass
	g.Expect(pause).To(Equal(&losses.Pass{Group: "g0", MS: 128.5, Running: 201, Waiting: 4, Imbalance: 1.8, Shifted: true, Copying: true}))
	g.Expect(byDelay[losses.LateFirstEvent].Pass).To(BeNil(), "the log has no pass of the group at that time")
}

// Logs of versions without the group of a placement still have the passes of all groups, of which
// the longest is the best statement that the logs allow.
func TestLossWithoutGroupHasLongestPassOfAll(t *testing.T) {
	g := NewWithT(t)
	a, err := losses.Read(strings.NewReader(strings.ReplaceAll(delayLogs, " group=g0 target", " target")))
	g.Expect(err).NotTo(HaveOccurred())
	for _, loss := range a.Losses {
		if loss.Delay == losses.LongPause {
			g.Expect(loss.Pass.Group).To(Equal("g1"))
			g.Expect(loss.Pass.MS).To(Equal(300.0))
			g.Expect(loss.Pass.Shifted).To(BeTrue(), "the shift of g0")
		}
	}
}

// The report must count each late stream in exactly one row of the table of delays.
func TestReportHasTableOfDelays(t *testing.T) {
	g := NewWithT(t)
	a, err := losses.Read(strings.NewReader(delayLogs))
	g.Expect(err).NotTo(HaveOccurred())
	r := a.Report()
	g.Expect(r.Delays).To(HaveLen(4))
	var text bytes.Buffer
	g.Expect(r.WriteText(&text)).To(Succeed())
	g.Expect(text.String()).To(MatchRegexp(`long pause +1 +131 +131 +128\.5 +201 +1\.80 +1 +1 +0\n`))
	g.Expect(text.String()).To(MatchRegexp(`late first event +1 +520 +520 +- +- +- +0 +0 +0\n`))
}

// rollingStop returns the log of a deployment of four entries, which are restarted one after the
// other, and of sides that keep running. Only the entries log a start, as in logs that begin after
// the start of the deployment. Each entry has a late stream a second after its start.
func rollingStop() string {
	b := &strings.Builder{}
	for i := range 4 {
		fmt.Fprintf(b, "side-%d time=2026-04-20T08:45:00.000Z level=info event=\"target known\"\n", i)
		fmt.Fprintf(b, "front-%d time=2026-04-20T08:45:00.000Z level=info event=\"target known\"\n", i)
	}
	for i := range 4 {
		at := 10 + i
		fmt.Fprintf(b, "front-%d time=2026-04-20T08:45:%02d.000Z level=info event=stopping in_flight=3\n", i, at)
		fmt.Fprintf(b, "front-%d time=2026-04-20T08:45:%02d.500Z level=info event=stopped in_flight=0\n", i, at+5)
		fmt.Fprintf(b, "front-%d time=2026-04-20T08:45:%02d.900Z level=info event=started data_centre=a\n", i, at+5)
		fmt.Fprintf(b, "front-%d time=2026-04-20T08:45:%02d.900Z level=info event=answered request=r%d kind=stream ms=700 gap_ms=200 late=pause first_ms=90\n", i, at+6, i)
	}
	return b.String()
}

// Entries that are restarted one after the other keep serving. Their starts are no loss of power,
// and late streams meanwhile must not be attributed to one.
func TestRollingStopIsNotRestartOfAll(t *testing.T) {
	g := NewWithT(t)
	a, err := losses.Read(strings.NewReader(rollingStop()))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Losses).To(HaveLen(4))
	for _, loss := range a.Losses {
		g.Expect(loss.Cause).To(Equal(losses.Backlog))
	}
}

// Entries may also be stopped at the same moment, by order. They log "stopping", which a process
// that loses power does not.
func TestOrderedRestartIsNotLossOfPower(t *testing.T) {
	g := NewWithT(t)
	const ordered = `front-1 time=2026-04-20T08:45:00.000Z level=info event=started
front-2 time=2026-04-20T08:45:00.000Z level=info event=started
front-1 time=2026-04-20T08:45:10.000Z level=info event=stopping
front-2 time=2026-04-20T08:45:10.000Z level=info event=stopping
front-1 time=2026-04-20T08:45:18.000Z level=info event=started
front-2 time=2026-04-20T08:45:18.000Z level=info event=started
front-2 time=2026-04-20T08:45:19.000Z level=info event=answered request=r1 kind=stream ms=700 gap_ms=200 late=pause first_ms=90
`
	a, err := losses.Read(strings.NewReader(ordered))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Losses).To(HaveLen(1))
	g.Expect(a.Losses[0].Cause).To(Equal(losses.Backlog))
	a, err = losses.Read(strings.NewReader(strings.ReplaceAll(ordered, "event=stopping", "event=reload")))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.Losses[0].Cause).To(Equal(losses.AfterRestart))
}

// A process that logs no end after "stopping" was killed or crashed, or its VM lost power. The first
// two are faults of the shutdown, the last is not, so they are counted apart.
func TestUnfinishedStopsAreCountedByReason(t *testing.T) {
	g := NewWithT(t)
	const stops = `front-1 time=2026-04-20T08:45:00.000Z level=info event=started
front-2 time=2026-04-20T08:45:00.000Z level=info event=started
front-3 time=2026-04-20T08:45:00.000Z level=info event=started
front-1 time=2026-04-20T08:45:10.000Z level=info event=stopping
front-1 time=2026-04-20T08:45:16.000Z level=info event=stopped
front-1 time=2026-04-20T08:45:18.000Z level=info event=started
front-2 time=2026-04-20T08:45:20.000Z level=info event=stopping
front-2 time=2026-04-20T08:45:28.000Z level=info event=started
front-3 time=2026-04-20T08:45:40.000Z level=info event=stopping
front-1 time=2026-04-20T08:45:44.000Z level=info event=started
front-2 time=2026-04-20T08:45:44.000Z level=info event=started
front-3 time=2026-04-20T08:45:44.000Z level=info event=started
front-3 time=2026-04-20T08:45:50.000Z level=info event=stopping
`
	a, err := losses.Read(strings.NewReader(stops))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(a.UnfinishedStops).To(Equal(2))
	g.Expect(a.StopsCutByRestart).To(Equal(1))
	var text bytes.Buffer
	g.Expect(a.Report().WriteText(&text)).To(Succeed())
	g.Expect(text.String()).To(ContainSubstring("processes started again after \"stopping\" without \"stopped\": 2, of these 1 in a restart of all\n"))
}

// The longest pass after a demand shift lies between two lines on the group's load, and its own line
// is written up to a second later. It must be taken for the time of the pass.
func TestLongestPassAfterShiftIsReadFromItsOwnLine(t *testing.T) {
	g := NewWithT(t)
	const peak = `side-1 time=2026-04-20T08:45:12.900Z level=info event="longest pass" group=g0 pass_ms=133 gap_ms=140 running=210 waiting=2 imbalance=1.9 copying=true held_ms=20 after_shift_ms=200 age_ms=2500
side-1 time=2026-04-20T08:45:13.500Z level=info event="longest pass" group=g0 pass_ms=190 gap_ms=140 running=210 waiting=2 imbalance=1.9 copying=true held_ms=20 after_shift_ms=200 age_ms=300
`
	a, err := losses.Read(strings.NewReader(delayLogs + peak))
	g.Expect(err).NotTo(HaveOccurred())
	for _, loss := range a.Losses {
		if loss.Delay == losses.LongPause {
			g.Expect(loss.Pass).To(Equal(&losses.Pass{Group: "g0", MS: 133, Running: 210, Waiting: 2, Imbalance: 1.9, Shifted: true, Copying: true, Held: true}))
		}
	}
}
