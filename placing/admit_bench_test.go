package placing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// BenchmarkAdmit lets one request go to a dozen groups of 24 engines, all of them reported.
func BenchmarkAdmit(b *testing.B) {
	const groups, ranks = 12, 24
	now := time.Unix(1000, 0)
	book, gate := NewTracker("e", "a", rand.New(rand.NewPCG(1, 1))), new(AdmissionQueue)
	lane := TargetPool{
		Service:           &serving.Service{Name: "s", Engine: &serving.EngineModel{Slots: 8, BaseStepTime: 4 * time.Millisecond, StepTimePerStream: time.Millisecond}},
		EventGapObjective: 100 * time.Millisecond,
		Entries:           40,
	}
	for group := range groups {
		loads := make(map[string]RankLoad)
		for rank := range ranks {
			t := &serving.Target{ID: fmt.Sprintf("i%d-%d", group, rank), Address: fmt.Sprintf("10.0.%d.%d:80", group, rank), Service: "s"}
			lane.Targets = append(lane.Targets, t)
			loads[t.Address] = RankLoad{Running: 2, Slowdown: 1}
		}
		state := NewGroupState(loads, 1.2, 1.5, QueueCounts{}, now)
		state.Name = fmt.Sprintf("g%d", group)
		book.ApplyLoadReport("s", lane.Targets, loads, state)
	}
	b.ReportAllocs()
	for b.Loop() {
		r := &Request{Arrived: now, MaxWait: time.Second}
		w, _, _ := gate.Enqueue(r, now)
		Admit(gate, book, lane, now)
		t := <-w.Granted()
		a := book.TargetState(t)
		book.RecordResponseStart(a, Size{})
		book.EndAttempt(a, r, now)
	}
}
