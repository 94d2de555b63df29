package lockstep

import (
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/logging"
	"github.com/heatherrail/heatherrail/serving"
)

// PauseFit measures how much time each stream per rank adds to the longest pass around a shift of
// demand. Passes after a shift take longer than the stated cost model says, and entries limit the
// streams of a group by the measured time.
//
// It takes the longest gap between events that entries report in the second after a shift, and
// leaves out shifts at which something else may have lengthened passes.
type PauseFit struct {
	window      *shiftWindow // shift whose gaps are being collected; nil: none
	shifts      []measuredShift
	observedAt  time.Time // latest observation
	disturbedAt time.Time // latest time at which gaps said nothing about the cost of streams
}

// PauseObservation is what a leader observes of its group in one round.
type PauseObservation struct {
	At             time.Time
	Shifted        bool          // a shift of demand was detected
	Disturbed      bool          // the group was held for recovery or lacked ranks
	LongestGap     time.Duration // longest gap between events that entries have reported since the previous round; 0: none
	StreamsPerRank float64
	MaxSlowdown    float64 // slowdown of the slowest rank
}

// shiftWindow collects the observations in the time after a shift.
type shiftWindow struct {
	openedAt    time.Time
	longestGap  time.Duration
	streams     float64 // sum of StreamsPerRank over the rounds
	rounds      int
	maxSlowdown float64
}

// measuredShift is the result of one shift.
type measuredShift struct {
	at         time.Time
	gap        time.Duration // longest gap
	streams    float64       // mean running streams per rank
	streamTime time.Duration
}

// Parameters of the fit.
const (
	// shiftWindowTime is the time after a shift in which gaps count. It covers the switch to a new
	// map and the reports of entries about the passes until then.
	shiftWindowTime = time.Second
	maxFitShifts    = 8
	fitShiftTTL     = time.Minute
	// minFitStreams is the least number of streams per rank with which a shift counts. With fewer,
	// the parts of a pass that do not depend on its streams would count as a cost of streams.
	minFitStreams = 3
	// maxFitSlowdown is the slowdown of a rank from which a shift does not count. Such a rank gets
	// no requests, so the mean number of streams says little about its part of a pass.
	maxFitSlowdown = 2
	// maxGapObjectives is the longest gap that counts, in event-gap objectives. Longer gaps come
	// from faults, not from the number of streams.
	maxGapObjectives = 3
	// maxRoundPause is the time between two rounds above which the leader has stalled: the gaps
	// that it then gets have collected for longer than a shift takes.
	maxRoundPause = 500 * time.Millisecond
)

// Observe records the observation of one round.
func (f *PauseFit) Observe(o PauseObservation, m *serving.EngineModel, gapObjective time.Duration) {
	stalled := !f.observedAt.IsZero() && o.At.Sub(f.observedAt) > maxRoundPause
	f.observedAt = o.At
	if o.Disturbed || stalled || o.MaxSlowdown >= maxFitSlowdown {
		f.disturbedAt, f.window = o.At, nil
		return
	}
	if m == nil || gapObjective <= 0 {
		f.window = nil
		return
	}
	if w := f.window; w != nil && o.At.Sub(w.openedAt) > shiftWindowTime {
		f.window = nil
		f.add(w, m, o.At)
	}
	if f.window == nil && o.Shifted && (f.disturbedAt.IsZero() || o.At.Sub(f.disturbedAt) > shiftWindowTime) {
		f.window = &shiftWindow{openedAt: o.At}
	}
	if w := f.window; w != nil {
		if o.LongestGap <= maxGapObjectives*gapObjective {
			w.longestGap = max(w.longestGap, o.LongestGap)
		}
		w.streams += o.StreamsPerRank
		w.rounds++
		w.maxSlowdown = max(w.maxSlowdown, o.MaxSlowdown, 1)
	}
}

// add adds the result of a shift whose window has ended, unless the shift shows no cost of streams.
func (f *PauseFit) add(w *shiftWindow, m *serving.EngineModel, now time.Time) {
	streams := w.streams / float64(max(w.rounds, 1))
	streamPart := float64(w.longestGap) - float64(m.StepsPerPass)*float64(m.BaseStepTime)*w.maxSlowdown
	if streams < minFitStreams || streamPart <= 0 {
		return
	}
	f.prune(now)
	if len(f.shifts) == maxFitShifts {
		f.shifts = slices.Delete(f.shifts, 0, 1)
	}
	f.shifts = append(f.shifts, measuredShift{at: now, gap: w.longestGap, streams: streams, streamTime: time.Duration(streamPart / streams)})
}

// prune drops shifts that are too old.
func (f *PauseFit) prune(now time.Time) {
	f.shifts = slices.DeleteFunc(f.shifts, func(s measuredShift) bool { return now.Sub(s.at) > fitShiftTTL })
}

// fitQuantile is the quantile of the latest shifts that the fit takes. A shift above it makes most
// streams of the group late, which costs more than a limit that is a little lower at the others. The
// maximum would follow single outliers.
const fitQuantile = 0.85

// StreamTime returns the time that each stream per rank adds to the longest pass around a shift: the
// fitQuantile of the latest shifts. It returns 0 while no shift is known.
func (f *PauseFit) StreamTime(now time.Time) time.Duration {
	f.prune(now)
	if len(f.shifts) == 0 {
		return 0
	}
	times := make([]time.Duration, 0, len(f.shifts))
	for _, s := range f.shifts {
		times = append(times, s.streamTime)
	}
	slices.Sort(times)
	at := fitQuantile * float64(len(times)-1)
	below := int(at)
	if below == len(times)-1 {
		return times[below]
	}
	return times[below] + time.Duration((at-float64(below))*float64(times[below+1]-times[below]))
}

// observePauses updates the fit from the states and reported gaps of one round. disturbed is true if
// the group lacks ranks or is held for recovery.
func (l *leader) observePauses(ranks []rank, disturbed, shifted bool) {
	if len(ranks) == 0 {
		return
	}
	m, objective, now := l.group.model, l.group.eventGapObjective, time.Now()
	o := PauseObservation{At: now, Shifted: shifted, Disturbed: disturbed, LongestGap: l.longestGap, StreamsPerRank: meanStreams(ranks), MaxSlowdown: 1}
	for i := range ranks {
		o.MaxSlowdown = max(o.MaxSlowdown, ranks[i].state.Slowdown)
	}
	if objective > 0 && l.longestGap > objective && l.longPassStep != ranks[0].state.Step {
		// Entries report the same pass in several rounds, mostly before the next pass begins.
		l.longPassStep = ranks[0].state.Step
		l.a.opts.Metrics.Count("passes_over_objective", 1)
	}
	l.pauseFit.Observe(o, m, objective)
	streamTime := l.pauseFit.StreamTime(now).Round(minLoggedChange)
	if streamTime == l.loggedStreamTime {
		return
	}
	l.loggedStreamTime = streamTime
	line := []any{"epoch", l.epoch, "stream_ms", logging.Round2(streamTime.Seconds() * 1e3), "shifts", len(l.pauseFit.shifts)}
	if n := len(l.pauseFit.shifts); n > 0 {
		latest := l.pauseFit.shifts[n-1]
		line = append(line, "gap_ms", latest.gap.Milliseconds(), "streams", logging.Round2(latest.streams))
	}
	l.a.opts.Log.Info("pauses fitted", line...)
}

// minLoggedChange is the smallest change of the fit that is logged.
const minLoggedChange = 10 * time.Microsecond
