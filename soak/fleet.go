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

// Ports of each entry, on a loopback address of its own.
const (
	portCallers = 18227 + iota
	portReady
	portDirectory
	portPeers
)

// fleet are the processes and the stand-ins.
type fleet struct {
	s       *soak
	store   *standin.Store
	storeAt string
	entries []*entryProc
	version int

	mu      sync.Mutex
	targets []*targetProc
	named   []*targetProc // that have named a rate, those that are gone among them
	number  int
}

// entryProc is one gateway process, and the proxy between it and the store.
type entryProc struct {
	name   string
	ip     string
	config string
	proxy  *proxy
	log    *os.File

	restarting sync.Mutex // held while the process is ended and started again

	mu  sync.Mutex
	cmd *exec.Cmd
}

func (e *entryProc) address(port int) string { return fmt.Sprintf("%s:%d", e.ip, port) }

// targetProc is one target and its record, and the proxy that all entries reach it
// through.
type targetProc struct {
	records atomic.Uint64 // that it has written
	*standin.Target
	service string
	server  *http.Server
	proxy   *proxy
	leaving bool
}

func startFleet(s *soak, dir string) (*fleet, error) {
	f := &fleet{s: s, store: standin.NewStore()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAt = ln.Addr().String()
	go func() { _ = (&http.Server{Handler: f.store}).Serve(ln) }() // ends with the process
	f.configure()
	for range s.opts.Targets {
		if err := f.addTarget("llm"); err != nil {
			return nil, err
		}
		if err := f.addTarget("plain"); err != nil {
			return nil, err
		}
	}
	// The addresses differ from seed to seed, so that soaks can run side by side.
	net2, net3 := 1+s.opts.Seed%200, 1+uint64(os.Getpid())%250
	for i := range s.opts.Entries {
		e := &entryProc{name: fmt.Sprintf("entry-%d", i+1), ip: fmt.Sprintf("127.%d.%d.%d", net2, net3, i+1)}
		if err := f.prepare(e, dir); err != nil {
			return nil, err
		}
		if err := f.start(e); err != nil {
			return nil, err
		}
		f.entries = append(f.entries, e)
	}
	return f, nil
}

// Bounds that the processes are told.
const (
	graceSeconds = 4
	boundSeconds = 2
)

func (f *fleet) prepare(e *entryProc, dir string) error {
	var err error
	if e.proxy, err = startProxy(f.storeAt); err != nil {
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
		DrainSeconds: boundSeconds,
	}.Text()
	if err := os.WriteFile(e.config, []byte(text), 0o600); err != nil {
		return err
	}
	e.log, err = os.Create(filepath.Join(dir, e.name+".log"))
	return err
}

func (f *fleet) start(e *entryProc) error {
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

// signal sends a signal to the process of an entry, if it runs.
func (e *entryProc) signal(sig os.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil {
		_ = e.cmd.Process.Signal(sig) // it may have ended by itself
	}
}

// endLimit is longer than a process takes that was told to stop.
const endLimit = 8 * time.Second

// wait waits for the process to end and kills it if it does not.
func (e *entryProc) wait() {
	e.mu.Lock()
	cmd := e.cmd
	e.cmd = nil
	e.mu.Unlock()
	if cmd == nil {
		return
	}
	timer := time.AfterFunc(endLimit, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	_ = cmd.Wait() // it was told to end, or killed
}

// configure writes a new version of the configuration.
func (f *fleet) configure() {
	f.version += 3
	route := func(name, prefix, kind, service string) standin.Route {
		return standin.Route{Name: name, Host: host, Prefix: prefix, Kind: kind, Service: service, TimeoutMS: int(callTime.Milliseconds())}
	}
	f.store.PutConfig(standin.Config(f.version, team, key, []string{"plain", "llm"}, []standin.Route{
		route("once", paths[once], standin.KindNonIdempotent, "plain"),
		route("idem", paths[idempotent], standin.KindIdempotent, "plain"),
		route("stream", paths[stream], standin.KindStream, "llm"),
		route(fmt.Sprintf("extra-%d", f.version), fmt.Sprintf("/extra%d/", f.version), standin.KindIdempotent, "plain"),
	}))
}

func (f *fleet) addTarget(service string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.number++
	t := &targetProc{service: service, Target: standin.NewTarget(fmt.Sprintf("i-%d", f.number), f.s.opts.Seed+uint64(f.number), f.s.books.ran)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.server = &http.Server{Handler: t.Target}
	go func() { _ = t.server.Serve(ln) }() // ends with the server
	if t.proxy, err = startProxy(ln.Addr().String()); err != nil {
		return err
	}
	f.targets = append(f.targets, t)
	f.register(t)
	return nil
}

func (f *fleet) register(t *targetProc) {
	f.store.PutTarget(t.ID, standin.TargetRecord{
		Service: t.service, Address: t.proxy.address(), Leaving: t.leaving, Sequence: t.records.Add(1),
	}.Fields())
}

const heartbeat = 400 * time.Millisecond

// keepTargets renews the records of targets.
func (f *fleet) keepTargets(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(heartbeat)
		f.mu.Lock()
		for _, t := range f.targets {
			f.register(t)
		}
		f.mu.Unlock()
	}
}

// leaveTime is how long a target goes on serving after it said that it leaves.
const leaveTime = 3 * time.Second

// replaceTarget lets one target leave as another comes.
func (f *fleet) replaceTarget(at int) error {
	f.mu.Lock()
	t := f.targets[at%len(f.targets)]
	already := t.leaving
	t.leaving = true
	f.register(t)
	f.mu.Unlock()
	if already {
		return nil
	}
	if err := f.addTarget(t.service); err != nil {
		return err
	}
	time.AfterFunc(leaveTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for i := range f.targets {
			if f.targets[i] == t {
				f.targets = append(f.targets[:i:i], f.targets[i+1:]...)
				break
			}
		}
		f.store.PutTarget(t.ID, nil)
		_ = t.server.Close() // nothing is left to be served
		t.proxy.close()
	})
	return nil
}

func (f *fleet) setTargetFaults(at int, faults standin.TargetFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets[at%len(f.targets)].SetFaults(faults)
}

// nameRate has a target name another rate; 0: none.
func (f *fleet) nameRate(at int, rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.targets[at%len(f.targets)]
	t.SetRateLimit(rate)
	if !slices.Contains(f.named, t) {
		f.named = append(f.named, t)
	}
}

// overrun returns the targets that got more than the rate that they named.
func (f *fleet) overrun() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var broken []string
	for _, t := range f.named {
		for _, n := range t.RateLimits() {
			allowed := rateSlack*n.PerSecond*rateWindow.Seconds() + rateBurst
			if most := n.MaxInWindow(rateWindow, rateSettles); float64(most) > allowed {
				broken = append(broken, fmt.Sprintf("%s named %.1f requests a second and got %d in %s, allowed %.0f", t.ID, n.PerSecond, most, rateWindow, allowed))
			}
		}
	}
	return broken
}

// What a target may get that names a rate, from all entries together. Source: the platform's
// rule; it excuses entries that were restarted or stood still, and this does not.
const (
	rateWindow  = 4 * time.Second
	rateSlack   = 1.5 // times the rate
	rateBurst   = 5
	rateSettles = 3 * time.Second // after the rate was named
)

// proxyOf returns the proxy before one of the targets.
func (f *fleet) proxyOf(at int) *proxy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets[at%len(f.targets)].proxy
}

// heal ends all faults.
func (f *fleet) heal() {
	f.store.SetFaults(standin.StoreFaults{})
	f.mu.Lock()
	for _, t := range f.targets {
		t.SetFaults(standin.TargetFaults{})
		t.SetRateLimit(0)
		t.proxy.set(proxyFaults{})
	}
	f.mu.Unlock()
	for _, e := range f.entries {
		e.proxy.set(proxyFaults{})
		e.signal(syscall.SIGCONT)
	}
}

func (f *fleet) stop() {
	for _, e := range f.entries {
		e.signal(syscall.SIGCONT)
		e.signal(syscall.SIGKILL)
		e.wait()
		e.proxy.close()
		_ = e.log.Close() // its text is dropped with the folder
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		t.proxy.close()
	}
}
