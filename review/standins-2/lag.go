package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heatherrail/heatherrail/platform/standin"
)

// Timing of the case "maps".
const (
	mapsRunTime     = 75 * time.Second
	shiftInterval   = 4 * time.Second
	agentDownTime   = 500 * time.Millisecond
	killsAtMost     = 6
	killSpacing     = 5 * time.Second
	streamsAtOnce   = 14
	minMapChanges   = 3
	lastCopyMargin  = 60 * time.Millisecond
	firstKillAfter  = 5 * time.Second
	draftService    = "drafter"
	draftHost       = "clarach.example"
	draftTeam       = "kitchens"
	draftKey        = "key-of-kitchens"
	streamTimeoutMS = 8000
)

// maps kills one agent at a time while the ranks are armed for a new map: the agent of the rank whose engine has been
// armed just now, if that engine has finished its copy last.
func maps(w *world) (int, error) {
	ips := []string{"127.0.0.71"}
	for r := range groupRanks {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", 72+r))
	}
	ports, err := freePorts(ips, 5)
	if err != nil {
		return 0, err
	}
	g := newGroup(w)
	config := standin.WithLimits(standin.Config(1, draftTeam, draftKey, nil, []standin.Route{
		{Name: "r-draft", Host: draftHost, Prefix: "/draft/", Kind: standin.KindStream, Service: draftService, TimeoutMS: streamTimeoutMS},
	}), 16384, 4194304, 5*time.Second, 30*time.Second)
	config["services"] = []any{g.service(draftService)}
	w.store.PutConfig(config)
	agents := make([]*process, groupRanks)
	pids := make([]atomic.Pointer[process], groupRanks)
	for r, e := range g.engines {
		if err := e.serve(fmt.Sprintf("%s:%d", ips[r+1], ports[4])); err != nil {
			return 0, err
		}
		e.ownPID = func() int {
			if p := pids[e.rank].Load(); p != nil {
				return int(p.pid.Load())
			}
			return -1
		}
		w.store.PutTarget(e.id, g.targetRecord(e, 1))
	}
	go g.run()
	go g.heartbeat()
	for r, e := range g.engines {
		settings := standin.EntrySettings{
			Name: fmt.Sprintf("side-%d", r), IP: ips[r+1], PeerPort: ports[3], Store: w.storeAt, GraceSeconds: 8, DrainSeconds: 2,
			MemoryMB: 152, MaxFiles: 2048, Engine: e.address, Service: draftService,
		}
		if agents[r], err = w.start(rankProgram, settings.Name, settings.Text()); err != nil {
			return 0, err
		}
		pids[r].Store(agents[r])
	}
	entry, err := w.startGateway("front-1", ips[0], ports)
	if err != nil {
		return 0, err
	}
	sent := w.sendStreams(entry)
	if w.trouble {
		g.onArmed = newKiller(w, g, agents).armed
	}
	for i := 1; time.Since(w.started) < mapsRunTime; i++ {
		time.Sleep(shiftInterval)
		g.shiftDemand(i * 5)
		g.mu.Lock()
		mixed := g.mixed
		g.mu.Unlock()
		if mixed > 0 {
			time.Sleep(time.Second) // the record shows how long the group has two maps
			break
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	complete, other := sent()
	w.note("%d passes, %d passes with a new map, %d passes that began with two maps; %d whole streams, %d others", g.step, g.changes, g.mixed, complete, other)
	switch {
	case g.mixed > 0:
		return exitBroken, nil
	case g.changes < minMapChanges:
		return 0, fmt.Errorf("only %d changes of the map", g.changes)
	}
	return exitHeld, nil
}

func (g *group) targetRecord(e *engine, sequence uint64) map[string]any {
	record := standin.TargetRecord{Service: draftService, Address: e.address, Sequence: sequence}.Fields()
	record["born"], record["slots"] = e.born, groupSlots
	return record
}

// heartbeat writes the records of the engines again and again.
func (g *group) heartbeat() {
	for sequence := uint64(2); ; sequence++ {
		time.Sleep(time.Second)
		for _, e := range g.engines {
			g.w.store.PutTarget(e.id, g.targetRecord(e, sequence))
		}
	}
}

// sendStreams keeps streams running, and returns a function that counts the whole ones and the others.
func (w *world) sendStreams(entry *gatewayAt) (counts func() (complete, other int)) {
	var mu sync.Mutex
	complete, other := 0, 0
	for n := range streamsAtOnce {
		go func() {
			t := &http.Transport{}
			for i := 0; ; i++ {
				id := fmt.Sprintf("s%d-%d", n, i)
				answer := standin.Send(t, entry.callers, standin.Request{
					Host: draftHost, Path: "/draft/x", ID: id, Key: draftKey, Timeout: streamTimeoutMS * time.Millisecond, Stream: true,
				})
				whole := answer.Status == http.StatusOK && answer.Complete
				w.note("stream %s was sent, answered %d, whole: %v", id, answer.Status, whole)
				mu.Lock()
				if whole {
					complete++
				} else {
					other++
				}
				mu.Unlock()
				if !whole {
					time.Sleep(100 * time.Millisecond)
				}
			}
		}()
	}
	return func() (int, int) {
		mu.Lock()
		defer mu.Unlock()
		return complete, other
	}
}

// killer kills agents, one at a time.
type killer struct {
	w      *world
	g      *group
	agents []*process

	mu     sync.Mutex
	kills  int
	lastAt time.Time
}

func newKiller(w *world, g *group, agents []*process) *killer {
	return &killer{w: w, g: g, agents: agents, lastAt: time.Now().Add(firstKillAfter - killSpacing)}
}

// armed is called when an engine has been armed. Only ranks 0 and 2 are killed: the leader, which is armed last, and the
// rank whose agent arms the leader.
func (k *killer) armed(e *engine) {
	if e.rank != 0 && e.rank != 2 || !k.copiedLast(e) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.kills >= killsAtMost || time.Since(k.lastAt) < killSpacing {
		return
	}
	k.kills++
	k.lastAt = time.Now()
	p := k.agents[e.rank]
	p.kill()
	k.w.note("agent of rank %d killed (kill %d)", e.rank, k.kills)
	time.AfterFunc(agentDownTime, func() {
		if err := p.run(); err == nil {
			k.w.note("agent of rank %d started again", e.rank)
		}
	})
}

// copiedLast reports whether no engine has finished its copy much later than this one.
func (k *killer) copiedLast(e *engine) bool {
	k.g.mu.Lock()
	defer k.g.mu.Unlock()
	for _, o := range k.g.engines {
		if o.readyAt.Sub(e.readyAt) > lastCopyMargin {
			return false
		}
	}
	return true
}
