package group

import (
	"github.com/heatherrail/heatherrail/bench"
)

// Figures are the shares of requests by what became of them, and times.
type Figures struct {
	Requests    int
	InAim       float64 // whole, first event and pauses within their aims
	Late        float64 // whole, but late
	Refused     float64 // at once
	RefusedLate float64 // after a wait
	Left        float64
	First50     float64 // ms until the first event
	First95     float64
	PassMS      float64 // mean time of a pass
}

// Worth is what the answers are worth to callers, of what all in aim would be.
func (f *Figures) Worth() float64 { return f.InAim + lateWorth*f.Late }

// lateWorth is what a late stream is worth. Source: the users' sheet.
const lateWorth = 0.49

func (w *world) figures() Figures {
	f := Figures{Requests: len(w.jobs), PassMS: bench.Millis(w.engines.passed) / float64(max(w.engines.passes, 1))}
	each := 1 / float64(max(len(w.jobs), 1))
	var first []float64
	for _, j := range w.jobs {
		if !j.first.IsZero() {
			first = append(first, bench.Millis(j.first.Sub(j.arrived)))
		}
		switch {
		case j.outcome == whole && j.inAim(w.shape):
			f.InAim += each
		case j.outcome == whole:
			f.Late += each
		case j.outcome == refused:
			f.Refused += each
		case j.outcome == refusedLate:
			f.RefusedLate += each
		default:
			f.Left += each
		}
	}
	f.First50, f.First95 = bench.Quantile(first, 0.5), bench.Quantile(first, 0.95)
	return f
}

func (j *job) inAim(s *Shape) bool {
	return j.first.Sub(j.arrived) <= s.Aim && j.gap <= s.GapAim
}

// mean returns the mean figures of several plays.
func mean(all []Figures) Figures {
	var m Figures
	n := float64(len(all))
	for _, f := range all {
		m.Requests += f.Requests
		m.InAim += f.InAim / n
		m.Late += f.Late / n
		m.Refused += f.Refused / n
		m.RefusedLate += f.RefusedLate / n
		m.Left += f.Left / n
		m.First50 += f.First50 / n
		m.First95 += f.First95 / n
		m.PassMS += f.PassMS / n
	}
	m.Requests /= len(all)
	return m
}
