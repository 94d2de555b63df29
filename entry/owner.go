package entry

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/control"
	"github.com/heatherrail/heatherrail/expert"
	"github.com/heatherrail/heatherrail/wire"
)

const (
	ownerInterval = 250 * time.Millisecond
	// recoveryDelay is how long the other entries wait before they recover a stalled group, so
	// that its lease holder can do so first.
	recoveryDelay = 3 * time.Second
	// loadReportsPerPlan is the number of load collections for each plan.
	loadReportsPerPlan = 2
	loadsTimeout       = 5 * time.Second
	// estimateHalfLifeReports is the half-life of the load estimate, as a number of load
	// collections.
	estimateHalfLifeReports = 1.0
)

// groupOwner plans the expert maps of one rank group. Every entry runs one for each group,
// and the lease decides which of them plans. A stalled group is recovered by the lease holder
// first and by any other entry later; the ballots make concurrent recoveries safe.
type groupOwner struct {
	entry *Entry
	group string

	planner     expert.Planner
	estimate    expert.LoadEstimator
	speeds      expert.SpeedEstimator
	mapInUse    *expert.Map
	collectedAt time.Time // start of the latest load collection
	reportCount int
	gapCount    int // consecutive load collections that failed
	history     expert.PlanHistory
}

// runGroupOwners starts a groupOwner for each declared group. Each has a goroutine of its
// own: loading weights takes minutes, and one group must not wait for another.
func (e *Entry) runGroupOwners() {
	owners := make(map[string]bool)
	for e.sleep(ownerInterval) {
		snap := e.current.Load()
		if snap == nil {
			continue
		}
		for i := range snap.Config.Groups {
			name := snap.Config.Groups[i].Name
			if !owners[name] {
				owners[name] = true
				o := &groupOwner{entry: e, group: name}
				e.tasks.Go(o.run)
			}
		}
	}
}

// run requests or gives up the group's lease and calls tick while the group is declared.
func (o *groupOwner) run() {
	isDeclared := false
	for o.entry.sleep(ownerInterval) {
		snap := o.entry.current.Load()
		g := findGroup(snap, o.group)
		switch {
		case g == nil && isDeclared:
			o.entry.node.Drop(control.GroupResource(o.group))
		case g != nil && !isDeclared:
			o.entry.node.Want(control.GroupResource(o.group))
		}
		isDeclared = g != nil
		if g != nil {
			o.tick(o.entry.ctx, snap, g, time.Now())
		}
	}
}

// findGroup returns the declared group of this name, or nil.
func findGroup(snap *config.Snapshot, name string) *config.Group {
	for i := range snap.Config.Groups {
		if snap.Config.Groups[i].Name == name {
			return &snap.Config.Groups[i]
		}
	}
	return nil
}

// tick recovers a stalled group. Otherwise, as the lease holder, it collects loads and plans
// when they are due.
func (o *groupOwner) tick(ctx context.Context, snap *config.Snapshot, g *config.Group, now time.Time) {
	if mapShape(g).Validate() != nil {
		return
	}
	lease, isHolder := o.entry.node.Held(control.GroupResource(g.Name))
	if since, ok := o.entry.stalled.stalledSince(g.Ranks, now); ok {
		if isHolder || now.Sub(since) >= recoveryDelay+o.recoveryStagger() {
			o.recoverGroup(ctx, g)
		}
		return
	}
	// The interval is that of the current configuration. A due time fixed at the latest collection would
	// outlast a change of plan-every by up to half of the earlier value.
	if !isHolder || now.Before(o.collectedAt.Add(g.PlanEvery/loadReportsPerPlan)) {
		return
	}
	o.collectedAt = now
	err := o.collectLoads(ctx, g, now)
	o.recordCollection(g, err)
	if err != nil {
		return
	}
	if o.reportCount++; o.reportCount%loadReportsPerPlan == 0 {
		o.planAndSwitch(ctx, snap, g, lease.Fence, now)
	}
}

// maxLoadGaps is the number of consecutive failed load collections, three plan intervals, after which
// the group's map counts as behind demand. A single rank that restarts causes fewer.
const maxLoadGaps = 3 * loadReportsPerPlan

// recordCollection counts failed load collections. It reports every maxLoadGaps in a row, since
// without loads the owner makes no plan and the map does not follow demand.
func (o *groupOwner) recordCollection(g *config.Group, err error) {
	if err == nil {
		o.gapCount = 0
		return
	}
	o.entry.opts.Metrics.Count("map_load_gaps_total", 1)
	o.gapCount++
	if o.gapCount%maxLoadGaps == 0 {
		o.entry.opts.Metrics.Count("maps_behind_demand_total", 1)
		o.entry.log.Info("map does not follow demand", "group", g.Name, "load_gaps", o.gapCount, "detail", err.Error())
	}
}

// recoverGroup resumes a group that is stalled because the decision of a ballot is missing. It runs
// a new ballot, which keeps the map in use.
func (o *groupOwner) recoverGroup(ctx context.Context, g *config.Group) {
	s := &mapSwitch{entry: o.entry, group: g, baseOrder: wire.RankOrder{Group: g.Name, Recovery: true}}
	err := s.run(ctx)
	o.entry.opts.Metrics.Count("map_rescues_total", 1)
	if err != nil {
		o.entry.log.Info("group recovery failed", "group", g.Name, "detail", err.Error())
		return
	}
	o.entry.stalled.remove(g.Ranks)
	o.entry.log.Info("group goes on", "group", g.Name, "ballot", s.ballot.Round)
}

// recoveryStagger returns an additional recovery delay. It differs between entries, so that their
// ballots do not supersede each other.
func (o *groupOwner) recoveryStagger() time.Duration {
	return time.Duration(o.entry.opts.Incarnation%16) * ownerInterval
}

// Errors of a load collection.
var (
	errLoadsOfAnotherMap = errors.New("a rank reported loads of another map than the one in use")
	errNoStep            = errors.New("no rank has entered a step")
)

// collectLoads asks all ranks for their loads. It returns an error, and uses no load, if a rank
// does not answer or reports another map than the one in use: the experts of a missing rank
// would seem idle.
func (o *groupOwner) collectLoads(ctx context.Context, g *config.Group, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, loadsTimeout)
	defer cancel()
	replies, errs := o.entry.sendToRanks(ctx, g.Ranks, wire.RankOrder{Group: g.Name, Op: wire.RankLoads}, nil)
	if err := firstError(errs); err != nil {
		return err
	}
	if o.mapInUse == nil || uint64(o.mapInUse.ID()) != replies[0].Map || o.mapInUse.Shape != mapShape(g) {
		m, err := o.entry.mapInUse(ctx, g, replies)
		if err != nil {
			return err
		}
		if m == nil {
			return errNoStep
		}
		o.mapInUse = m
	}
	s := o.mapInUse.Shape
	loads := make([]float64, s.Layers*s.Experts)
	tokens := make([]float64, s.Ranks)
	seconds := make([]float64, s.Ranks)
	for rank, r := range replies {
		if r.Map != uint64(o.mapInUse.ID()) || len(r.Bands) != s.Layers*s.SlotsOfRank {
			return errLoadsOfAnotherMap
		}
		slots := expert.DecodeLoads(r.Unit, r.Bands)
		o.mapInUse.AddRankLoads(rank, slots, loads)
		for _, v := range slots {
			tokens[rank] += v
		}
		seconds[rank] = r.Seconds
	}
	o.estimate.HalfLifeSeconds = estimateHalfLifeReports * (g.PlanEvery / loadReportsPerPlan).Seconds()
	o.estimate.Observe(float64(now.UnixMilli())/1000, loads)
	o.speeds.Observe(tokens, seconds)
	return nil
}

const bytesPerMegabyte = 1e6

// planAndSwitch computes a plan from the load estimate, switches the group to the planned
// map if there is one, and adds the outcome to the history.
func (o *groupOwner) planAndSwitch(ctx context.Context, snap *config.Snapshot, g *config.Group, fence uint64, now time.Time) {
	in := &expert.PlanInput{
		Map:                 o.mapInUse,
		Loads:               o.estimate.Forecast(float64(now.UnixMilli())/1000, nil),
		RankSpeeds:          o.speeds.RankSpeeds(),
		ExpertBytes:         float64(g.ExpertMB) * bytesPerMegabyte,
		StoreBytesPerSecond: float64(g.StoreMB) * bytesPerMegabyte,
		GainLifeSeconds:     g.GainLife.Seconds(),
		CostWeights:         costWeights(snap, g),
		Limits:              expert.PlanLimits{MaxMovesPerRank: g.Spare, MaxBytes: float64(g.StoreMB) * bytesPerMegabyte * g.PlanEvery.Seconds()},
	}
	plan, err := o.planner.Plan(in)
	if err != nil {
		o.entry.log.Error(err, "expert map planning failed", "group", g.Name)
		return
	}
	o.entry.opts.Metrics.Count("map_plans_total", 1)
	outcome := expert.OutcomeMapKept
	if plan.Map != nil {
		s := &mapSwitch{entry: o.entry, group: g, wantedMap: plan.Map, baseOrder: wire.RankOrder{Group: g.Name, Fence: fence}}
		outcome = expert.OutcomeSwitched
		if err := s.run(ctx); err != nil {
			outcome = err.Error()
			o.entry.log.Info("map switch failed", "group", g.Name, "detail", outcome)
		} else {
			o.entry.opts.Metrics.Count("map_switches_total", 1)
			o.entry.log.Info("map switched", "group", g.Name, "moves", plan.Moves, "skew_before", plan.SkewBefore, "skew_after", plan.SkewAfter)
		}
	}
	o.history.AddPlan(g.Name, uint64(o.mapInUse.ID()), now, &plan, outcome, o.speeds.Stragglers())
	o.entry.planHistories.Store(g.Name, o.history.Clone())
}

// costWeights returns the cost weights from the policy of the service that runs on the
// group's fleet.
func costWeights(snap *config.Snapshot, g *config.Group) expert.CostWeights {
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

// PlanHistories returns the plan history of every group that this entry owns or has owned.
func (e *Entry) PlanHistories() []expert.PlanHistory {
	var histories []expert.PlanHistory
	e.planHistories.Range(func(_, v any) bool {
		histories = append(histories, v.(expert.PlanHistory))
		return true
	})
	return histories
}

// mapStatusText returns what `status maps` prints for this entry's groups.
func (e *Entry) mapStatusText() string {
	var b strings.Builder
	if err := expert.WriteMapStatus(&b, e.PlanHistories()); err != nil {
		return err.Error()
	}
	return b.String()
}
