package scenarios

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/demo"
	"github.com/heatherrail/heatherrail/examples"
	"github.com/heatherrail/heatherrail/internal/testkeys"
	"github.com/heatherrail/heatherrail/outside"
)

// waitTimeout limits every wait for an expected event.
const waitTimeout = 30 * time.Second

// scenario is the system under test of one script, with the requests sent to it.
type scenario struct {
	dir         string
	description demo.Description
	authority   *testkeys.Authority // nil: connections without TLS
	procs       map[string]*process
	vmCount     int

	mu           sync.Mutex
	entries      []string // addresses for callers of the live entries
	requests     []sentRequest
	markerCount  int
	latest       caller // the latest request, for "repeat"
	batches      map[string]*batch
	mapsBefore   map[string]string // by group: the map in use at the latest "popular"
	pausedOwners map[string]string // by group: the lease holder that "owner pause" has paused
}

// fleet implements the command "fleet EXAMPLE ENTRIES [tls]": it starts stand-ins, an agent for
// each target and entries, and waits until every entry is ready.
func (sc *scenario) fleet(args []string) (string, error) {
	if len(args) < 2 {
		return "", errors.New("want: fleet EXAMPLE ENTRIES [tls]")
	}
	count, err := strconv.Atoi(args[1])
	if err != nil {
		return "", err
	}
	if len(args) > 2 {
		if sc.authority, err = testkeys.NewAuthority(); err != nil {
			return "", err
		}
	}
	_, out, err := sc.launch("standins", "heatherrail", "demo", "--standins-only", "--example", args[0])
	if err != nil {
		return "", err
	}
	if err := json.NewDecoder(out).Decode(&sc.description); err != nil {
		return "", fmt.Errorf("decode description of stand-ins: %w", err)
	}
	if err := sc.writeOperatorFiles(args[0]); err != nil {
		return "", err
	}
	var names []string
	for target := range sc.description.Standins.Targets {
		names = append(names, target)
	}
	for i := range count {
		names = append(names, fmt.Sprintf("entry-%d", i+1))
	}
	if _, err := sc.start(names); err != nil {
		return "", err
	}
	return "", sc.awaitReady()
}

// start implements the command "start NAME…": it starts an entry (entry-N) or the agent of a
// target, each on a new VM.
func (sc *scenario) start(names []string) (string, error) {
	for _, name := range names {
		if err := sc.startOne(name); err != nil {
			return "", fmt.Errorf("%s: %w", name, err)
		}
	}
	return "", nil
}

// startOne starts one process and adds its VM to the VM list.
func (sc *scenario) startOne(name string) error {
	program, text := "heatherrail-entry", sc.entrySettings(name)
	target, isAgent := sc.description.Standins.Targets[name]
	if isAgent {
		program, text = "heatherrail-agent", sc.agentSettings(name, target)
	}
	role := "entry.heatherrail"
	if isAgent {
		role = "agent.heatherrail"
	}
	keys, err := sc.writeKeys(name, role)
	if err != nil {
		return err
	}
	path := filepath.Join(sc.dir, name+".ini")
	if err := os.WriteFile(path, []byte(text+keys), 0o600); err != nil {
		return err
	}
	p, _, err := sc.launch(name, program, "--settings", path)
	if err != nil {
		return err
	}
	values, err := p.awaitStart()
	if err != nil {
		return err
	}
	sc.vmCount++
	p.vm = outside.VM{ID: fmt.Sprintf("vm-%d", sc.vmCount), Name: name, State: outside.StateLive, DataCentre: target.DataCentre}
	p.vm.Role, p.vm.Address = outside.RoleTarget, values["listen"]
	if !isAgent {
		p.vm.Role, p.vm.Callers = outside.RoleEntry, values["callers"]
		p.vm.DataCentre = sc.anyDataCentre()
		sc.addEntry(p)
	}
	body, err := json.Marshal(p.vm)
	if err != nil {
		return err
	}
	return sc.control(http.MethodPut, "/vms", string(body))
}

// writeOperatorFiles writes the files for the command-line tool: heatherrail.ini, and the files
// of the example in config/.
func (sc *scenario) writeOperatorFiles(example string) error {
	keys, err := sc.writeKeys("operator", "tool.heatherrail")
	if err != nil {
		return err
	}
	files, err := examples.Files(example)
	if err != nil {
		return err
	}
	dir := filepath.Join(sc.dir, "config")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	files["heatherrail.ini"] = sc.platformSettings() + keys
	for name, text := range files {
		path := filepath.Join(dir, filepath.Base(name))
		if name == "heatherrail.ini" {
			path = filepath.Join(sc.dir, name)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// race implements the command "race BASE DIR…": it applies all directories concurrently on the
// same base version, and prints the output of each apply.
func (sc *scenario) race(args []string) (string, error) {
	outputs := make([]string, len(args)-1)
	var operators sync.WaitGroup
	for i, dir := range args[1:] {
		operators.Go(func() {
			cmd := exec.Command(filepath.Join(binDir, "heatherrail"), "apply", "--base", args[0], "--wait", "5s", dir)
			cmd.Dir = sc.dir
			out, err := cmd.CombinedOutput()
			outputs[i] = fmt.Sprintf("%s: %s%v", dir, out, err)
		})
	}
	operators.Wait()
	return strings.Join(outputs, "\n"), nil
}

// anyDataCentre returns the data centre of one of the targets.
func (sc *scenario) anyDataCentre() string {
	for _, t := range sc.description.Standins.Targets {
		return t.DataCentre
	}
	return ""
}

func (sc *scenario) entrySettings(name string) string {
	return fmt.Sprintf("[entry]\nname = %s\ndata-centre = %s\ncallers = 127.0.0.1:0\nlisten = 127.0.0.1:0\nanswer-life = 1s\nshutdown-deadline = 20s\n%s",
		name, sc.anyDataCentre(), sc.platformSettings())
}

func (sc *scenario) agentSettings(name string, t demo.TargetDescription) string {
	return fmt.Sprintf("[agent]\ntarget = %s\ndata-centre = %s\nlisten = 127.0.0.1:0\nbackend = %s\nkind = %s\nshutdown-deadline = 20s\n%s",
		name, t.DataCentre, t.Address, t.Kind, sc.platformSettings())
}

func (sc *scenario) platformSettings() string {
	return fmt.Sprintf("[platform]\nlog = %s\nvms = %s\n", sc.description.Standins.Platform, sc.description.Standins.Platform)
}

// writeKeys writes the TLS files of a process and returns the [tls] section of its settings; ""
// without TLS.
func (sc *scenario) writeKeys(name, role string) (string, error) {
	if sc.authority == nil {
		return "", nil
	}
	dir := filepath.Join(sc.dir, name+"-keys")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	f, err := sc.authority.Write(dir, role)
	return fmt.Sprintf("[tls]\ncert = %s\nkey = %s\nca = %s\n", f.Cert, f.Key, f.CA), err
}

// ready implements the command "ready": it waits until every live entry is ready, see awaitReady.
func (sc *scenario) ready([]string) (string, error) { return "", sc.awaitReady() }

// awaitReady waits until every live entry is connected to every target and is registered. Only a
// registered entry may dispatch requests that must not run twice.
func (sc *scenario) awaitReady() error {
	wantLinked := fmt.Sprintf("heatherrail_targets_linked %d", len(sc.description.Standins.Targets))
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for _, addr := range sc.entries {
		for {
			text, err := httpGet(ctx, "http://"+addr+"/metrics")
			if err == nil && strings.Contains(text, wantLinked+"\n") && strings.Contains(text, "heatherrail_registered 1\n") {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("entry %s is not ready: %v\n%s", addr, err, text)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// counter implements the command "counter PREFIX": it prints the metrics of all live entries
// whose lines begin with PREFIX.
func (sc *scenario) counter(args []string) (string, error) {
	var out strings.Builder
	for _, addr := range sc.entries {
		text, err := httpGet(context.Background(), "http://"+addr+"/metrics")
		if err != nil {
			return "", err
		}
		for line := range strings.Lines(text) {
			if strings.HasPrefix(line, args[0]) {
				out.WriteString(line)
			}
		}
	}
	return out.String(), nil
}

// fault implements the command "fault METHOD PATH": it sends a request to the control address
// of the stand-ins, see docs/STANDINS.md.
func (sc *scenario) fault(args []string) (string, error) {
	return "", sc.control(args[0], args[1], "")
}

// control sends a request to the control address of the stand-ins.
func (sc *scenario) control(method, path, body string) error {
	req, err := http.NewRequest(method, "http://"+sc.description.Standins.Control+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	_, err = doRequest(req)
	return err
}

func httpGet(ctx context.Context, url string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	return doRequest(req)
}

// doRequest sends a request and returns the body of the response. It fails for any status but
// 200.
func doRequest(req *http.Request) (string, error) {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: status %d: %s", req.URL.Path, resp.StatusCode, text)
	}
	return string(text), err
}

// addEntry adds a process to the live entries if it is an entry.
func (sc *scenario) addEntry(p *process) {
	if p.vm.Callers == "" {
		return
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.entries = append(sc.entries, p.vm.Callers)
}

// removeEntry removes a process from the live entries, so that callers no longer use it.
func (sc *scenario) removeEntry(p *process) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	var remaining []string
	for _, addr := range sc.entries {
		if addr != p.vm.Callers {
			remaining = append(remaining, addr)
		}
	}
	sc.entries = remaining
}

func (sc *scenario) close() {
	for _, p := range sc.procs {
		_ = p.cmd.Process.Kill() // fails for processes that have ended
		<-p.done
	}
}
