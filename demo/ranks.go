package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/heatherrail/heatherrail/config"
)

// QuickPlans makes the owners of all groups weigh moves every second, so that a
// demonstration sees one.
func QuickPlans(c *config.Config) {
	for i := range c.Groups {
		c.Groups[i].PlanEvery = time.Second
	}
}

const (
	popularEvery = 8    // in the demonstration, one expert in so many is popular
	popularLoad  = 40.0 // tokens of a step
	usualLoad    = 4.0
)

// showSwitch makes a few experts of one group popular, sends drafts, and waits
// until the group has moved experts while it works. Groups that plan more seldom
// are left alone.
func showSwitch(ctx context.Context, p *printer, base string, f *Fleet) error {
	for i := range f.Config.Groups {
		g := &f.Config.Groups[i]
		if g.PlanEvery <= time.Second {
			return f.showSwitch(ctx, p, base, g)
		}
	}
	return nil
}

func (f *Fleet) showSwitch(ctx context.Context, p *printer, base string, g *config.Group) error {
	group := f.LockSteps[g.Name]
	loads := make([]float64, g.Layers*g.Experts)
	for i := range loads {
		loads[i] = usualLoad
		if i%popularEvery == 0 {
			loads[i] = popularLoad
		}
	}
	first, from, idle := group.Map(), group.Steps(), group.Idle()
	group.SetLoads(loads)
	drafts := 0
	for group.Map() == first {
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
	p.line("expert map: group %s went from map %016x to %016x while %d drafts ran: %d steps, %d of them stalled",
		g.Name, uint64(first), uint64(group.Map()), drafts, group.Steps()-from, group.Idle()-idle)
	return nil
}
