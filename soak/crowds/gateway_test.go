package crowds

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/platform"
	"github.com/heatherrail/heatherrail/platform/standin"
)

// Limits of the configuration on the requests of callers, as on the users' sheets.
const (
	maxHeadBytes  = 16 << 10
	maxBodyBytes  = 4 << 20
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
)

// lowered are the limits of a process in most tests: small enough for a small crowd to break them.
var lowered = limits{memoryMB: 96, files: 400}

const (
	host = "h.example"
	team = "team"
	key  = "key"
)

// Services of the deployment, each with one target and a route of the same name: plain answers at once, held after a while.
const (
	plainRoute = "/plain/"
	heldRoute  = "/held/"
)

// deployment is one gateway process with stand-ins of the store and the targets.
type deployment struct {
	*process
	t                                *testing.T
	store                            *standin.Store
	plain, held                      *standin.FixedTarget
	callers, ready, directory, peers string
	metrics                          string
	requests                         atomic.Int64
}

const metricsPort = 9464

// options of a deployment; zero values stand for those of the users' sheets.
type options struct {
	limits        limits
	maxBodyBytes  int
	headerTimeout time.Duration
}

// lastHost numbers the loopback addresses of the processes, since each serves its metrics on the same port.
var lastHost atomic.Int64

func nextIP() string { return fmt.Sprintf("127.77.%d.%d", os.Getpid()%250, 1+lastHost.Add(1)) }

func serveHTTP(t *testing.T, h http.Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

// startStore starts a store with a configuration and one target for each service.
func (d *deployment) startStore(o options) string {
	d.plain, d.held = &standin.FixedTarget{ID: "plain-1"}, &standin.FixedTarget{ID: "held-1"}
	d.store = standin.NewStore()
	config := standin.Config(7, team, key, []string{"plain", "held"}, []standin.Route{
		{Name: "plain", Host: host, Prefix: plainRoute, Kind: standin.KindIdempotent, Service: "plain", TimeoutMS: 20000},
		{Name: "held", Host: host, Prefix: heldRoute, Kind: standin.KindNonIdempotent, Service: "held", TimeoutMS: 20000},
	})
	d.store.PutConfig(standin.WithLimits(config, maxHeadBytes, o.maxBodyBytes, o.headerTimeout, idleTimeout))
	stop := make(chan struct{})
	d.t.Cleanup(func() { close(stop) })
	for service, target := range map[string]*standin.FixedTarget{"plain": d.plain, "held": d.held} {
		target.AnswerBytes.Store(64)
		record := standin.TargetRecord{Service: service, Address: serveHTTP(d.t, target)}
		d.store.PutTarget(target.ID, record.Fields())
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(heartbeatInterval):
					record.Sequence++
					d.store.PutTarget(target.ID, record.Fields())
				}
			}
		}()
	}
	return serveHTTP(d.t, d.store)
}

const heartbeatInterval = 400 * time.Millisecond

// startGateway starts a gateway and waits until it is ready and knows the targets: it is ready without them, and refuses requests as not run.
func startGateway(t *testing.T, o options) *deployment {
	t.Helper()
	if o.limits == (limits{}) {
		o.limits = lowered
	}
	if o.maxBodyBytes == 0 {
		o.maxBodyBytes = maxBodyBytes
	}
	if o.headerTimeout == 0 {
		o.headerTimeout = headerTimeout
	}
	g := NewWithT(t)
	d := &deployment{t: t}
	ip := nextIP()
	ports := freePorts(t, ip, 4)
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	d.callers, d.ready, d.directory, d.peers = address(ports[0]), address(ports[1]), address(ports[2]), address(ports[3])
	d.metrics = address(metricsPort)
	settings := standin.EntrySettings{
		Name: "entry-1", IP: ip, PeerPort: ports[3], Callers: d.callers, Ready: d.ready, Directory: d.directory,
		Store: d.startStore(o), GraceSeconds: 4, DrainSeconds: 2, MemoryMB: o.limits.memoryMB, MaxFiles: o.limits.files,
	}
	file := filepath.Join(t.TempDir(), "settings.toml")
	g.Expect(os.WriteFile(file, []byte(settings.Text()), 0o600)).To(Succeed())
	d.process = start(t, o.limits, program(t, "heatherrail-gateway"), nil, []string{platform.SettingsEnv + "=" + file})
	g.Eventually(d.isReady, startTimeout, sampleInterval).Should(BeTrue(), "the gateway is ready")
	for _, target := range []string{d.plain.ID, d.held.ID} {
		g.Eventually(d.knowsTarget, startTimeout, sampleInterval).WithArguments(target).Should(BeTrue(), "the gateway knows target %s", target)
	}
	return d
}

// knowsTarget reports whether the gateway has logged that it knows a target.
func (d *deployment) knowsTarget(id string) bool {
	text, _ := os.ReadFile(d.log)
	return strings.Contains(string(text), `event="target known" target=`+id+" ")
}

const startTimeout = 20 * time.Second

func (d *deployment) isReady() bool {
	return getStatus("http://"+d.ready+"/heatherrail/ready") == http.StatusOK
}

// getStatus returns the status of a GET on a connection of its own; 0: no response.
func getStatus(url string) int {
	client := http.Client{Timeout: answerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// answerTimeout is how long an ordinary caller waits before it asks again. It bounds no test: an ordinary request is
// repeated, as callers do.
const answerTimeout = 5 * time.Second

// ordinaryAnswered sends a small request on a connection of its own and reports whether it is answered whole.
func (d *deployment) ordinaryAnswered() bool {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	r := standin.Send(transport, d.callers, standin.Request{
		Host: host, Path: plainRoute + "x", ID: fmt.Sprintf("ordinary-%d", d.requests.Add(1)), Key: key, Timeout: answerTimeout,
	})
	return r.Status == http.StatusOK && r.Complete && r.HasSeal
}

// patience is how long an ordinary caller goes on asking until it counts as not served.
const patience = 30 * time.Second

// expectService checks that an ordinary request is answered, and those to the readiness check, the directory and the metrics.
func (d *deployment) expectService(when string) {
	d.t.Helper()
	g := NewWithT(d.t)
	g.Eventually(d.ordinaryAnswered, patience).Should(BeTrue(), "an ordinary request %s", when)
	g.Eventually(d.isReady, patience).Should(BeTrue(), "the readiness check %s", when)
	g.Eventually(getStatus, patience).WithArguments("http://"+d.directory+"/heatherrail/resolve?name="+host+"&zone=z").
		Should(Equal(http.StatusOK), "the directory %s", when)
	g.Eventually(getStatus, patience).WithArguments("http://"+d.metrics+"/metrics").Should(Equal(http.StatusOK), "the metrics %s", when)
}
