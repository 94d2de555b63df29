package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"text/template"
	"time"

	"github.com/heatherrail/heatherrail/platform"
	"github.com/heatherrail/heatherrail/platform/standin"
)

//go:embed names.json
var namesFile []byte

//go:embed settings.toml
var settingsFile string

// names are the platform's names of the headers that the stand-ins use.
var names struct {
	Seal     string `json:"seal"`
	Instance string `json:"instance"`
	Team     string `json:"team"`
	NotRun   string `json:"notRun"`
}

const (
	callerHost = "cuka3.example"
	callerKey  = "n2ctnfzs989anu6wsjnb"
	callerTeam = "hule930"
)

// fleet is one gateway process with stand-ins for the store and the targets.
type fleet struct {
	store   *standin.Store
	dir     string
	ip      string
	program string
	config  string
	log     *os.File

	callers, ready, directory string

	targets []*target
	cmd     *exec.Cmd
}

// target is an instance of a service, as its records in the store describe it.
type target struct {
	id, service, address string
	bornMS               int64
	sequence             uint64
}

// newFleet starts a store with a configuration.
func newFleet(dir string, services []string, routes []standin.Route) (*fleet, error) {
	if err := json.Unmarshal(namesFile, &names); err != nil {
		return nil, err
	}
	f := &fleet{store: standin.NewStore(), dir: dir, ip: fmt.Sprintf("127.%d.%d.1", 20+os.Getpid()/250%200, 1+os.Getpid()%250), program: "target/heatherrail-gateway"}
	config := standin.Config(7, callerTeam, callerKey, services, routes)
	config["limits"] = map[string]int{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
	f.store.PutConfig(config)
	return f, nil
}

// addTarget starts a target and its heartbeats.
func (f *fleet) addTarget(id, service string, handler http.Handler) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t := &target{id: id, service: service, address: ln.Addr().String(), bornMS: time.Now().UnixMilli()}
	// The handler gets the requests that are meant for this target.
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		if expected := r.Header.Get(names.Instance); expected != "" && expected != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		handler.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(ln) }() // runs until the process exits
	f.targets = append(f.targets, t)
	f.beat(t)
	return nil
}

// beat writes the record of a target.
func (f *fleet) beat(t *target) {
	t.sequence++
	fields := standin.TargetRecord{Service: t.service, Address: t.address, Zone: "hall-a", Sequence: t.sequence}.Fields()
	fields["born"] = t.bornMS
	f.store.PutTarget(t.id, fields)
}

const heartbeatInterval = 1200 * time.Millisecond

// start starts the gateway and waits until it is ready. maxFiles limits its descriptors; 0: no limit.
func (f *fleet) start(maxFiles int) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: f.store}).Serve(ln) }() // runs until the process exits
	ports, err := freePorts(f.ip, 4)
	if err != nil {
		return err
	}
	address := func(port int) string { return fmt.Sprintf("%s:%d", f.ip, port) }
	f.callers, f.ready, f.directory = address(ports[0]), address(ports[1]), address(ports[2])
	var text bytes.Buffer
	err = template.Must(template.New("settings").Parse(settingsFile)).Execute(&text, map[string]any{
		"IP": f.ip, "Callers": f.callers, "Ready": f.ready, "Directory": f.directory,
		"Peers": ports[3], "PeersLast": ports[3] + 15, "Store": ln.Addr().String(),
	})
	if err != nil {
		return err
	}
	f.config = filepath.Join(f.dir, "local.toml")
	if err := os.WriteFile(f.config, text.Bytes(), 0o600); err != nil {
		return err
	}
	if f.log, err = os.Create(filepath.Join(f.dir, "gateway.log")); err != nil {
		return err
	}
	f.cmd = exec.Command(f.program)
	if maxFiles > 0 {
		// The limit of the settings' max-fds, set by a shell for this one process.
		f.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", maxFiles, f.program))
	}
	f.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, platform.SettingsEnv + "=" + f.config}
	f.cmd.Stdout, f.cmd.Stderr = f.log, f.log
	f.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the case
	if err := f.cmd.Start(); err != nil {
		return err
	}
	go func() {
		for range time.Tick(heartbeatInterval) {
			for _, t := range f.targets {
				f.beat(t)
			}
		}
	}()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if resp, err := http.Get("http://" + f.ready + "/heatherrail/ready"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("gateway is not ready")
}

// stop ends the gateway.
func (f *fleet) stop() {
	if f.cmd != nil && f.cmd.Process != nil {
		_ = f.cmd.Process.Signal(syscall.SIGKILL)
		_ = f.cmd.Wait()
	}
}

// logLines returns the lines of the gateway's log that hold a text.
func (f *fleet) logLines(text string) (lines []string) {
	log, err := os.ReadFile(f.log.Name())
	if err != nil {
		return nil
	}
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// freePorts returns free ports of an address.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		ports = append(ports, ln.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func listenAt(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// serveOnLoopback serves a handler until the process exits, and returns its address.
func serveOnLoopback(handler http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(ln) }() // runs until the process exits
	return ln.Addr().String(), nil
}
