package outcomes

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/heatherrail/heatherrail/internal/fake"
	"github.com/heatherrail/heatherrail/outside"
)

// Fault is one kind of thing that goes wrong.
type Fault string

// Kinds of faults.
const (
	FaultNone          Fault = "none"
	FaultAgentKill     Fault = "agent killed and restarted"
	FaultAgentPause    Fault = "agent paused"
	FaultEngineKill    Fault = "engine killed and restarted"
	FaultEngineStall   Fault = "engine stalled"
	FaultEntryKill     Fault = "entry killed and restarted"
	FaultEntryPause    Fault = "entry paused"
	FaultConnectionCut Fault = "connections cut at a random byte"
	FaultMessageDelay  Fault = "messages late"
	FaultLogDown       Fault = "log down"
	FaultLogAnswerLost Fault = "answers of the log lost"
	FaultVMReplaced    Fault = "target VM replaced"
	FaultDrain         Fault = "target drained and replaced"
	FaultEntryDrain    Fault = "entry drained and replaced"
	FaultTargetChange  Fault = "configuration changes the targets"
	FaultCrashRequest  Fault = "a request crashes its targets"
)

// Faults lists the kinds that runs draw from.
var Faults = []Fault{
	FaultNone, FaultAgentKill, FaultAgentPause, FaultEngineKill, FaultEngineStall, FaultEntryKill, FaultEntryPause,
	FaultConnectionCut, FaultMessageDelay, FaultLogDown, FaultLogAnswerLost, FaultVMReplaced, FaultDrain, FaultTargetChange, FaultCrashRequest,
	FaultEntryDrain,
}

// inject makes a fault happen once and returns when it is over.
func (w *World) inject(f Fault, rng *rand.Rand) {
	spell := time.Duration(200+rng.IntN(1800)) * time.Millisecond
	name := w.anyTarget(rng)
	who := rng.IntN(len(w.entries))
	if !w.hold(name, w.entries[who].name) {
		time.Sleep(spell)
		return
	}
	defer w.free(name, w.entries[who].name)
	switch f {
	case FaultAgentKill:
		w.replaceAgent(name, spell, false)
	case FaultVMReplaced:
		w.replaceAgent(name, spell, true)
	case FaultDrain:
		w.drain(name)
	case FaultAgentPause:
		w.pause(name, spell)
	case FaultEntryPause:
		w.pause(w.entries[who].name, spell)
	case FaultEntryKill:
		w.entry(who).Close()
		time.Sleep(spell / 4)
		w.must(w.startEntry(who))
	case FaultEntryDrain:
		w.drainEntry(who)
	case FaultEngineKill, FaultEngineStall:
		w.breakEngine(f, spell, rng)
	case FaultConnectionCut:
		w.net.cut(name, func() int { return rng.IntN(2000) })
		w.net.cut(w.entries[who].name, func() int { return rng.IntN(2000) })
	case FaultMessageDelay:
		w.net.delay(name, time.Duration(rng.IntN(300))*time.Millisecond)
		time.Sleep(spell)
		w.net.delay(name, 0)
	case FaultLogDown:
		w.Log.SetFaults(fake.LogFaults{Down: true})
		time.Sleep(2 * spell)
		w.Log.SetFaults(fake.LogFaults{})
	case FaultLogAnswerLost:
		w.Log.SetFaults(fake.LogFaults{LoseAnswers: 3, Delay: 20 * time.Millisecond})
		w.entry(who).Close()
		w.must(w.startEntry(who))
		time.Sleep(spell)
		w.Log.SetFaults(fake.LogFaults{})
	case FaultTargetChange:
		w.mu.Lock()
		spare := !w.extra
		w.mu.Unlock()
		w.must(w.apply(spare))
		time.Sleep(spell)
	}
}

// hold keeps two faults from replacing one process at a time.
func (w *World) hold(processes ...string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range processes {
		if w.held[p] {
			return false
		}
	}
	for _, p := range processes {
		w.held[p] = true
	}
	return true
}

func (w *World) free(processes ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range processes {
		delete(w.held, p)
	}
}

// must ends a run that can't go on: a start in memory does not fail.
func (w *World) must(err error) {
	if err != nil {
		panic(err)
	}
}

func (w *World) anyTarget(rng *rand.Rand) string {
	names := w.targetNames()
	return names[rng.IntN(len(names))]
}

func (w *World) pause(process string, d time.Duration) {
	w.net.freeze(process)
	time.Sleep(d)
	w.net.thaw(process)
}

// replaceAgent kills an agent and starts another, which knows nothing; moved:
// at another address, which the VM list shows late.
func (w *World) replaceAgent(name string, down time.Duration, moved bool) {
	w.agentOf(name).Close()
	time.Sleep(down)
	if moved {
		w.targets[name].moves++
		time.Sleep(vmLag)
	}
	w.must(w.startAgent(name))
}

// drainLimit is when a graceful shutdown gives up.
const drainLimit = 30 * time.Second

func (w *World) drain(name string) {
	t := w.targets[name]
	ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	w.must(w.agentOf(name).Shutdown(ctx))
	w.vms.Put(outside.VM{ID: name, Name: name, Role: outside.RoleTarget, Address: t.addr, State: outside.StateLeaving})
	t.moves++
	time.Sleep(vmLag)
	w.must(w.startAgent(name))
}

func (w *World) drainEntry(i int) {
	w.mu.Lock()
	w.entries[i].leaving = true
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	w.must(w.entry(i).Shutdown(ctx))
	w.must(w.startEntry(i))
}

func (w *World) breakEngine(f Fault, spell time.Duration, rng *rand.Rand) {
	var engines []*target
	for _, name := range w.targetNames() {
		if t := w.targets[name]; t.engine != nil {
			engines = append(engines, t)
		}
	}
	t := engines[rng.IntN(len(engines))]
	if f == FaultEngineStall {
		t.engine.Stall(true)
		time.Sleep(spell)
		t.engine.Stall(false)
		return
	}
	t.engine.Kill()
	time.Sleep(spell)
	t.engine.Restart()
}
