package entry

import (
	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
)

// homeTarget returns the only target that may run a non-repeatable request with this key.
func homeTarget(dedupKey string, declared []config.Target) (string, error) {
	names := targetNames(declared)
	i := route.HomeIndex(dedupKey, names)
	if i < 0 {
		return "", result.New(result.NoTarget, "the service has no targets")
	}
	return names[i], nil
}

// isolationTarget returns the target that runs the crash suspects of a service, each alone.
// Entries that see the same targets choose the same isolation target, so a request that crashes
// targets takes down at most one more.
func (e *Entry) isolationTarget(snap *config.Snapshot, c *Call, avoid map[string]bool) (string, error) {
	declared := snap.Targets(snap.Service(c.Service).Fleet)
	excluded := e.outcomes.excludedTargets(declared, avoid)
	var names []string
	for _, t := range declared {
		var availability route.Target
		if l := e.link(t.Name); l != nil {
			l.readAvailability(&availability)
		}
		if availability.Reachable && !availability.Leaving && availability.EngineUp && !excluded[t.Name] {
			names = append(names, t.Name)
		}
	}
	i := route.HomeIndex("isolation\x00"+c.Service, names)
	if i < 0 {
		return "", result.New(result.NoTarget, "no target of %s can run a suspected request alone", c.Service)
	}
	return names[i], nil
}
