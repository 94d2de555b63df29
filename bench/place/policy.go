package place

import "github.com/heatherrail/heatherrail/route"

// policy is one way to place requests.
type policy struct {
	name        string
	fifo        bool // engines serve in the order of arrival, as without a gate
	learnsCache bool
	choose      func(en *entryState, r *request) choice
}

func baselines() []policy {
	return []policy{
		{name: "random", fifo: true, choose: randomly},
		{name: "round-robin", fifo: true, choose: roundRobin},
		{name: "least-outstanding", fifo: true, choose: leastOutstanding},
		{name: "power-of-two", fifo: true, choose: powerOfTwo},
		{name: "oracle", fifo: true, choose: oracle},
	}
}

func randomly(en *entryState, _ *request) choice {
	return choice{engine: en.rng.IntN(len(en.views))}
}

func roundRobin(en *entryState, _ *request) choice {
	en.next = (en.next + 1) % len(en.views)
	return choice{engine: en.next}
}

// leastOutstanding counts the entry's own requests; ties go round.
func leastOutstanding(en *entryState, _ *request) choice {
	en.next = (en.next + 1) % len(en.views)
	best := en.next
	for i := range en.views {
		at := (en.next + i) % len(en.views)
		if en.views[at].target.Own.Requests < en.views[best].target.Own.Requests {
			best = at
		}
	}
	return choice{engine: best}
}

func powerOfTwo(en *entryState, _ *request) choice {
	a, b := en.rng.IntN(len(en.views)), en.rng.IntN(len(en.views))
	if en.views[b].target.Own.Requests < en.views[a].target.Own.Requests {
		a = b
	}
	return choice{engine: a}
}

// oracle knows every engine's exact state, at no delay.
func oracle(en *entryState, r *request) choice {
	best, bestWait := -1, 0.0
	for i, e := range en.w.engines {
		if wait := e.trueWait(r); best < 0 || wait < bestWait {
			best, bestWait = i, wait
		}
	}
	return choice{engine: best}
}

// heatherrail is the product's policy.
func heatherrail() policy { return withPlacer("heatherrail", route.DefaultPlacer()) }

func withPlacer(name string, p *route.Placer) policy {
	choose := func(en *entryState, r *request) choice {
		if name, ok := r.trail.FinalTarget(); ok {
			return en.settled(name, r)
		}
		req := route.Request{
			DataCentre: en.views[en.order[0]].target.DataCentre,
			Avoid:      r.avoid,
			Cost:       route.Cost{Prompt: float64(r.prompt), Decode: en.w.expectedDecode()},
			Blocks:     r.blocks,
			Seed:       en.rng.Uint64(),
		}
		d := &en.decision
		p.Pick(&req, en, d)
		best := d.Best()
		if best == nil {
			return choice{engine: -1}
		}
		c := choice{engine: en.order[best.Index], cached: best.Target.CachedTokens}
		c.maxWait = r.trail.MaxWait(p.MaxWait(&req, best))
		return c
	}
	return policy{name: name, learnsCache: true, choose: choose}
}

// settled sends a request to a target that it has been to.
func (en *entryState) settled(name string, r *request) choice {
	for i, v := range en.views {
		if v.target.Name == name {
			return choice{engine: i, cached: en.cache.CachedTokens(en.position(i), r.blocks)}
		}
	}
	return choice{engine: -1}
}
