package soak

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/platform/standin"
)

// Timing of the callers whose requests crash targets. The pause between two contents is longer than most
// crashed targets are away, so that a service keeps targets.
const (
	crasherStream     = 40 // PCG stream of the crashing requests
	meanCrasherPause  = 3 * time.Second
	meanCrasherReturn = 100 * time.Millisecond // until a caller repeats its request
)

// Limits on requests that crash the targets that run them.
const (
	maxCrashes      = 3           // targets that a request may crash
	crashSpreadTime = time.Second // time after the last of these within which it may still reach targets
	crashRefused    = "crash_refused\n"
)

// runCrashers starts callers that each repeat a request that crashes targets, one after the other until
// faults ends. Each goes on until ctx ends.
func (s *soak) runCrashers(ctx, faults context.Context) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, crasherStream))
	for n := 0; sleep(faults, time.Duration(rng.Int64N(int64(2*meanCrasherPause)))); n++ {
		content, k, seed := fmt.Sprint(standin.CrashBody, n), kind(rng.IntN(int(configured))), rng.Uint64()
		s.logEvent("a caller begins to repeat %q (%s)", content, k)
		go s.repeatCrasher(ctx, content, k, seed)
	}
	<-ctx.Done()
}

// repeatCrasher sends one request again and again, under new ids and at random entries.
func (s *soak) repeatCrasher(ctx context.Context, content string, k kind, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, crasherStream))
	transport := &http.Transport{DisableCompression: true, ResponseHeaderTimeout: callTimeout}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		e := s.fleet.entries[rng.IntN(len(s.fleet.entries))]
		rec := Record{ID: fmt.Sprintf("%s/%d", content, n), Kind: k, Entry: e.address(portCallers), Sent: time.Now(), Content: content}
		rec.Response = standin.Send(transport, rec.Entry, standin.Request{
			Host: host, Path: paths[k] + "x", ID: rec.ID, Key: key, Timeout: callTimeout, Stream: k == stream, Body: content,
		})
		s.checker.recordResponse(rec)
		sleep(ctx, time.Duration(rng.Int64N(int64(2*meanCrasherReturn))))
	}
}

// crashViolations lists the requests that reached targets although they had crashed too many, and the other
// requests that were refused as if they had. A crash counts if the entry that had sent the request was
// not disturbed: an entry that is lost right after a crash can't tell others of it. The rules excuse
// sends of disturbed entries.
func (s *soak) crashViolations() []string {
	var violations []string
	for content, executions := range s.checker.crashes() {
		var third time.Time
		seen := make(map[string]bool) // targets
		for _, x := range executions {
			if !third.IsZero() && x.At.Sub(third) > crashSpreadTime && !s.isExcused(third, &x) {
				violations = append(violations, fmt.Sprintf("%q reached %s from %s %s after its third crash", content, x.Target, x.Entry, x.At.Sub(third).Round(time.Millisecond)))
			}
			if !seen[x.Target] && !s.disturbances.any(x.At, x.At.Add(crashReportTime), x.Entry) {
				seen[x.Target] = true
				if len(seen) == maxCrashes {
					third = x.At.Add(crashReportTime)
				}
			}
		}
	}
	for _, rec := range s.checker.refusedAsCrashing() {
		violations = append(violations, fmt.Sprintf("%s was refused as a request that crashes targets", rec.ID))
	}
	return violations
}

// isExcused reports whether an entry may have sent a request after its third crash: the entry was
// disturbed, or entries may not have found each other yet, as the store has never been stable.
func (s *soak) isExcused(third time.Time, x *standin.Execution) bool {
	e := s.fleet.entryAt(x.Entry)
	return s.disturbances.any(third.Add(-stabilityTime), x.At, x.Entry) ||
		!s.disturbances.hasCalm(s.startedAt, x.At, discoveryTime, s.fleet.store, e.proxy)
}

const (
	// discoveryTime is the time with a stable store in which entries that have started find each other.
	discoveryTime = time.Second
	// stabilityTime is the time after a disturbance of an entry in which the rules excuse it.
	stabilityTime = 3 * time.Second
	// crashReportTime is the time from the start of a run that crashes its target until other entries know of
	// the crash.
	crashReportTime = 500 * time.Millisecond
)

// crashes returns the runs of requests that crash targets, by content and in the order of time.
func (c *checker) crashes() map[string][]standin.Execution {
	c.mu.Lock()
	defer c.mu.Unlock()
	byContent := make(map[string][]standin.Execution)
	for _, executions := range c.executions {
		for _, x := range executions {
			if x.Content != "" {
				byContent[x.Content] = append(byContent[x.Content], x)
			}
		}
	}
	for content := range maps.Keys(byContent) {
		slices.SortFunc(byContent[content], func(a, b standin.Execution) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Target, b.Target)) })
	}
	return byContent
}

// refusedAsCrashing returns the requests that crash no target and were refused as if they did.
func (c *checker) refusedAsCrashing() (list []Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.records {
		if c.records[i].Content == "" && c.records[i].Body == crashRefused {
			list = append(list, c.records[i])
		}
	}
	return list
}
