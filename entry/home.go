package entry

import (
	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
)

// home returns the one target that may run a request that must not run twice.
func home(homeKey string, declared []config.Target) (string, error) {
	names := targetNames(declared)
	i := route.HomeIndex(homeKey, names)
	if i < 0 {
		return "", result.New(result.NoTarget, "the service has no targets")
	}
	return names[i], nil
}

// isolation returns the target where the suspects of a service run alone. All
// entries choose the same one as long as they see the same targets, so a request
// that crashes targets takes down this one and no third.
func (e *Entry) isolation(snap *config.Snapshot, c *Call, avoid map[string]bool) (string, error) {
	declared := snap.Targets(snap.Service(c.Service).Fleet)
	skip := e.out.keepOut(declared, avoid)
	var names []string
	for _, t := range declared {
		var view route.Target
		if l := e.link(t.Name); l != nil {
			l.view(&view)
		}
		if view.Reachable && !view.Leaving && view.EngineUp && !skip[t.Name] {
			names = append(names, t.Name)
		}
	}
	i := route.HomeIndex("isolation\x00"+c.Service, names)
	if i < 0 {
		return "", result.New(result.NoTarget, "no target of %s can run a suspected request alone", c.Service)
	}
	return names[i], nil
}
