package crowds

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/demo"
	"github.com/heatherrail/heatherrail/examples"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/wire"
)

// Limits of the processes of our own form. The memory is twice the default of caller-memory.
var ownForm = limits{memoryMB: 256, files: 400}

const (
	ownService = "logbook"
	ownMaxBody = 4 << 20
)

// ownDeployment is one entry of our own form with the agents of all targets, and stand-ins.
type ownDeployment struct {
	t         *testing.T
	standins  *demo.Standins
	key       string
	entry     *process
	callers   string
	agent     *process // of one target
	agentAddr string
}

// startOwn starts the processes of our own form and waits until a request is served.
func startOwn(t *testing.T) *ownDeployment {
	t.Helper()
	g := NewWithT(t)
	d := &ownDeployment{t: t}
	d.key = examples.DemoKey(team)
	cfg, err := config.Load(map[string]string{
		"fleets.ini":   fmt.Sprintf("[fleet %s]\nkind = plain\n\n[target %s-01]\nfleet = %s\ndata-centre = hall-a\n", ownService, ownService, ownService),
		"services.ini": fmt.Sprintf("[service %s]\nfleet = %s\n", ownService, ownService),
		"teams.ini":    fmt.Sprintf("[team %s]\nkey-hash = %s\nservices = %s\n", team, config.HashKey(d.key), ownService),
	})
	g.Expect(err).NotTo(HaveOccurred())
	d.standins, err = demo.StartStandins(cfg, time.Millisecond)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(d.standins.Close)
	platform := fmt.Sprintf("[platform]\nlog = %s\nvms = %s\n", d.standins.Platform, d.standins.Platform)
	dir := t.TempDir()
	for name, target := range d.standins.Describe().Standins.Targets {
		p, values := d.start(dir, "heatherrail-agent", name, fmt.Sprintf(
			"[agent]\ntarget = %s\ndata-centre = %s\nlisten = 127.0.0.1:0\nbackend = %s\nkind = %s\nmetrics = %s\n%s",
			name, target.DataCentre, target.Address, target.Kind, fmt.Sprintf("127.0.0.1:%d", freePorts(t, "127.0.0.1", 1)[0]), platform))
		d.standins.VMs.Put(outside.VM{ID: name, Name: name, State: outside.StateLive, DataCentre: target.DataCentre, Role: outside.RoleTarget, Address: values["listen"]})
		d.agent, d.agentAddr = p, values["listen"]
	}
	dataCentre := cfg.Targets[0].DataCentre
	var values map[string]string
	d.entry, values = d.start(dir, "heatherrail-entry", "entry-1", fmt.Sprintf(
		"[entry]\nname = entry-1\ndata-centre = %s\ncallers = 127.0.0.1:0\nlisten = 127.0.0.1:0\nmax-callers = 64\nmax-body = 4MB\nrequest-timeout = 5m\n%s", dataCentre, platform))
	d.callers = values["callers"]
	d.standins.VMs.Put(outside.VM{ID: "entry-1", Name: "entry-1", State: outside.StateLive, DataCentre: dataCentre, Role: outside.RoleEntry, Address: values["listen"], Callers: d.callers})
	g.Expect(d.standins.Apply()).To(Succeed())
	g.Eventually(d.ordinaryAnswered, startTimeout, sampleInterval).Should(BeTrue())
	return d
}

var startedValue = regexp.MustCompile(`(\S+?)=("[^"]*"|\S+)`)

// start starts a program with its settings and returns the values of the event "started" of its log.
func (d *ownDeployment) start(dir, name, instance, settings string) (*process, map[string]string) {
	d.t.Helper()
	g := NewWithT(d.t)
	file := filepath.Join(dir, instance+".ini")
	g.Expect(os.WriteFile(file, []byte(settings), 0o600)).To(Succeed())
	p := start(d.t, ownForm, program(d.t, name), []string{"--settings", file}, nil)
	values := make(map[string]string)
	g.Eventually(func() map[string]string {
		text, _ := os.ReadFile(p.log)
		for line := range strings.Lines(string(text)) {
			if strings.Contains(line, "event=started") {
				for _, m := range startedValue.FindAllStringSubmatch(line, -1) {
					values[m[1]] = m[2]
				}
			}
		}
		return values
	}, startTimeout, sampleInterval).Should(HaveKey("listen"))
	return p, values
}

// ordinaryAnswered sends a small request on a connection of its own and reports whether it is answered whole.
func (d *ownDeployment) ordinaryAnswered() bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+d.callers+"/v1/services/"+ownService+"/x", strings.NewReader("x"))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+d.key)
	client := http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// expectSurvives checks that ordinary requests are answered with the crowd there and after it, and that the entry has stayed within its limits.
func (d *ownDeployment) expectSurvives(c *crowd) {
	d.t.Helper()
	g := NewWithT(d.t)
	g.Eventually(d.ordinaryAnswered, patience).Should(BeTrue(), "an ordinary request with the crowd there")
	c.leave()
	g.Eventually(d.ordinaryAnswered, patience).Should(BeTrue(), "an ordinary request afterwards")
	d.entry.expectWithinLimits()
}

// ownHead returns the head of a request to an entry of our own form.
func (d *ownDeployment) ownHead(line string) []byte {
	return fmt.Appendf(nil, "POST /v1/services/%s/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n", ownService, d.key, line)
}

// Bodies that are announced or not finished must not use up the memory of an entry of our own form.
func TestUnfinishedBodiesAtOwnEntry(t *testing.T) {
	d := startOwn(t)
	for name, act := range map[string]func(cl *client){
		"announced chunk": func(cl *client) { cl.send(d.ownHead(chunked), fmt.Appendf(nil, "%x\r\nabc", ownMaxBody)) },
		"announced body":  func(cl *client) { cl.send(d.ownHead(announced(ownMaxBody)), []byte("x")) },
		"unfinished body": func(cl *client) { cl.send(d.ownHead(announced(ownMaxBody)), make([]byte, ownMaxBody-1)) },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrowd(t, d.callers, addresses...)
			for range 3 { // as many connections as it takes
				c.come(60, func(_ int, cl *client) { act(cl) })
			}
			d.expectSurvives(c)
		})
	}
}

// Silent connections, parts of heads and idle connections must not keep the connections of an entry of our own form.
func TestSilentConnectionsToOwnEntry(t *testing.T) {
	d := startOwn(t)
	for name, act := range map[string]func(cl *client){
		"silent": func(*client) {},
		"part":   func(cl *client) { cl.send([]byte("POST /v1/services/x HTTP/1.1\r\nHost")) },
		"idle": func(cl *client) {
			cl.send([]byte("GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n"))
			cl.response(answerTimeout)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCrowd(t, d.callers, addresses...)
			c.come(300, func(_ int, cl *client) { act(cl) })
			d.expectSurvives(c)
		})
	}
}

// A body at the limit is served by an entry of our own form.
func TestBodyAtTheLimitOfOwnEntry(t *testing.T) {
	d := startOwn(t)
	for name, c := range map[string]struct {
		bytes  int
		status int
	}{"limit": {ownMaxBody, http.StatusOK}, "one byte more": {ownMaxBody + 1, http.StatusRequestEntityTooLarge}} {
		t.Run(name, func(t *testing.T) {
			crowd := newCrowd(t, d.callers)
			crowd.come(3, func(_ int, cl *client) { cl.send(d.ownHead(announced(c.bytes)), make([]byte, c.bytes)) })
			NewWithT(t).Expect(crowd.statuses(answerTimeout)).To(Equal(map[int]int{c.status: 3}))
		})
	}
	d.entry.expectWithinLimits()
}

// silentEntry is an entry that does nothing with what an agent sends.
type silentEntry struct{}

// ServeStream implements wire.Handler.
func (silentEntry) ServeStream(context.Context, *wire.Stream, wire.Method, []byte) {}

// ServeNote implements wire.Handler.
func (silentEntry) ServeNote(*wire.Conn, wire.Note, []byte) {}

// connectsToAgent connects to the agent as an entry.
func (d *ownDeployment) connectsToAgent() error {
	nc, err := net.Dial("tcp", d.agentAddr)
	if err != nil {
		return err
	}
	conn, err := wire.Client(nc, wire.Hello{Name: "entry-2", Role: wire.RoleEntry, Incarnation: 1}, silentEntry{}, wire.Options{})
	if err != nil {
		return err
	}
	conn.Close()
	return nil
}

// Connections to an agent of our own form that send nothing must not keep an entry out: it connects at its first try.
func TestHeldConnectionsToOwnAgent(t *testing.T) {
	d := startOwn(t)
	c := newCrowd(t, d.agentAddr, addresses...)
	c.come(300, nil)
	g := NewWithT(t)
	g.Expect(d.connectsToAgent()).To(Succeed())
	c.leave()
	g.Eventually(d.connectsToAgent, patience).Should(Succeed())
	d.agent.expectWithinLimits()
}

// Clients that connect to an agent of our own form again whenever it closes their connection, and send nothing, must not keep entries out.
func TestSilentConnectionsToOwnAgent(t *testing.T) {
	d := startOwn(t)
	g := NewWithT(t)
	var crowd sync.WaitGroup
	var left atomic.Bool
	var open [300]atomic.Pointer[client]
	for i := range open {
		crowd.Go(func() {
			for !left.Load() {
				cl, err := dial(d.agentAddr, addresses[i%len(addresses)])
				if err != nil {
					continue
				}
				open[i].Store(cl)
				if left.Load() {
					_ = cl.Close()
				}
				_, _ = io.Copy(io.Discard, cl) // until the connection is closed
				_ = cl.Close()
			}
		})
	}
	leave := sync.OnceFunc(func() {
		left.Store(true)
		for i := range open {
			if cl := open[i].Load(); cl != nil {
				_ = cl.Close()
			}
		}
		crowd.Wait()
	})
	t.Cleanup(leave)
	time.Sleep(time.Second) // the crowd takes what it can
	g.Eventually(d.connectsToAgent, patience, "20ms").Should(Succeed())
	leave()
	g.Eventually(d.connectsToAgent, patience).Should(Succeed())
	d.agent.expectWithinLimits()
}
