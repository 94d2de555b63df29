package main

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"text/template"
	"time"

	"github.com/heatherrail/heatherrail/platform"
	"github.com/heatherrail/heatherrail/platform/standin"
)

func init() { cases["stalemap"] = staleMapCase }

//go:embed agent.toml
var agentSettings string

// Figures of the case.
const (
	engineService = "drafter"
	cutTime       = 1200 * time.Millisecond // less than the 1.5 s after which a group gives up a rank that is cut off
	rounds        = 5
	burstTime     = 3 * time.Second // the longest time with requests in a round
	burstCallers  = 24
	quietTime     = time.Second // after the end of a cut, and the time without requests in a round without a cut
	agentsTime    = 3 * time.Second
	demandStep    = 31
)

func engineID(rank int) string { return fmt.Sprintf("i-%02d", rank) }

// agents are the processes beside the engines of one group. The VM of rank 0 has a path of its own to
// the others, which can be cut.
type agents struct {
	f       *fleet
	group   *mapGroup
	link    *link
	net     string
	app     int
	peers   int
	logs    []*os.File
	cmds    []*exec.Cmd
	leaders *standin.Store // the store as rank 0's agent reads it
}

// Last numbers of addresses. Other VMs know rank 0 by leaderPath, and rank 0 knows them by
// pathsOfLeader and above.
const (
	firstVM       = 10
	leaderPath    = 100
	pathsOfLeader = 110
)

func (a *agents) address(last, port int) string { return fmt.Sprintf("%s.%d:%d", a.net, last, port) }

// startAgents starts a group of engines and their agents.
func startAgents(f *fleet, g *mapGroup, config map[string]any) (*agents, error) {
	a := &agents{f: f, group: g, link: &link{}, leaders: standin.NewStore(), net: strings.TrimSuffix(f.ip, ".1")}
	ports, err := freePorts(f.ip, 2)
	if err != nil {
		return nil, err
	}
	a.app, a.peers = ports[0], ports[1]
	a.leaders.PutConfig(config)
	leaderStore, err := serveOnLoopback(a.leaders)
	if err != nil {
		return nil, err
	}
	store, err := serveOnLoopback(f.store)
	if err != nil {
		return nil, err
	}
	for n, r := range g.ranks {
		ln, err := listenAt(a.address(firstVM+n, a.app))
		if err != nil {
			return nil, err
		}
		go func() { _ = (&http.Server{Handler: r}).Serve(ln) }() // runs until the process exits
		outside := leaderPath
		if n > 0 {
			outside = pathsOfLeader + n
		}
		for _, port := range []int{a.app, a.peers} {
			if err := a.link.forward(a.address(outside, port), a.address(firstVM+n, port)); err != nil {
				return nil, err
			}
		}
	}
	a.beat()
	go func() {
		for range time.Tick(heartbeatInterval) {
			a.beat()
		}
	}()
	for n := range g.ranks {
		from := store
		if n == 0 {
			from = leaderStore
		}
		if err := a.startAgent(n, from); err != nil {
			return a, err
		}
	}
	return a, nil
}

var sequence atomic.Uint64

// beat writes the records of the engines, with the addresses at which the readers reach them.
func (a *agents) beat() {
	seq := sequence.Add(1)
	for n, r := range a.group.ranks {
		put := func(store *standin.Store, last int) {
			fields := standin.TargetRecord{Service: engineService, Address: a.address(last, a.app), Zone: "hall-a", Sequence: seq}.Fields()
			fields["born"], fields["slots"] = r.bornMS, groupSlots
			store.PutTarget(r.id, fields)
		}
		if n == 0 {
			put(a.f.store, leaderPath)
			put(a.leaders, firstVM)
		} else {
			put(a.f.store, firstVM+n)
			put(a.leaders, pathsOfLeader+n)
		}
	}
}

func (a *agents) startAgent(rank int, store string) error {
	var text bytes.Buffer
	err := template.Must(template.New("settings").Parse(agentSettings)).Execute(&text, map[string]any{
		"Rank": rank, "IP": fmt.Sprintf("%s.%d", a.net, firstVM+rank), "Engine": a.address(firstVM+rank, a.app),
		"Peers": a.peers, "PeersLast": a.peers + 15, "Store": store,
	})
	if err != nil {
		return err
	}
	config := filepath.Join(a.f.dir, fmt.Sprintf("rank-%d.toml", rank))
	if err := os.WriteFile(config, text.Bytes(), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(a.f.dir, fmt.Sprintf("rank-%d.log", rank)))
	if err != nil {
		return err
	}
	cmd := exec.Command("target/heatherrail-rank")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + a.f.dir, platform.SettingsEnv + "=" + config}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the case
	if err := cmd.Start(); err != nil {
		return err
	}
	a.logs, a.cmds = append(a.logs, log), append(a.cmds, cmd)
	return nil
}

func (a *agents) stop() {
	for _, cmd := range a.cmds {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		_ = cmd.Wait()
	}
}

// logLines returns the lines of one agent's log that hold one of some texts.
func (a *agents) logLines(rank int, texts ...string) (lines []string) {
	log, err := os.ReadFile(a.logs[rank].Name())
	if err != nil {
		return nil
	}
	for line := range strings.Lines(string(log)) {
		for _, text := range texts {
			if strings.Contains(line, text) {
				lines = append(lines, strings.TrimSpace(line))
				break
			}
		}
	}
	return lines
}

// burst sends streams until stop is closed, and waits for them to end.
func burst(f *fleet, stop <-chan struct{}) {
	var wait sync.WaitGroup
	for n := range burstCallers {
		wait.Go(func() {
			client := &http.Client{Timeout: streamTimeoutMS * time.Millisecond}
			defer client.CloseIdleConnections()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				req, err := http.NewRequest(http.MethodPost, "http://"+f.callers+"/volo102/2f", strings.NewReader("prompt"))
				if err != nil {
					return
				}
				req.Host = callerHost
				req.Header.Set("X-Request-Id", fmt.Sprintf("%d-%d-%d", time.Now().UnixNano(), n, i))
				req.Header.Set("X-Deadline-Ms", fmt.Sprint(streamTimeoutMS))
				req.Header.Set("X-Key", callerKey)
				req.Header.Set("X-Token-Count", "714,96")
				resp, err := client.Do(req)
				if err != nil {
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body) // what callers get is not judged here
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					time.Sleep(sendInterval)
				}
			}
		})
	}
	wait.Wait()
}

// staleMapCase lets the demand for experts shift, and cuts the leader's VM off while it switches the idle
// group to another map. It looks for passes that begin with two maps. Without the trouble nothing is cut.
func staleMapCase(rec *recorder, dir string, trouble bool) (bool, error) {
	routes := []standin.Route{{Name: "corrective-action", Host: callerHost, Prefix: "/volo102/", Kind: standin.KindStream, Service: engineService, TimeoutMS: streamTimeoutMS}}
	f, err := newFleet(dir, []string{engineService}, routes)
	if err != nil {
		return false, err
	}
	config := standin.Config(7, callerTeam, callerKey, []string{engineService}, routes)
	config["limits"] = map[string]int{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
	config["services"] = []any{map[string]any{"name": engineService, "engine": map[string]any{
		"slots": groupSlots, "stride": 4, "step_ms": 4.55, "per_seq_ms": 0.905, "read_per_s": 61400,
		"usual": map[string]any{"prompt": 847, "answer": 96}, "sets": groupSets, "experts": groupExperts, "placements": placesPerRank,
		"spare": spareExperts, "expert-mb": 2200, "link-mbps": 180000, "expert-share": 0.85,
	}}}
	f.store.PutConfig(config)
	g := newMapGroup(rec)
	a, err := startAgents(f, g, config)
	if a != nil {
		defer a.stop()
	}
	if err != nil {
		return false, err
	}
	if err := f.start(0); err != nil {
		return false, err
	}
	defer f.stop()
	time.Sleep(agentsTime)

	var cuts atomic.Int32
	var mayCut atomic.Bool
	cutEnded := make(chan struct{}, 1)
	g.onArm = func(rank int, idle bool) {
		if !trouble || !idle || rank == 0 || !mayCut.CompareAndSwap(true, false) {
			return
		}
		cuts.Add(1)
		a.link.cut()
		rec.printf("the VM of rank 0 is cut off from the other VMs")
		time.AfterFunc(cutTime, func() {
			a.link.heal()
			rec.printf("the VM of rank 0 is connected again")
			cutEnded <- struct{}{}
		})
	}
	for round := 1; round <= rounds && g.state().mixed == 0; round++ {
		g.shiftDemand(round * demandStep)
		stop := newStopper()
		g.onCopy = stop.close
		mayCut.Store(true)
		timer := time.AfterFunc(burstTime, stop.close)
		burst(f, stop.closed)
		timer.Stop()
		rec.printf("round %d: no more requests", round)
		select {
		case <-cutEnded:
		case <-time.After(quietTime):
		}
		mayCut.Store(false)
		time.Sleep(quietTime)
		s := g.state()
		rec.printf("round %d: the last pass is %d, armed ranks %v", round, s.step, s.armed)
		lastRequests(f)
	}
	s := g.state()
	rec.printf("%d passes, %d of them changed a map; the VM of rank 0 was cut off %d times for %.1f s", s.step, s.switched, cuts.Load(), cutTime.Seconds())
	rec.printf("passes that began with two maps: %d", s.mixed)
	for n := range g.ranks {
		for _, line := range a.logLines(n, "map switched", "switch ended", "left held", "let go") {
			rec.printf("log of rank %d: %s", n, line)
		}
	}
	switch {
	case s.switched == 0:
		return false, errors.New("the group never changed its map")
	case trouble && cuts.Load() == 0:
		return false, errors.New("the group never changed its map while it was idle")
	}
	return s.mixed > 0, nil
}

// stopper closes a channel once.
type stopper struct {
	closed chan struct{}
	once   sync.Once
}

func newStopper() *stopper { return &stopper{closed: make(chan struct{})} }

func (s *stopper) close() { s.once.Do(func() { close(s.closed) }) }

// lastRequests sends requests for a moment after the quiet time of a round, with the demand unchanged.
func lastRequests(f *fleet) {
	stop := newStopper()
	time.AfterFunc(burstTime/2, stop.close)
	burst(f, stop.closed)
}
