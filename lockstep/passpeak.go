package lockstep

import (
	"time"

	"github.com/heatherrail/heatherrail/logging"
)

// passPeakPeriod is the time after a demand shift in which the longest pass is searched. Passes are
// long until the map has been switched, usually twice, which takes less than this.
const passPeakPeriod = time.Second

// groupPass is the state of a group at one round of its leader.
type groupPass struct {
	mean             time.Duration // decaying mean of the pass time
	running, waiting int
	imbalance        float64
	copying          bool          // ranks copy experts for a pending map
	longestGap       time.Duration // longest gap that entries reported in this round
}

// passReport describes the longest pass after a demand shift.
type passReport struct {
	longest    groupPass
	longestGap time.Duration // longest gap reported since the shift
	held       time.Duration // time for which map switches have held the group since the shift
	afterShift time.Duration // time from the shift to the longest pass
	age        time.Duration // time from the longest pass to the report
}

// passPeak finds the longest pass in passPeakPeriod after each demand shift.
type passPeak struct {
	shiftAt   time.Time // zero: no shift is to be reported
	longestAt time.Time
	report    passReport
}

// shift starts the search after a demand shift. It returns the report on the previous shift if that
// is still due.
func (p *passPeak) shift(now time.Time) *passReport {
	previous := p.finish(now)
	*p = passPeak{shiftAt: now}
	return previous
}

// observe adds the state at a round. ok is true if the report on the latest shift is due.
func (p *passPeak) observe(now time.Time, o groupPass) (r passReport, ok bool) {
	if p.shiftAt.IsZero() {
		return passReport{}, false
	}
	p.report.longestGap = max(p.report.longestGap, o.longestGap)
	if p.longestAt.IsZero() || o.mean > p.report.longest.mean {
		p.report.longest, p.longestAt = o, now
	}
	if now.Sub(p.shiftAt) < passPeakPeriod {
		return passReport{}, false
	}
	return *p.finish(now), true
}

// addHold adds the time for which a map switch has held the group.
func (p *passPeak) addHold(d time.Duration) { p.report.held += d }

// finish ends the search and returns its report, nil if there is none.
func (p *passPeak) finish(now time.Time) *passReport {
	if p.shiftAt.IsZero() || p.longestAt.IsZero() {
		return nil
	}
	r := p.report
	r.afterShift, r.age = p.longestAt.Sub(p.shiftAt), now.Sub(p.longestAt)
	*p = passPeak{}
	return &r
}

// observePassPeak adds the state of the group at this round to the search for the longest pass.
func (l *leader) observePassPeak(ranks []rank, now time.Time) {
	o := groupPass{mean: l.passTime.mean, imbalance: l.peakImbalance.current, copying: l.pending != nil, longestGap: l.longestGap}
	for i := range ranks {
		o.running += ranks[i].state.Running
		o.waiting += ranks[i].state.Waiting
	}
	if r, ok := l.passPeak.observe(now, o); ok {
		l.logPassReport(ranks[0].state.Group, &r)
	}
}

// logPassReport logs the longest pass after a demand shift; nil is ignored.
func (l *leader) logPassReport(group string, r *passReport) {
	if r == nil {
		return
	}
	o := &r.longest
	l.a.opts.Log.Info("longest pass", "group", group, "pass_ms", logging.Round2(float64(o.mean)/float64(time.Millisecond)),
		"gap_ms", r.longestGap.Milliseconds(), "running", o.running, "waiting", o.waiting, "imbalance", logging.Round2(o.imbalance),
		"copying", o.copying, "held_ms", r.held.Milliseconds(), "after_shift_ms", r.afterShift.Milliseconds(), "age_ms", r.age.Milliseconds())
}
