package outcomes

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/heatherrail/heatherrail/internal/fake"
	"github.com/heatherrail/heatherrail/outside"
)

// Fault is a kind of fault.
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
	FaultRest          Fault = "target asks for rest"
	FaultTargetChange  Fault = "configuration changes the targets"
	FaultCrashRequest  Fault = "a request crashes its targets"
)

// Faults lists the kinds of faults that PlanForSeed selects from.
var Faults = []Fault{
	FaultNone, FaultAgentKill, FaultAgentPause, FaultEngineKill, FaultEngineStall, FaultEntryKill, FaultEntryPause,
	FaultConnectionCut, FaultMessageDelay, FaultLogDown, FaultLogAnswerLost, FaultVMReplaced, FaultDrain, FaultTargetChange, FaultCrashRequest,
	FaultEntryDrain,
}

// inject injects a fault once and returns when it is over.
func (w *World) inject(f Fault, rng *rand.Rand) {
	duration := time.Duration(200+rng.IntN(1800)) * time.Millisecond
	targetName := w.randomTarget(rng)
	entryIdx := rng.IntN(len(w.entries))
	if !w.tryLockProcesses(targetName, w.entries[entryIdx].name) {
		time.Sleep(duration)
		return
	}
	defer w.unlockProcesses(targetName, w.entries[entryIdx].name)
	switch f {
	case FaultAgentKill:
		w.replaceAgent(targetName, duration, false)
	case FaultVMReplaced:
		w.replaceAgent(targetName, duration, true)
	case FaultDrain:
		w.drainTarget(targetName)
	case FaultAgentPause:
		w.pause(targetName, duration)
	case FaultEntryPause:
		w.pause(w.entries[entryIdx].name, duration)
	case FaultEntryKill:
		w.entry(entryIdx).Close()
		time.Sleep(duration / 4)
		w.must(w.startEntry(entryIdx))
	case FaultEntryDrain:
		w.drainEntry(entryIdx)
	case FaultEngineKill, FaultEngineStall:
		w.failEngine(f, duration, rng)
	case FaultConnectionCut:
		w.net.cutAfterBytes(targetName, func() int { return rng.IntN(2000) })
		w.net.cutAfterBytes(w.entries[entryIdx].name, func() int { return rng.IntN(2000) })
	case FaultMessageDelay:
		w.net.setDelay(targetName, time.Duration(rng.IntN(300))*time.Millisecond)
		time.Sleep(duration)
		w.net.setDelay(targetName, 0)
	case FaultLogDown:
		w.Log.SetFaults(fake.LogFaults{Down: true})
		time.Sleep(2 * duration)
		w.Log.SetFaults(fake.LogFaults{})
	case FaultLogAnswerLost:
		w.Log.SetFaults(fake.LogFaults{DropResponses: 3, Delay: 20 * time.Millisecond})
		w.entry(entryIdx).Close()
		w.must(w.startEntry(entryIdx))
		time.Sleep(duration)
		w.Log.SetFaults(fake.LogFaults{})
	case FaultRest:
		w.rest(targetName, duration, rng)
	case FaultTargetChange:
		w.mu.Lock()
		spare := !w.hasSpare
		w.mu.Unlock()
		w.must(w.applyConfig(spare))
		time.Sleep(duration)
	}
}

// tryLockProcesses locks processes for one fault, so that two faults do not replace
// the same process concurrently. It reports whether it succeeded.
func (w *World) tryLockProcesses(processes ...string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range processes {
		if w.locked[p] {
			return false
		}
	}
	for _, p := range processes {
		w.locked[p] = true
	}
	return true
}

func (w *World) unlockProcesses(processes ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range processes {
		delete(w.locked, p)
	}
}

// must panics on an error, because the run cannot continue without the process. Starting a
// process in memory is not expected to fail.
func (w *World) must(err error) {
	if err != nil {
		panic(err)
	}
}

func (w *World) randomTarget(rng *rand.Rand) string {
	names := w.targetNames()
	return names[rng.IntN(len(names))]
}

func (w *World) pause(process string, duration time.Duration) {
	w.net.pauseProcess(process)
	time.Sleep(duration)
	w.net.resumeProcess(process)
}

// replaceAgent kills an agent and starts a new one without any state. With newAddress
// the new agent has another address, which the VM list shows with a lag.
func (w *World) replaceAgent(targetName string, downtime time.Duration, newAddress bool) {
	w.currentAgent(targetName).Close()
	time.Sleep(downtime)
	if newAddress {
		w.targets[targetName].addrChanges++
		time.Sleep(vmListLag)
	}
	w.must(w.startAgent(targetName))
}

// drainTimeout limits a graceful shutdown.
const drainTimeout = 30 * time.Second

func (w *World) drainTarget(targetName string) {
	t := w.targets[targetName]
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	w.must(w.currentAgent(targetName).Shutdown(ctx))
	w.vms.Put(outside.VM{ID: targetName, Name: targetName, Role: outside.RoleTarget, Address: t.addr, State: outside.StateLeaving})
	t.addrChanges++
	time.Sleep(vmListLag)
	w.must(w.startAgent(targetName))
}

// rest makes a plain target reject calls for a time and ask for a rest of up to twice that time.
func (w *World) rest(targetName string, rejecting time.Duration, rng *rand.Rand) {
	t := w.targets[targetName]
	if t.plain == nil {
		return
	}
	t.plain.SetRest(time.Duration(1 + rng.Int64N(int64(2*rejecting))))
	time.Sleep(rejecting)
	t.plain.SetRest(0)
}

func (w *World) drainEntry(i int) {
	w.mu.Lock()
	w.entries[i].leaving = true
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	w.must(w.entry(i).Shutdown(ctx))
	w.must(w.startEntry(i))
}

func (w *World) failEngine(f Fault, duration time.Duration, rng *rand.Rand) {
	var engines []*target
	for _, name := range w.targetNames() {
		if t := w.targets[name]; t.engine != nil {
			engines = append(engines, t)
		}
	}
	t := engines[rng.IntN(len(engines))]
	if f == FaultEngineStall {
		t.engine.Stall(true)
		time.Sleep(duration)
		t.engine.Stall(false)
		return
	}
	t.engine.Kill()
	time.Sleep(duration)
	t.engine.Restart()
}
