package placing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/heatherrail/heatherrail/serving"
)

// BenchmarkAdmit admits one request to a dozen reported groups of 24 engines.
func BenchmarkAdmit(b *testing.B) {
	const groups, ranks = 12, 24
	now := time.Unix(1000, 0)
	tr, q := NewTracker("e", "a", rand.New(rand.NewPCG(1, 1))), new(AdmissionQueue)
	pool := TargetPool{
		Service:           &serving.Service{Name: "s", Engine: &serving.EngineModel{Slots: 8, BaseStepTime: 4 * time.Millisecond, StepTimePerStream: time.Millisecond}},
		EventGapObjective: 100 * time.Millisecond,
		EntryCount:        40,
	}
	for group := range groups {
		loads := make(map[string]RankLoad)
		for rank := range ranks {
			t := &serving.Target{ID: fmt.Sprintf("i%d-%d", group, rank), Address: fmt.Sprintf("10.0.%d.%d:80", group, rank), Service: "s"}
			pool.Targets = append(pool.Targets, t)
			loads[t.Address] = RankLoad{Running: 2, Slowdown: 1}
		}
		state := NewGroupState(loads, 1.2, 1.5, QueueCounts{}, now)
		state.Name = fmt.Sprintf("g%d", group)
		tr.ApplyLoadReport("s", pool.Targets, loads, state)
	}
	b.ReportAllocs()
	for b.Loop() {
		r := &Request{Arrived: now, MaxWait: time.Second}
		w, _, _ := q.Enqueue(r, now)
		Admit(q, tr, pool, now)
		t := <-w.Granted()
		ts := tr.TargetState(t)
		tr.RecordResponseStart(ts, Size{})
		tr.EndAttempt(ts, r, now)
	}
}
