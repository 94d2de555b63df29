package group

import (
	"github.com/heatherrail/heatherrail/bench"
)

// Figures holds the share of requests with each outcome, and times to the first event and of a pass.
type Figures struct {
	Requests          int
	MetObjectives     float64 // complete, first event and event gaps within their objectives
	Late              float64 // complete, but an objective was missed
	Rejected          float64 // rejected without waiting
	RejectedAfterWait float64 // rejected after waiting in the queue
	Abandoned         float64
	FirstEventP50     float64 // ms from arrival to the first event
	FirstEventP95     float64
	PassMS            float64 // mean duration of a pass in ms
}

// Worth returns the mean value of an answer to its caller, from 0 to 1. It is 1 if all requests are
// complete and within their objectives.
func (f *Figures) Worth() float64 { return f.MetObjectives + lateWorth*f.Late }

// lateWorth is the value of a complete stream that missed an objective, relative to a stream that
// met all objectives. Source: the users' sheet.
const lateWorth = 0.49

func (sim *simulation) figures() Figures {
	f := Figures{Requests: len(sim.jobs), PassMS: bench.Millis(sim.group.passTime) / float64(max(sim.group.passCount, 1))}
	share := 1 / float64(max(len(sim.jobs), 1))
	var firstEvents []float64
	for _, j := range sim.jobs {
		if !j.firstEvent.IsZero() {
			firstEvents = append(firstEvents, bench.Millis(j.firstEvent.Sub(j.arrived)))
		}
		switch {
		case j.outcome == complete && j.metObjectives(sim.shape):
			f.MetObjectives += share
		case j.outcome == complete:
			f.Late += share
		case j.outcome == rejected:
			f.Rejected += share
		case j.outcome == rejectedAfterWait:
			f.RejectedAfterWait += share
		default:
			f.Abandoned += share
		}
	}
	f.FirstEventP50, f.FirstEventP95 = bench.Quantile(firstEvents, 0.5), bench.Quantile(firstEvents, 0.95)
	return f
}

// metObjectives reports whether the first event and all event gaps were within the objectives.
func (j *job) metObjectives(s *Shape) bool {
	return j.firstEvent.Sub(j.arrived) <= s.LatencyObjective && j.maxGap <= s.EventGapObjective
}

// mean returns the mean figures of several simulations.
func mean(all []Figures) Figures {
	var m Figures
	n := float64(len(all))
	for _, f := range all {
		m.Requests += f.Requests
		m.MetObjectives += f.MetObjectives / n
		m.Late += f.Late / n
		m.Rejected += f.Rejected / n
		m.RejectedAfterWait += f.RejectedAfterWait / n
		m.Abandoned += f.Abandoned / n
		m.FirstEventP50 += f.FirstEventP50 / n
		m.FirstEventP95 += f.FirstEventP95 / n
		m.PassMS += f.PassMS / n
	}
	m.Requests /= len(all)
	return m
}
