package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/heatherrail/heatherrail/route"
)

func variant(name string, near, far int, load float64, patience time.Duration) policy {
	p := route.DefaultPlacer()
	p.Scorer = route.Wait{Distance: 2 * hop.Seconds(), Load: load}
	p.Near, p.Far, p.Patience = near, far, patience
	return withPlacer(name, p)
}

func TestTry(t *testing.T) {
	base := options{seed: 1, engines: 12, entries: 8, dcs: 3, queue: 4096, lag: time.Second}
	ps := append(baselines()[2:],
		variant(".2 5", 2, 2, 0.2, 5*time.Millisecond),
		variant(".2 10", 2, 2, 0.2, 10*time.Millisecond),
		variant(".2 20", 2, 2, 0.2, 20*time.Millisecond),
		variant(".2 40", 2, 2, 0.2, 40*time.Millisecond),
		variant(".05 10", 2, 2, 0.05, 10*time.Millisecond),
		variant(".1 10", 2, 2, 0.1, 10*time.Millisecond),
		variant(".5 10", 2, 2, 0.5, 10*time.Millisecond),
		variant("2+4 .2 10", 2, 4, 0.2, 10*time.Millisecond),
	)
	for _, kind := range []string{"tail", "straggler", "prefix"} {
		sat := base
		sat.policy = baselines()[4]
		mk := func(rate float64, d time.Duration) workload {
			l := workload{rate: rate, duration: d, tail: true, deadline: time.Hour}
			if kind == "prefix" {
				l.families = 200
			}
			return l
		}
		sat.slow = kind == "straggler"
		sat.load = mk(900, 30*time.Second)
		w := run(sat)
		n := 0
		for _, r := range w.ended {
			if r.done > 10*time.Second && r.done < 30*time.Second {
				n++
			}
		}
		cap := float64(n) / 20
		fmt.Println(kind, "capacity", cap)
		for _, load := range []float64{0.9} {
			for _, p := range ps {
				o := base
				o.policy = p
				o.slow = sat.slow
				o.load = mk(cap*load, 60*time.Second)
				w := run(o)
				var ttft []time.Duration
				tries := 0
				hit, all := 0, 0
				for _, r := range w.ended {
					tries += r.tries
					hit += r.hit
					all += r.prompt
					if !r.refused && r.at > 10*time.Second {
						ttft = append(ttft, r.firstToken-r.at)
					}
				}
				slices.Sort(ttft)
				q := func(p float64) time.Duration { return ttft[int(p*float64(len(ttft)-1))].Round(time.Millisecond) }
				fmt.Printf("%v %-20s %d %v %v %v tries %.2f hit %.2f\n", load, p.name, len(ttft), q(.5), q(.95), q(.99), float64(tries)/float64(len(w.ended)), float64(hit)/float64(all))
			}
		}
	}
}
