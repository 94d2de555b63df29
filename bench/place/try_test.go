package place

import (
	"fmt"
	"os"
	"testing"

	"github.com/heatherrail/heatherrail/bench"
)

func TestTryTeams(t *testing.T) {
	b := &suite{report: bench.NewReport("place", 1), seed: 1}
	b.teams()
	b.report.Write(os.Stdout, "text")
}

func TestTry(t *testing.T) {
	for seed := uint64(1); seed <= 1; seed++ {
		b := &suite{seed: seed}
		for _, i := range []int{0, 1, 2, 3, 4, 5, 6, 7, 8} {
			s := scenarios()[i]
			o := b.base()
			o.load.tail = true
			s.set(&o)
			rate := s.load * b.capacity(o)
			o.load.rate, o.load.duration, o.load.deadline = rate, benchTime, longDeadline
			for _, p := range []policy{baselines()[2], baselines()[4], heatherrail()} {
				o.policy = p
				f := figuresOf(run(o).ended)
				fmt.Printf("%d %s %s p50 %.0f p95 %.0f p99 %.1f tries %.2f hits %.2f\n", seed, s.name, p.name, f.p50, f.p95, f.p99, f.tries, f.hits)
			}
		}
	}
}

func TestOver(t *testing.T) {
	b := &suite{report: bench.NewReport("place", 1), seed: 1}
	b.overload()
	b.report.Write(os.Stdout, "text")
}
