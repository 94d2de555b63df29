package lockstep

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/logging"
)

// Passes are long for a few tenths of a second after a demand shift, between two lines on the
// group's load. The longest pass must be reported with the state of the group at that pass, once
// for each shift.
func TestPassPeakIsReportedOncePerShift(t *testing.T) {
	g := NewWithT(t)
	t0 := time.Unix(1000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	pass := func(ms, running int) groupPass {
		return groupPass{mean: time.Duration(ms) * time.Millisecond, running: running}
	}
	var p passPeak
	_, ok := p.observe(at(0), pass(500, 90))
	g.Expect(ok).To(BeFalse(), "there was no shift")

	g.Expect(p.shift(at(1000))).To(BeNil(), "there is no earlier shift to report")
	var reports []passReport
	for ms := 1000; ms < 4000; ms += 60 {
		o := pass(80, 100)
		if ms == 1240 {
			o = groupPass{mean: 131 * time.Millisecond, running: 205, waiting: 3, imbalance: 1.8, copying: true, longestGap: 140 * time.Millisecond}
		}
		if r, ok := p.observe(at(ms), o); ok {
			reports = append(reports, r)
		}
	}
	g.Expect(reports).To(HaveLen(1))
	r := reports[0]
	g.Expect(r.longest.mean).To(Equal(131 * time.Millisecond))
	g.Expect(r.longest.running).To(Equal(205))
	g.Expect(r.longest.copying).To(BeTrue())
	g.Expect(r.longestGap).To(Equal(140 * time.Millisecond))
	g.Expect(r.afterShift).To(Equal(240 * time.Millisecond))
	g.Expect(r.age).To(BeNumerically("~", passPeakPeriod-r.afterShift, 60*time.Millisecond))
}

// A second shift soon after the first must not take over or drop the longest pass of the first.
func TestPassPeakOfShiftThatIsFollowedSoon(t *testing.T) {
	g := NewWithT(t)
	t0 := time.Unix(1000, 0)
	var p passPeak
	g.Expect(p.shift(t0)).To(BeNil())
	_, ok := p.observe(t0.Add(100*time.Millisecond), groupPass{mean: 120 * time.Millisecond})
	g.Expect(ok).To(BeFalse())
	p.addHold(30 * time.Millisecond)
	first := p.shift(t0.Add(400 * time.Millisecond))
	g.Expect(first).NotTo(BeNil())
	g.Expect(first.longest.mean).To(Equal(120 * time.Millisecond))
	g.Expect(first.held).To(Equal(30 * time.Millisecond))
	second, ok := p.observe(t0.Add(1500*time.Millisecond), groupPass{mean: 90 * time.Millisecond})
	g.Expect(ok).To(BeTrue())
	g.Expect(second.longest.mean).To(Equal(90 * time.Millisecond))
	g.Expect(second.held).To(BeZero())
}

// lineBuffer keeps log lines of several goroutines.
type lineBuffer struct {
	mu    sync.Mutex
	lines []string
}

func (b *lineBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, string(line))
	return len(line), nil
}

func (b *lineBuffer) containing(text string) (found []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, line := range b.lines {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// The leader must write a line for each shift of demand that it detects, and no other one, as logs are
// kept small.
func TestLeaderLogsLongestPassOncePerShift(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		group := newSimGroup(8, 2, 32, 3)
		f := newFleet(group)
		log := new(lineBuffer)
		f.agents[0].opts.Log = logging.New(log, 0)
		f.start()
		time.Sleep(5 * time.Second)
		group.shiftDemand()
		time.Sleep(5 * time.Second)
		f.stop()
		shifts, peaks := log.containing(`event="demand moved"`), log.containing(`event="longest pass"`)
		g.Expect(shifts).NotTo(BeEmpty())
		g.Expect(peaks).To(HaveLen(len(shifts)))
		g.Expect(peaks[0]).To(MatchRegexp(`group=g pass_ms=[0-9.]+ gap_ms=0 running=[0-9]+ .* copying=(true|false) held_ms=[0-9]+ after_shift_ms=[0-9]+ age_ms=[0-9]+`))
	})
}
