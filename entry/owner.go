package entry

import (
	"context"
	"strings"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/control"
	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/wire"
)

const (
	ownerTick = 250 * time.Millisecond
	// rescueAfter is how long others leave a stuck group to its owner.
	rescueAfter = 3 * time.Second
	// loadsPerPlan is how many reports are taken for each plan.
	loadsPerPlan = 2
	loadsLimit   = 5 * time.Second
	// estimateShare is the half-life of the load estimate, in reports.
	estimateShare = 1.0
)

// owner is this entry's duty for one rank group. Every entry has one; the lease
// says which of them plans. A group that stands still is brought on by its owner
// first and by any other entry later: ballots keep them from harm.
type owner struct {
	entry *Entry
	name  string

	planner   expert.Planner
	estimate  expert.LoadEstimator
	speeds    expert.SpeedEstimator
	live      *expert.Map
	nextLoads time.Time
	reports   int
	log       expert.PlanHistory
}

// ownGroups starts an owner for each declared group. Each runs by itself: loading
// weights takes minutes, and no other group may wait for it.
func (e *Entry) ownGroups() {
	owners := make(map[string]bool)
	for e.sleep(ownerTick) {
		snap := e.current.Load()
		if snap == nil {
			continue
		}
		for i := range snap.Config.Groups {
			name := snap.Config.Groups[i].Name
			if !owners[name] {
				owners[name] = true
				o := &owner{entry: e, name: name}
				e.duties.Go(o.run)
			}
		}
	}
}

func (o *owner) run() {
	wanted := false
	for o.entry.sleep(ownerTick) {
		snap := o.entry.current.Load()
		g := groupOf(snap, o.name)
		switch {
		case g == nil && wanted:
			o.entry.node.Drop(control.GroupResource(o.name))
		case g != nil && !wanted:
			o.entry.node.Want(control.GroupResource(o.name))
		}
		wanted = g != nil
		if g != nil {
			o.tick(o.entry.ctx, snap, g, time.Now())
		}
	}
}

// groupOf returns a declared group, nil if there is none of this name.
func groupOf(snap *config.Snapshot, name string) *config.Group {
	for i := range snap.Config.Groups {
		if snap.Config.Groups[i].Name == name {
			return &snap.Config.Groups[i]
		}
	}
	return nil
}

func (o *owner) tick(ctx context.Context, snap *config.Snapshot, g *config.Group, now time.Time) {
	if shapeOf(g).Validate() != nil {
		return
	}
	lease, held := o.entry.node.Held(control.GroupResource(g.Name))
	if since, ok := o.entry.stuck.since(g.Ranks, now); ok {
		if held || now.Sub(since) >= rescueAfter+o.patience() {
			o.rescue(ctx, g)
		}
		return
	}
	if !held || now.Before(o.nextLoads) {
		return
	}
	o.nextLoads = now.Add(g.PlanEvery / loadsPerPlan)
	if !o.collect(ctx, g, now) {
		return
	}
	if o.reports++; o.reports%loadsPerPlan == 0 {
		o.plan(ctx, snap, g, lease.Fence, now)
	}
}

// rescue brings a group on that stands still for want of a decision.
func (o *owner) rescue(ctx context.Context, g *config.Group) {
	s := &mapSwitch{entry: o.entry, group: g, order: wire.RankOrder{Group: g.Name, Recovery: true}}
	err := s.run(ctx)
	o.entry.opts.Metrics.Count("map_rescues_total", 1)
	if err != nil {
		o.entry.log.Info("group still stands", "group", g.Name, "detail", err.Error())
		return
	}
	o.entry.stuck.forget(g.Ranks)
	o.entry.log.Info("group goes on", "group", g.Name, "ballot", s.ballot.Round)
}

// patience differs between entries, so that they don't outbid each other.
func (o *owner) patience() time.Duration {
	return time.Duration(o.entry.opts.Incarnation%16) * ownerTick
}

// collect asks all ranks for their loads. Reports of another map than the one in
// use are left out; a rank that does not answer leaves a gap for all, since its
// experts would seem idle.
func (o *owner) collect(ctx context.Context, g *config.Group, now time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, loadsLimit)
	defer cancel()
	replies, errs := o.entry.askRanks(ctx, g.Ranks, wire.RankOrder{Group: g.Name, Op: wire.RankLoads}, nil)
	if firstError(errs) != nil {
		o.entry.opts.Metrics.Count("map_load_gaps_total", 1)
		return false
	}
	if o.live == nil || uint64(o.live.ID()) != replies[0].Map || o.live.Shape != shapeOf(g) {
		m, err := o.entry.liveMap(ctx, g, replies)
		if err != nil || m == nil {
			return false
		}
		o.live = m
	}
	s := o.live.Shape
	loads := make([]float64, s.Layers*s.Experts)
	tokens := make([]float64, s.Ranks)
	seconds := make([]float64, s.Ranks)
	for rank, r := range replies {
		if r.Map != uint64(o.live.ID()) || len(r.Bands) != s.Layers*s.SlotsOfRank {
			o.entry.opts.Metrics.Count("map_load_gaps_total", 1)
			return false
		}
		slots := expert.DecodeLoads(r.Unit, r.Bands)
		o.live.AddRankLoads(rank, slots, loads)
		for _, v := range slots {
			tokens[rank] += v
		}
		seconds[rank] = r.Seconds
	}
	o.estimate.HalfLifeSeconds = estimateShare * (g.PlanEvery / loadsPerPlan).Seconds()
	o.estimate.Observe(float64(now.UnixMilli())/1000, loads)
	o.speeds.Observe(tokens, seconds)
	return true
}

const megabyte = 1e6

func (o *owner) plan(ctx context.Context, snap *config.Snapshot, g *config.Group, fence uint64, now time.Time) {
	in := &expert.PlanInput{
		Map:                 o.live,
		Loads:               o.estimate.Forecast(float64(now.UnixMilli())/1000, nil),
		RankSpeeds:          o.speeds.RankSpeeds(),
		ExpertBytes:         float64(g.ExpertMB) * megabyte,
		StoreBytesPerSecond: float64(g.StoreMB) * megabyte,
		GainLifeSeconds:     g.GainLife.Seconds(),
		CostWeights:         weightsOf(snap, g),
		Limits:              expert.PlanLimits{MaxMovesPerRank: g.Spare, MaxBytes: float64(g.StoreMB) * megabyte * g.PlanEvery.Seconds()},
	}
	plan, err := o.planner.Plan(in)
	if err != nil {
		o.entry.log.Error(err, "no plan", "group", g.Name)
		return
	}
	o.entry.opts.Metrics.Count("map_plans_total", 1)
	outcome := expert.OutcomeMapKept
	if plan.Map != nil {
		s := &mapSwitch{entry: o.entry, group: g, want: plan.Map, order: wire.RankOrder{Group: g.Name, Fence: fence}}
		outcome = expert.OutcomeSwitched
		if err := s.run(ctx); err != nil {
			outcome = err.Error()
			o.entry.log.Info("map not switched", "group", g.Name, "detail", outcome)
		} else {
			o.entry.opts.Metrics.Count("map_switches_total", 1)
			o.entry.log.Info("map switched", "group", g.Name, "moves", plan.Moves, "skew_before", plan.SkewBefore, "skew_after", plan.SkewAfter)
		}
	}
	o.log.AddPlan(g.Name, uint64(o.live.ID()), now, &plan, outcome, o.speeds.Stragglers())
	o.entry.mapLogs.Store(g.Name, o.log.Clone())
}

// weightsOf returns the prices of the policy of the service that runs on the
// group's fleet.
func weightsOf(snap *config.Snapshot, g *config.Group) expert.CostWeights {
	for i := range snap.Config.Services {
		svc := &snap.Config.Services[i]
		if svc.Fleet != g.Fleet {
			continue
		}
		if p := snap.Policy(svc); p != nil {
			return expert.CostWeights{Skew: p.SkewWeight, Move: p.MoveWeight}
		}
	}
	return expert.CostWeights{Skew: 1, Move: 1}
}

// MapLogs returns what this entry knows of the groups that it owns or has owned.
func (e *Entry) MapLogs() []expert.PlanHistory {
	var logs []expert.PlanHistory
	e.mapLogs.Range(func(_, v any) bool {
		logs = append(logs, v.(expert.PlanHistory))
		return true
	})
	return logs
}

// mapsText is what `status maps` shows of this entry's groups.
func (e *Entry) mapsText() string {
	var b strings.Builder
	if err := expert.WriteMapStatus(&b, e.MapLogs()); err != nil {
		return err.Error()
	}
	return b.String()
}
