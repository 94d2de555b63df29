package place

import "github.com/heatherrail/heatherrail/route"

// policy is a placement policy.
type policy struct {
	name        string
	fifo        bool // engines serve in order of arrival, without fair queueing and deadlines
	learnsCache bool // entries assume that an engine caches the prompts that they send to it
	choose      func(en *entry, r *request) choice
}

// baselines returns the policies that heatherrail is compared with.
func baselines() []policy {
	return []policy{
		{name: "random", fifo: true, choose: random},
		{name: "round-robin", fifo: true, choose: roundRobin},
		{name: "least-outstanding", fifo: true, choose: leastOutstanding},
		{name: "power-of-two", fifo: true, choose: powerOfTwo},
		{name: "oracle", fifo: true, choose: oracle},
	}
}

func random(en *entry, _ *request) choice {
	return choice{engine: en.rng.IntN(len(en.views))}
}

func roundRobin(en *entry, _ *request) choice {
	en.lastEngine = (en.lastEngine + 1) % len(en.views)
	return choice{engine: en.lastEngine}
}

// leastOutstanding chooses the engine with the fewest requests of the same entry. Ties are
// broken in round-robin order.
func leastOutstanding(en *entry, _ *request) choice {
	en.lastEngine = (en.lastEngine + 1) % len(en.views)
	best := en.lastEngine
	for i := range en.views {
		engine := (en.lastEngine + i) % len(en.views)
		if en.views[engine].target.Own.Requests < en.views[best].target.Own.Requests {
			best = engine
		}
	}
	return choice{engine: best}
}

// powerOfTwo draws two engines and chooses the one with fewer requests of the same entry.
func powerOfTwo(en *entry, _ *request) choice {
	a, b := en.rng.IntN(len(en.views)), en.rng.IntN(len(en.views))
	if en.views[b].target.Own.Requests < en.views[a].target.Own.Requests {
		a = b
	}
	return choice{engine: a}
}

// oracle chooses the engine with the shortest wait. It reads the exact state of all engines without
// delay.
func oracle(en *entry, r *request) choice {
	best, bestWait := -1, 0.0
	for i, e := range en.sim.engines {
		if wait := e.oracleWait(r); best < 0 || wait < bestWait {
			best, bestWait = i, wait
		}
	}
	return choice{engine: best}
}

// heatherrail returns the policy of the product, with its default settings.
func heatherrail() policy { return withPlacer("heatherrail", route.DefaultPlacer()) }

// withPlacer returns a policy that uses a placer of package route.
func withPlacer(name string, p *route.Placer) policy {
	choose := func(en *entry, r *request) choice {
		if name, ok := r.rejections.FinalTarget(); ok {
			return en.chooseByName(name, r)
		}
		req := route.Request{
			DataCentre: en.views[en.order[0]].target.DataCentre,
			Avoid:      r.avoid,
			Cost:       route.Cost{Prompt: float64(r.promptTokens), Decode: en.sim.expectedDecode()},
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
		c.maxWait = r.rejections.MaxWait(p.MaxWait(&req, best))
		return c
	}
	return policy{name: name, learnsCache: true, choose: choose}
}

// chooseByName chooses the engine with the given target name. The request has been sent to that
// engine before.
func (en *entry) chooseByName(name string, r *request) choice {
	for i, v := range en.views {
		if v.target.Name == name {
			return choice{engine: i, cached: en.cache.CachedTokens(en.orderIndex(i), r.blocks)}
		}
	}
	return choice{engine: -1}
}
