package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/heatherrail/heatherrail/platform"
	"github.com/heatherrail/heatherrail/platform/standin"
)

// Ports of each entry. Each entry has its own loopback address.
const (
	portCallers = 18227 + iota
	portReady
	portDirectory
	portPeers
)

// fleet holds the gateway processes and the stand-ins for the store and the targets.
type fleet struct {
	s         *soak
	store     *standin.Store
	storeAddr string
	entries   []*entryProc

	mu               sync.Mutex
	configs          []publishedConfig
	targets          []*targetProc
	allTargets       []*targetProc // targets of the whole run, including removed ones
	lastTargetNumber int
}

// entryProc is one gateway process with the proxy between it and the store.
type entryProc struct {
	name   string
	ip     string
	config string
	proxy  *proxy
	log    *os.File

	restarting sync.Mutex // held while the process is stopped and started again

	mu  sync.Mutex
	cmd *exec.Cmd
}

func (e *entryProc) address(port int) string { return fmt.Sprintf("%s:%d", e.ip, port) }

// targetProc is one target with its record in the store. All entries reach the target
// through its proxy.
type targetProc struct {
	lastSequence atomic.Uint64 // sequence number of the target record last written to the store
	*standin.Target
	service  string
	server   *http.Server
	proxy    *proxy
	replaced bool // the target leaves and another one has been added for it
	leaving  bool // the target's record says that it leaves
}

func startFleet(s *soak, dir string) (*fleet, error) {
	f := &fleet{s: s, store: standin.NewStore()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddr = ln.Addr().String()
	go func() { _ = (&http.Server{Handler: f.store}).Serve(ln) }() // serves until the process exits
	f.publishConfig()
	for range s.opts.Targets {
		if err := f.addTarget("llm"); err != nil {
			return nil, err
		}
		if err := f.addTarget("plain"); err != nil {
			return nil, err
		}
	}
	// Seed and process ID select the addresses, so that several soaks can run at once.
	net2, net3 := 1+s.opts.Seed%200, 1+uint64(os.Getpid())%250
	for i := range s.opts.Entries {
		e := &entryProc{name: fmt.Sprintf("entry-%d", i+1), ip: fmt.Sprintf("127.%d.%d.%d", net2, net3, i+1)}
		if err := f.prepareEntry(e, dir); err != nil {
			return nil, err
		}
		if err := f.startEntry(e); err != nil {
			return nil, err
		}
		f.entries = append(f.entries, e)
	}
	return f, nil
}

// Shutdown grace and drain time in the settings of the gateway processes.
const (
	graceSeconds = 4
	drainSeconds = 2
)

func (f *fleet) prepareEntry(e *entryProc, dir string) error {
	var err error
	if e.proxy, err = startProxy(f.storeAddr); err != nil {
		return err
	}
	e.config = filepath.Join(dir, e.name+".toml")
	text := standin.EntrySettings{
		Name:         e.name,
		IP:           e.ip,
		PeerPort:     portPeers,
		Callers:      e.address(portCallers),
		Ready:        e.address(portReady),
		Directory:    e.address(portDirectory),
		Store:        e.proxy.address(),
		GraceSeconds: graceSeconds,
		DrainSeconds: drainSeconds,
	}.Text()
	if err := os.WriteFile(e.config, []byte(text), 0o600); err != nil {
		return err
	}
	e.log, err = os.Create(filepath.Join(dir, e.name+".log"))
	return err
}

func (f *fleet) startEntry(e *entryProc) error {
	cmd := exec.Command(f.s.opts.Program)
	cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+e.config)
	cmd.Stdout, cmd.Stderr = e.log, e.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", e.name, err)
	}
	e.mu.Lock()
	e.cmd = cmd
	e.mu.Unlock()
	return nil
}

// signal sends a signal to the entry's process if it is running.
func (e *entryProc) signal(sig os.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		_ = e.cmd.Process.Signal(sig) // the process may have exited already
	}
}

// stopTimeout bounds the wait for a process to exit after a signal. It exceeds the
// shutdown grace in the processes' settings.
const stopTimeout = 8 * time.Second

// wait waits for the process to exit and kills it after stopTimeout.
func (e *entryProc) wait() {
	e.mu.Lock()
	cmd := e.cmd
	e.cmd = nil
	e.mu.Unlock()
	if cmd == nil {
		return
	}
	timer := time.AfterFunc(stopTimeout, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	_ = cmd.Wait() // a signal ends the process, so an error is expected
}

func (f *fleet) addTarget(service string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastTargetNumber++
	t := &targetProc{service: service, Target: standin.NewTarget(fmt.Sprintf("i-%d", f.lastTargetNumber), f.s.opts.Seed+uint64(f.lastTargetNumber), f.s.checker.recordExecution)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.OnCrash = func() { f.crashTarget(t) }
	t.server = &http.Server{Handler: t.Target}
	go func() { _ = t.server.Serve(ln) }() // serves until the server is closed
	if t.proxy, err = startProxy(ln.Addr().String()); err != nil {
		return err
	}
	f.targets, f.allTargets = append(f.targets, t), append(f.allTargets, t)
	f.register(t)
	return nil
}

func (f *fleet) register(t *targetProc) {
	f.store.PutTarget(t.ID, standin.TargetRecord{
		Service: t.service, Address: t.proxy.address(), Leaving: t.leaving, Sequence: t.lastSequence.Add(1),
	}.Fields())
}

const heartbeatInterval = 400 * time.Millisecond

// renewTargets writes the record of each target to the store again every
// heartbeatInterval, until ctx ends.
func (f *fleet) renewTargets(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(heartbeatInterval)
		f.mu.Lock()
		for _, t := range f.targets {
			f.register(t)
		}
		f.mu.Unlock()
	}
}

// leaveDuration is the time for which a target keeps serving after it has announced
// that it is leaving.
const leaveDuration = 3 * time.Second

// maxAnnounceDelay is the longest time between the first response in which a target may say that it
// leaves and the record that says so.
const maxAnnounceDelay = 2 * leavingReactionTime

// replaceTarget makes a target say that it leaves, and adds a new target of the same service. The
// record of the old target says so announceAfter later; the target is removed leaveDuration after
// that.
func (f *fleet) replaceTarget(index int, announceAfter time.Duration) error {
	f.mu.Lock()
	t := f.targets[index%len(f.targets)]
	wasReplaced := t.replaced
	t.replaced = true
	f.mu.Unlock()
	if wasReplaced {
		return nil
	}
	t.SetLeaving()
	time.AfterFunc(announceAfter, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		t.leaving = true
		if slices.Contains(f.targets, t) {
			f.register(t)
		}
	})
	if err := f.addTarget(t.service); err != nil {
		return err
	}
	time.AfterFunc(announceAfter+leaveDuration, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for i := range f.targets {
			if f.targets[i] == t {
				f.targets = append(f.targets[:i:i], f.targets[i+1:]...)
				break
			}
		}
		f.store.PutTarget(t.ID, nil)
		_ = t.server.Close() // no entry uses the target any more
		t.proxy.close()
	})
	return nil
}

// Timing of a crash of a target.
const (
	restartAfterCrash = 700 * time.Millisecond // until another run of the target starts
	lapseAfterCrash   = 3 * heartbeatInterval  // until the record of a target that has ended is removed
)

// crashTarget ends a target without notice and starts another one for it later.
func (f *fleet) crashTarget(t *targetProc) {
	f.mu.Lock()
	i := slices.Index(f.targets, t)
	if i >= 0 {
		f.targets = slices.Delete(f.targets, i, i+1)
	}
	f.mu.Unlock()
	if i < 0 {
		return // another request has crashed it, or it is being replaced
	}
	f.s.logEvent("%s crashes", t.ID)
	t.proxy.close()
	_ = t.server.Close() // no connection to the target is left
	time.AfterFunc(lapseAfterCrash, func() { f.store.PutTarget(t.ID, nil) })
	time.AfterFunc(restartAfterCrash, func() {
		if err := f.addTarget(t.service); err != nil {
			f.s.logEvent("another run of %s not started: %v", t.ID, err)
		}
	})
}

func (f *fleet) setTargetFaults(index int, faults standin.TargetFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets[index%len(f.targets)].SetFaults(faults)
}

// setRateLimit sets the rate limit of a target in requests per second; 0 removes it.
func (f *fleet) setRateLimit(index int, rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets[index%len(f.targets)].SetRateLimit(rate)
}

// rateLimitViolations lists the targets that received more requests than their rate
// limit allows.
func (f *fleet) rateLimitViolations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var violations []string
	for _, t := range f.allTargets {
		for _, n := range t.RateLimits() {
			allowed := rateSlack*n.PerSecond*rateWindow.Seconds() + rateBurst
			if received := n.MaxInWindow(rateWindow, rateSettleTime); float64(received) > allowed {
				violations = append(violations, fmt.Sprintf("%s set a rate limit of %.1f requests/s and received %d in %s, allowed %.0f", t.ID, n.PerSecond, received, rateWindow, allowed))
			}
		}
	}
	return violations
}

// Limits on the requests that a target with a rate limit may receive from all entries
// together. Source: the platform's rule. The rule exempts entries that were restarted
// or suspended; the soak's check exempts none.
const (
	rateWindow     = 4 * time.Second
	rateSlack      = 1.5             // factor on the rate limit
	rateBurst      = 5               // requests allowed in a window beyond the rate
	rateSettleTime = 3 * time.Second // time after a change of the rate limit that the check ignores
)

// target returns a target by a number of any size.
func (f *fleet) target(number int) *targetProc {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets[number%len(f.targets)]
}

// proxyOf returns the proxy in front of a target.
func (f *fleet) proxyOf(index int) *proxy { return f.target(index).proxy }

// clearFaults ends all faults and resumes suspended processes.
func (f *fleet) clearFaults() {
	f.store.SetFaults(standin.StoreFaults{})
	f.mu.Lock()
	for _, t := range f.targets {
		t.SetFaults(standin.TargetFaults{})
		t.SetRateLimit(0)
		t.SetRest(0)
		t.proxy.setFaults(proxyFaults{})
	}
	f.mu.Unlock()
	for _, e := range f.entries {
		e.proxy.setFaults(proxyFaults{})
		e.signal(syscall.SIGCONT)
	}
}

func (f *fleet) stop() {
	for _, e := range f.entries {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
		e.wait()
		e.proxy.close()
		_ = e.log.Close() // the log file is removed at the end of the run
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		t.proxy.close()
	}
}
