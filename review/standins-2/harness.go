// Command standins-2 holds the cases of the second review that are no days of the bench. It starts the project's programs
// as separate processes on loopback addresses, with stand-ins for the store, the targets and the callers.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/heatherrail/heatherrail/platform"
	"github.com/heatherrail/heatherrail/platform/standin"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitInvalid = 2
)

// world is what a case has started.
type world struct {
	dir     string
	trouble bool
	started time.Time
	store   *standin.Store
	storeAt string

	mu     sync.Mutex
	record *os.File
	procs  []*process
}

// process is one program of the project.
type process struct {
	name     string
	program  string
	settings string
	log      *os.File
	pid      atomic.Int64

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended bool // the case is over: the process is not started again
}

func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: f, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0", store: standin.NewStore()}
	if w.storeAt, err = serve("127.0.0.1:0", w.store); err != nil {
		return nil, err
	}
	return w, nil
}

// ctx returns the context of calls that have no other limit.
func (w *world) ctx() context.Context { return context.Background() }

// note writes a line to the record of the case.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%9.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// noteLines writes the lines of a text to the record.
func (w *world) noteLines(text string) {
	for line := range strings.SplitSeq(strings.TrimSpace(text), "\n") {
		w.note("%s", line)
	}
}

// serve serves HTTP at an address until the process ends.
func serve(address string, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(ln) }()
	return ln.Addr().String(), nil
}

// freePorts returns ports that are free at all of some addresses.
func freePorts(hosts []string, count int) ([]int, error) {
	var ports []int
	for port := 21000 + os.Getpid()%9000; len(ports) < count && port < 32000; port++ {
		if isFree(hosts, port) {
			ports = append(ports, port)
		}
	}
	if len(ports) < count {
		return nil, fmt.Errorf("%d free ports not found", count)
	}
	return ports, nil
}

func isFree(hosts []string, port int) bool {
	for _, host := range hosts {
		ln, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", host, port))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// start starts a program of the deploy file with these settings.
func (w *world) start(program, name, settings string) (*process, error) {
	p := &process{name: name, program: program, settings: filepath.Join(w.dir, name+".toml")}
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	var err error
	if p.log, err = os.Create(filepath.Join(w.dir, name+".log")); err != nil {
		return nil, err
	}
	w.procs = append(w.procs, p)
	return p, p.run()
}

// errEnded is the error of a start after the end of the case.
var errEnded = errors.New("the case has ended")

func (p *process) run() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return errEnded
	}
	p.cmd = exec.Command(p.program)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsEnv + "=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.pid.Store(int64(p.cmd.Process.Pid))
	return nil
}

// kill ends the process as a crash would.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stop()
}

// end ends the process for good.
func (p *process) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.stop()
}

// stop kills the process if it runs. The caller holds the lock.
func (p *process) stop() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(s)
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, p := range w.procs {
		p.end()
		_ = p.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}

// until waits for a condition and reports whether it came true.
func until(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "server" {
		os.Exit(serveUnframed(os.Args[2], os.Args[3]))
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		os.Exit(exitInvalid)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitInvalid)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitInvalid)
	}
	code, err := run(w)
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = exitInvalid
	}
	w.note("exit code %d", code)
	w.close()
	os.Exit(code)
}

// cases are the cases by name.
var cases = map[string]func(*world) (int, error){
	"maps":     maps,
	"promise":  promise,
	"version":  version,
	"term":     term,
	"unframed": unframed,
}

// Programs of the deploy file, relative to the root of the repository.
const (
	gatewayProgram = "target/heatherrail-gateway"
	rankProgram    = "target/heatherrail-rank"
)

// gatewayAt are the addresses of an entry.
type gatewayAt struct {
	*process
	callers, ready, directory string
}

// startGateway starts an entry at a loopback address and waits until it is ready.
func (w *world) startGateway(name, ip string, ports []int) (*gatewayAt, error) {
	at := func(i int) string { return fmt.Sprintf("%s:%d", ip, ports[i]) }
	g := &gatewayAt{callers: at(0), ready: at(1), directory: at(2)}
	settings := standin.EntrySettings{
		Name: name, IP: ip, PeerPort: ports[3], Callers: g.callers, Ready: g.ready, Directory: g.directory,
		Store: w.storeAt, GraceSeconds: 8, DrainSeconds: 2, MemoryMB: 284, MaxFiles: 4100,
	}
	var err error
	if g.process, err = w.start(gatewayProgram, name, settings.Text()); err != nil {
		return nil, err
	}
	if !until(15*time.Second, g.isReady) {
		return nil, fmt.Errorf("%s is not ready", name)
	}
	return g, nil
}

func (g *gatewayAt) isReady() bool {
	resp, err := http.Get("http://" + g.ready + "/heatherrail/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
