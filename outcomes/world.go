package outcomes

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/heatherrail/heatherrail/agent"
	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/entry"
	"github.com/heatherrail/heatherrail/internal/fake"
	"github.com/heatherrail/heatherrail/internal/safeguard"
	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/settings"
)

// Parameters of the system under test.
const (
	stepTime    = 5 * time.Millisecond
	engineSlots = 16
	agentQueue  = 64
	vmListLag   = time.Second
	answerTTL   = 200 * time.Millisecond
)

// Services of the system under test.
const (
	ServicePlain  = "oven-api"
	ServiceEngine = "prog-llm"
)

// World is a running system of entries, agents and targets.
type World struct {
	History *History
	Log     *fake.Log
	Metrics *metrics.Set

	off    safeguard.Off
	logger logr.Logger
	net    *network
	vms    *fake.VMList

	mu              sync.Mutex
	lastIncarnation uint64
	version         uint64
	hasSpare        bool // the configuration contains the spare target
	targets         map[string]*target
	entries         []*entryProcess
	locked          map[string]bool // processes that a fault is being injected into
	stopped         bool
	tasks           sync.WaitGroup
}

// target is one engine or plain service with its agent.
type target struct {
	name        string
	fleet       string
	engine      *fake.Engine
	plain       *fake.Plain
	group       *fake.RankGroup
	backend     *recordingBackend
	agent       *agent.Agent
	addr        string
	addrChanges int
}

type entryProcess struct {
	name    string
	entry   *entry.Entry
	leaving bool // callers no longer use this entry
}

// Options configures a World.
type Options struct {
	Engines      int
	PlainTargets int
	Entries      int
	Latency      time.Duration
	Off          safeguard.Off
	Logger       logr.Logger
}

// NewWorld starts a system and returns when its entries are ready to serve.
func NewWorld(o Options) (*World, error) {
	w := &World{
		History: new(History),
		Log:     fake.NewLog(),
		Metrics: metrics.New(),
		off:     o.Off,
		logger:  o.Logger,
		net:     newNetwork(o.Latency),
		vms:     fake.NewVMList(0),
		targets: make(map[string]*target),
		locked:  make(map[string]bool),
	}
	for i := range o.Engines {
		w.addTarget(fmt.Sprintf("%s-%d", ServiceEngine, i+1), ServiceEngine)
	}
	for i := range o.PlainTargets + 1 { // the last one is the spare target
		w.addTarget(fmt.Sprintf("%s-%d", ServicePlain, i+1), ServicePlain)
	}
	for _, name := range w.targetNames() {
		if err := w.startAgent(name); err != nil {
			return nil, err
		}
	}
	if err := w.applyConfig(false); err != nil {
		return nil, err
	}
	for i := range o.Entries {
		w.entries = append(w.entries, &entryProcess{name: fmt.Sprintf("entry-%d", i+1)})
		if err := w.startEntry(i); err != nil {
			return nil, err
		}
	}
	return w, w.waitUntilReady()
}

// readyTimeout limits the start of a system.
const readyTimeout = 10 * time.Second

func (w *World) waitUntilReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, p := range w.entries {
		for p.entry.Linked() < len(w.targets)-1 || !p.entry.Registered() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s has linked %d of %d targets, registered: %t",
					p.name, p.entry.Linked(), len(w.targets)-1, p.entry.Registered())
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

func (w *World) targetNames() []string {
	var names []string
	for i := 1; w.targets[fmt.Sprintf("%s-%d", ServiceEngine, i)] != nil; i++ {
		names = append(names, fmt.Sprintf("%s-%d", ServiceEngine, i))
	}
	for i := 1; w.targets[fmt.Sprintf("%s-%d", ServicePlain, i)] != nil; i++ {
		names = append(names, fmt.Sprintf("%s-%d", ServicePlain, i))
	}
	return names
}

func (w *World) addTarget(name, fleet string) {
	t := &target{name: name, fleet: fleet}
	recorder := &recordingBackend{target: name, history: w.History}
	if fleet == ServiceEngine {
		t.engine = fake.NewEngine(name, "model-"+name, engineSlots)
		t.group = fake.NewRankGroup(stepTime, t.engine)
		recorder.Backend = t.engine
		recorder.onCrash = func() { w.after(4*stepTime, func() { w.crashEngine(t) }) }
	} else {
		t.plain = fake.NewPlain(name)
		t.plain.SetDelay(4 * stepTime)
		recorder.Backend = t.plain
	}
	t.backend = recorder
	w.targets[name] = t
}

// engineRestart is the time for which a crashed engine stays down.
const engineRestart = 2 * time.Second

func (w *World) crashEngine(t *target) {
	t.engine.Kill()
	w.after(engineRestart, t.engine.Restart)
}

// after runs f after d. It does nothing if the world has already been stopped.
func (w *World) after(d time.Duration, f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.tasks.Add(1)
	go func() {
		defer w.tasks.Done()
		time.Sleep(d)
		f()
	}()
}

func (w *World) newIncarnation() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastIncarnation++
	return w.lastIncarnation
}

// startAgent starts a new agent process at the current address of a target.
func (w *World) startAgent(name string) error {
	t := w.targets[name]
	addr := fmt.Sprintf("%s/%d", name, t.addrChanges)
	inc := w.newIncarnation()
	a, err := agent.Start(agent.Options{
		Settings:    settings.Agent{Target: name, Queue: agentQueue},
		Backend:     t.backend,
		Logger:      w.logger,
		Metrics:     w.Metrics,
		Incarnation: inc,
		Log:         &processLog{Log: w.Log, net: w.net, process: name},
		Listener:    w.net.listen(addr, name),
		Off:         w.off,
	})
	if err != nil {
		return fmt.Errorf("agent of %s: %w", name, err)
	}
	w.mu.Lock()
	t.agent, t.addr = a, addr
	w.mu.Unlock()
	w.vms.Put(outside.VM{ID: name, Name: name, Role: outside.RoleTarget, Address: addr, State: outside.StateLive})
	return nil
}

func (w *World) startEntry(i int) error {
	p := w.entries[i]
	e, err := entry.Start(entry.Options{
		Settings:    settings.Entry{Name: p.name, DirectoryTTL: answerTTL},
		Log:         &processLog{Log: w.Log, net: w.net, process: p.name},
		VMs:         w.vms,
		Logger:      w.logger,
		Metrics:     w.Metrics,
		Incarnation: w.newIncarnation(),
		Dial:        w.net.dialer(p.name),
		NoCallers:   true,
		Off:         w.off,
	})
	if err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	w.mu.Lock()
	p.entry, p.leaving = e, false
	w.mu.Unlock()
	return nil
}

func (w *World) entry(i int) *entry.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[i].entry
}

// availableEntry returns the index of the first entry that is not leaving, starting
// at from.
func (w *World) availableEntry(from int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n := range w.entries {
		if i := (from + n) % len(w.entries); !w.entries[i].leaving {
			return i
		}
	}
	return from
}

func (w *World) currentAgent(name string) *agent.Agent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.targets[name].agent
}

// applyConfig appends a configuration to the log, with or without the spare target. It
// retries until the append succeeds.
func (w *World) applyConfig(spare bool) error {
	c := &config.Config{
		Fleets:   []config.Fleet{{Name: ServicePlain, Kind: "plain"}, {Name: ServiceEngine, Kind: "engine"}},
		Services: []config.Service{{Name: ServicePlain, Fleet: ServicePlain, Policy: "p"}, {Name: ServiceEngine, Fleet: ServiceEngine, Policy: "p"}},
		Policies: []config.Policy{{Name: "p", Deadline: time.Minute, RetryShare: 0.1, DedupWindow: 10 * time.Minute, DedupKeys: 1 << 16}},
	}
	names := w.targetNames()
	if !spare {
		names = names[:len(names)-1]
	}
	for _, name := range names {
		c.Targets = append(c.Targets, config.Target{Name: name, Fleet: w.targets[name].fleet, DataCentre: "a"})
	}
	w.mu.Lock()
	base := w.version
	w.version++
	w.hasSpare = spare
	w.mu.Unlock()
	raw, err := config.NewChange(fmt.Sprintf("change-%d", base+1), base, c)
	if err != nil {
		return err
	}
	for {
		_, err = w.Log.Append(context.Background(), [][]byte{raw})
		if err == nil {
			return nil
		}
		time.Sleep(logRetryPause)
	}
}

const logRetryPause = 100 * time.Millisecond

// recordRests adds the rests of all targets to the history.
func (w *World) recordRests() {
	w.History.mu.Lock()
	defer w.History.mu.Unlock()
	w.History.Rests = make(map[string][]fake.Rest)
	for name, t := range w.targets {
		if t.plain != nil {
			w.History.Rests[name] = t.plain.Rests()
		}
	}
}

// Close stops all processes and waits for them.
func (w *World) Close() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	w.tasks.Wait()
	for i := range w.entries {
		if e := w.entry(i); e != nil {
			e.Close()
		}
	}
	for _, t := range w.targets {
		w.currentAgent(t.name).Close()
		if t.group != nil {
			t.group.Close()
		}
	}
}
