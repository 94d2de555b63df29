package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/platform/standin"
)

// publishedConfig is a configuration that the store has accepted.
type publishedConfig struct {
	Version    int
	AcceptedAt time.Time
}

// path is the prefix of the route that only this configuration has.
func (c publishedConfig) path() string { return fmt.Sprintf("/extra%d/", c.Version) }

// newestConfig returns the configuration that was published last.
func (f *fleet) newestConfig() publishedConfig {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.configs[len(f.configs)-1]
}

// publishConfig writes a new version of the configuration to the store.
func (f *fleet) publishConfig() {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := publishedConfig{Version: 3 * (len(f.configs) + 1)}
	route := func(name, prefix, kind, service string) standin.Route {
		return standin.Route{Name: name, Host: host, Prefix: prefix, Kind: kind, Service: service, TimeoutMS: int(callTimeout.Milliseconds())}
	}
	f.store.PutConfig(standin.Config(c.Version, team, key, []string{"plain", "llm"}, []standin.Route{
		route("once", paths[nonIdempotent], standin.KindNonIdempotent, "plain"),
		route("idem", paths[idempotent], standin.KindIdempotent, "plain"),
		route("stream", paths[stream], standin.KindStream, "llm"),
		route(fmt.Sprintf("extra-%d", c.Version), c.path(), standin.KindIdempotent, "plain"),
	}))
	c.AcceptedAt = time.Now()
	f.configs = append(f.configs, c)
}

// orderInterval is the interval between two orders of the operator that concern no target.
const orderInterval = 200 * time.Millisecond

// toggleOrders orders and withdraws the evacuation of a zone without targets, until ctx ends. The
// orders fill the topic of the configuration, so that a copy of the store lacks many of its records.
func (f *fleet) toggleOrders(ctx context.Context) {
	for ordered := true; sleep(ctx, orderInterval); ordered = !ordered {
		f.store.Evacuate("elsewhere", ordered)
	}
}

// restoreStore makes the store come back from an older copy. The returned function writes again what
// the operator has lost, and removes the records of targets that are gone, as the store would when
// they lapse.
func (f *fleet) restoreStore(age time.Duration) (rewrite func()) {
	rewriteOperator := f.store.Restore(time.Now().Add(-age))
	return func() {
		rewriteOperator()
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, t := range f.allTargets {
			if !slices.Contains(f.targets, t) {
				f.store.PutTarget(t.ID, nil)
			}
		}
	}
}
