package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/heatherrail/heatherrail/config"
)

// QuickPlans sets the planning interval of all groups to one second, so that a short
// demonstration includes a map switch.
func QuickPlans(c *config.Config) {
	for i := range c.Groups {
		c.Groups[i].PlanEvery = time.Second
	}
}

const (
	popularInterval      = 8    // every eighth expert is popular
	popularTokensPerStep = 40.0 // tokens per step of a popular expert
	baseTokensPerStep    = 4.0  // tokens per step of any other expert
)

// showSwitch shows a map switch of the first group that plans at least once a second. It does
// nothing if all groups plan less often.
func showSwitch(ctx context.Context, p *printer, base string, f *Fleet) error {
	for i := range f.Config.Groups {
		g := &f.Config.Groups[i]
		if g.PlanEvery <= time.Second {
			return f.showSwitch(ctx, p, base, g)
		}
	}
	return nil
}

// showSwitch makes some experts of the group popular and requests drafts until the group has
// switched to another map. It fails if a draft fails or if ranks used different maps in one step.
func (f *Fleet) showSwitch(ctx context.Context, p *printer, base string, g *config.Group) error {
	group := f.LockSteps[g.Name]
	loads := make([]float64, g.Layers*g.Experts)
	for i := range loads {
		loads[i] = baseTokensPerStep
		if i%popularInterval == 0 {
			loads[i] = popularTokensPerStep
		}
	}
	oldMap, stepsBefore, idleBefore := group.Map(), group.Steps(), group.Idle()
	group.SetLoads(loads)
	drafts := 0
	for group.Map() == oldMap {
		resp, err := post(ctx, base+"/v1/chat/completions", draftBody, nil)
		if err != nil {
			return fmt.Errorf("draft during a map switch: %w", err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return fmt.Errorf("draft during a map switch: %w", err)
		}
		drafts++
	}
	if err := group.Mixed(); err != nil {
		return err
	}
	p.printf("expert map: group %s went from map %016x to %016x while %d drafts ran: %d steps, %d of them stalled",
		g.Name, uint64(oldMap), uint64(group.Map()), drafts, group.Steps()-stepsBefore, group.Idle()-idleBefore)
	return nil
}
