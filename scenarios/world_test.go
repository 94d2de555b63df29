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

// patience bounds every wait for something that must happen.
const patience = 30 * time.Second

// world is the system of one scenario.
type world struct {
	dir   string
	desc  demo.Description
	keys  *testkeys.Authority // nil: plain
	procs map[string]*process
	vmIDs int

	mu      sync.Mutex
	entries []string // addresses for callers, live ones
	sent    []sent
	serial  int
	latest  caller // the request that was sent last
	batches map[string]*batch
	maps    map[string]string // by group, in use when an expert became popular
	owners  map[string]string // by group, entries that were frozen as its owner
}

// fleet EXAMPLE ENTRIES [tls] starts stand-ins, an agent for each target and
// entries, and waits until every entry reaches every target.
func (w *world) fleet(args []string) (string, error) {
	if len(args) < 2 {
		return "", errors.New("want: fleet EXAMPLE ENTRIES [tls]")
	}
	count, err := strconv.Atoi(args[1])
	if err != nil {
		return "", err
	}
	if len(args) > 2 {
		if w.keys, err = testkeys.NewAuthority(); err != nil {
			return "", err
		}
	}
	_, out, err := w.launch("standins", "heatherrail", "demo", "--standins-only", "--example", args[0])
	if err != nil {
		return "", err
	}
	if err := json.NewDecoder(out).Decode(&w.desc); err != nil {
		return "", fmt.Errorf("stand-ins: %w", err)
	}
	if err := w.writeOperator(args[0]); err != nil {
		return "", err
	}
	var names []string
	for target := range w.desc.Standins.Targets {
		names = append(names, target)
	}
	for i := range count {
		names = append(names, fmt.Sprintf("entry-%d", i+1))
	}
	if _, err := w.start(names); err != nil {
		return "", err
	}
	return "", w.awaitReady()
}

// start NAME… starts an entry (entry-N) or the agent of a target on a new VM.
func (w *world) start(names []string) (string, error) {
	for _, name := range names {
		if err := w.startOne(name); err != nil {
			return "", fmt.Errorf("%s: %w", name, err)
		}
	}
	return "", nil
}

func (w *world) startOne(name string) error {
	program, text := "heatherrail-entry", w.entrySettings(name)
	target, isAgent := w.desc.Standins.Targets[name]
	if isAgent {
		program, text = "heatherrail-agent", w.agentSettings(name, target)
	}
	role := "entry.heatherrail"
	if isAgent {
		role = "agent.heatherrail"
	}
	keys, err := w.writeKeys(name, role)
	if err != nil {
		return err
	}
	path := filepath.Join(w.dir, name+".ini")
	if err := os.WriteFile(path, []byte(text+keys), 0o600); err != nil {
		return err
	}
	p, _, err := w.launch(name, program, "--settings", path)
	if err != nil {
		return err
	}
	values, err := p.awaitStart()
	if err != nil {
		return err
	}
	w.vmIDs++
	p.vm = outside.VM{ID: fmt.Sprintf("vm-%d", w.vmIDs), Name: name, State: outside.StateLive, DataCentre: target.DataCentre}
	p.vm.Role, p.vm.Address = outside.RoleTarget, values["listen"]
	if !isAgent {
		p.vm.Role, p.vm.Callers = outside.RoleEntry, values["callers"]
		p.vm.DataCentre = w.anyDataCentre()
		w.addEntry(p)
	}
	body, err := json.Marshal(p.vm)
	if err != nil {
		return err
	}
	return w.control(http.MethodPut, "/vms", string(body))
}

// writeOperator writes what the operators' tool needs: heatherrail.ini, and the
// example's files in config/.
func (w *world) writeOperator(example string) error {
	keys, err := w.writeKeys("operator", "tool.heatherrail")
	if err != nil {
		return err
	}
	files, err := examples.Files(example)
	if err != nil {
		return err
	}
	dir := filepath.Join(w.dir, "config")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	files["heatherrail.ini"] = w.platformSettings() + keys
	for name, text := range files {
		path := filepath.Join(dir, filepath.Base(name))
		if name == "heatherrail.ini" {
			path = filepath.Join(w.dir, name)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// race BASE DIR… applies all directories at once, on the same version, and prints
// what each operator was told.
func (w *world) race(args []string) (string, error) {
	told := make([]string, len(args)-1)
	var operators sync.WaitGroup
	for i, dir := range args[1:] {
		operators.Go(func() {
			cmd := exec.Command(filepath.Join(binDir, "heatherrail"), "apply", "--base", args[0], "--wait", "5s", dir)
			cmd.Dir = w.dir
			out, err := cmd.CombinedOutput()
			told[i] = fmt.Sprintf("%s: %s%v", dir, out, err)
		})
	}
	operators.Wait()
	return strings.Join(told, "\n"), nil
}

func (w *world) anyDataCentre() string {
	for _, t := range w.desc.Standins.Targets {
		return t.DataCentre
	}
	return ""
}

func (w *world) entrySettings(name string) string {
	return fmt.Sprintf("[entry]\nname = %s\ndata-centre = %s\ncallers = 127.0.0.1:0\nlisten = 127.0.0.1:0\nanswer-life = 1s\nshutdown-deadline = 20s\n%s",
		name, w.anyDataCentre(), w.platformSettings())
}

func (w *world) agentSettings(name string, t demo.TargetDescription) string {
	return fmt.Sprintf("[agent]\ntarget = %s\ndata-centre = %s\nlisten = 127.0.0.1:0\nbackend = %s\nkind = %s\nshutdown-deadline = 20s\n%s",
		name, t.DataCentre, t.Address, t.Kind, w.platformSettings())
}

func (w *world) platformSettings() string {
	return fmt.Sprintf("[platform]\nlog = %s\nvms = %s\n", w.desc.Standins.Platform, w.desc.Standins.Platform)
}

func (w *world) writeKeys(name, role string) (string, error) {
	if w.keys == nil {
		return "", nil
	}
	dir := filepath.Join(w.dir, name+"-keys")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	f, err := w.keys.Write(dir, role)
	return fmt.Sprintf("[tls]\ncert = %s\nkey = %s\nca = %s\n", f.Cert, f.Key, f.CA), err
}

// ready waits until every live entry reaches every target.
func (w *world) ready([]string) (string, error) { return "", w.awaitReady() }

// awaitReady waits until every entry reaches every target and may dispatch what
// must not run twice.
func (w *world) awaitReady() error {
	want := fmt.Sprintf("heatherrail_targets_linked %d", len(w.desc.Standins.Targets))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for _, addr := range w.entries {
		for {
			text, err := get(ctx, "http://"+addr+"/metrics")
			if err == nil && strings.Contains(text, want+"\n") && strings.Contains(text, "heatherrail_registered 1\n") {
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

// counter PREFIX prints the counters of all live entries that begin with it.
func (w *world) counter(args []string) (string, error) {
	var out strings.Builder
	for _, addr := range w.entries {
		text, err := get(context.Background(), "http://"+addr+"/metrics")
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

// fault METHOD PATH asks the stand-ins' control address, see docs/STANDINS.md.
func (w *world) fault(args []string) (string, error) {
	return "", w.control(args[0], args[1], "")
}

func (w *world) control(method, path, body string) error {
	req, err := http.NewRequest(method, "http://"+w.desc.Standins.Control+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	_, err = do(req)
	return err
}

func get(ctx context.Context, url string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", err
	}
	return do(req)
}

func do(req *http.Request) (string, error) {
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

func (w *world) addEntry(p *process) {
	if p.vm.Callers == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = append(w.entries, p.vm.Callers)
}

func (w *world) forgetEntry(p *process) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var rest []string
	for _, addr := range w.entries {
		if addr != p.vm.Callers {
			rest = append(rest, addr)
		}
	}
	w.entries = rest
}

func (w *world) close() {
	for _, p := range w.procs {
		_ = p.cmd.Process.Kill() // those that have ended need nothing
		<-p.done
	}
}
