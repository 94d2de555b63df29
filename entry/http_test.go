package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/demo"
	"github.com/heatherrail/heatherrail/entry"
	"github.com/heatherrail/heatherrail/internal/fake"
	"github.com/heatherrail/heatherrail/logging"
	"github.com/heatherrail/heatherrail/result"
)

const testKey = "demo-key-of-the-team"

// smallConfig has one engine and one service.
var smallConfig = map[string]string{"small.ini": `
[fleet drafter]
kind = engine
[fleet logbook]
kind = plain
[target drafter-01]
fleet = drafter
data-centre = hall-a
[target logbook-01]
fleet = logbook
data-centre = hall-a
[service drafter]
fleet = drafter
model = draft
[service logbook]
fleet = logbook
[service secret]
fleet = logbook
[team kitchens]
key-hash = ` + config.HashKey(testKey) + `
services = drafter, logbook
`}

// logBuffer is a log in memory that can be read while it is written.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// startSmall starts a fleet with smallConfig. It returns the fleet, the address of its entry and its
// log.
func startSmall(t *testing.T) (*demo.Fleet, string, *logBuffer) {
	t.Helper()
	return startArrival(t, 0)
}

// startArrival starts a fleet as startSmall does, with an arrival timeout for requests.
func startArrival(t *testing.T, arrival time.Duration) (*demo.Fleet, string, *logBuffer) {
	t.Helper()
	cfg, err := config.Load(smallConfig)
	if err != nil {
		t.Fatal(err)
	}
	logged := new(logBuffer)
	f, err := demo.Start(demo.Options{Config: cfg, Entries: 1, StepTime: time.Millisecond, DirectoryTTL: time.Second, RequestTimeout: arrival, Logger: logging.New(logged, 4)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return f, f.Entries[0].Addr(), logged
}

// draft returns the body of a completion request.
func draft(prompt string, tokens int) string {
	return fmt.Sprintf(`{"model":"drafter","stream":true,"max_tokens":%d,"prompt":%q}`, tokens, prompt)
}

func newRequest(t *testing.T, method, addr, path, body string, headers ...string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return req
}

// Every invalid request must be rejected with its result code, "not run" and a logged request id,
// and no key or key hash may reach the log.
func TestInvalidRequestsAreRejected(t *testing.T) {
	_, addr, logged := startSmall(t)
	long := strings.Repeat("x", 256)
	cases := []struct {
		name, method, path, body string
		headers                  []string
		want                     result.Code
	}{
		{"unknown path", "GET", "/v2/none", "", nil, result.UnknownPath},
		{"wrong method", "DELETE", "/v1/chat/completions", "", nil, result.MethodNotAllowed},
		{"no key", "POST", "/v1/completions", draft("x", 1), []string{"Authorization", ""}, result.Unauthorized},
		{"wrong key", "POST", "/v1/completions", draft("x", 1), []string{"Authorization", "Bearer wrong-secret"}, result.Unauthorized},
		{"hash in place of the key", "POST", "/v1/completions", draft("x", 1), []string{"Authorization", "Bearer " + config.HashKey(testKey)}, result.Unauthorized},
		{"other authorization scheme", "GET", "/v1/models", "", []string{"Authorization", "Basic " + testKey}, result.Unauthorized},
		{"body is not JSON", "POST", "/v1/completions", "{", nil, result.BadRequest},
		{"unknown model", "POST", "/v1/completions", `{"model":"none"}`, nil, result.UnknownService},
		{"service of another team", "GET", "/v1/services/secret/x", "", nil, result.ServiceDenied},
		{"not repeatable without a key", "POST", "/v1/services/logbook/x", "", []string{entry.HeaderRepeatable, "no"}, result.KeyMissing},
		{"bad repeatable header", "POST", "/v1/services/logbook/x", "", []string{entry.HeaderRepeatable, "never"}, result.MalformedHeader},
		{"bad deadline", "POST", "/v1/services/logbook/x", "", []string{entry.HeaderDeadline, "-5"}, result.MalformedHeader},
		{"deadline above the limit", "POST", "/v1/services/logbook/x", "", []string{entry.HeaderDeadline, "2000000000"}, result.MalformedHeader},
		{"bad priority", "POST", "/v1/services/logbook/x", "", []string{entry.HeaderPriority, "1000"}, result.MalformedHeader},
		{"long key", "POST", "/v1/services/logbook/x", "", []string{entry.HeaderKey, long}, result.MalformedHeader},
		{"large body", "POST", "/v1/services/logbook/x", strings.Repeat("x", 5<<20), nil, result.BodyTooLarge},
		{"large headers", "GET", "/v1/models", "", []string{"X-Large", strings.Repeat("x", 20<<10)}, result.HeadersTooLarge},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			resp, err := http.DefaultClient.Do(newRequest(t, tc.method, addr, tc.path, tc.body, tc.headers...))
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			var body struct {
				Error struct {
					Message, Type, Run string
					Code               int
				}
			}
			g.Expect(json.NewDecoder(resp.Body).Decode(&body)).To(Succeed())
			g.Expect(body.Error.Code).To(Equal(int(tc.want)), body.Error.Message)
			g.Expect(body.Error.Run).To(Equal("not-run"))
			g.Expect(resp.StatusCode).To(Equal(tc.want.Info().Status))
			g.Expect(resp.Header.Get(entry.HeaderResult)).To(Equal(fmt.Sprint(int(tc.want))))
			g.Expect(resp.Header.Get(entry.HeaderRun)).To(Equal("not-run"))
			g.Expect(resp.Header.Get(entry.HeaderRequestID)).NotTo(BeEmpty())
			g.Expect(logged.String()).To(ContainSubstring(resp.Header.Get(entry.HeaderRequestID)))
		})
	}
	g := NewWithT(t)
	for _, secret := range []string{testKey, "wrong-secret", config.HashKey(testKey)} {
		g.Expect(logged.String()).NotTo(ContainSubstring(secret))
	}
}

// The only engine's agent is draining. The caller must learn that its request did not run and when
// to retry.
func TestDrainingTargetRejectsWithRetryAfter(t *testing.T) {
	g := NewWithT(t)
	f, addr, _ := startSmall(t)
	f.Agent("drafter-01").Drain()
	resp, err := http.DefaultClient.Do(newRequest(t, "POST", addr, "/v1/completions", draft("x", 1)))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Header.Get(entry.HeaderRun)).To(Equal("not-run"))
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(seconds).To(BeNumerically(">=", 1))
	g.Expect(f.Engines["drafter-01"].Runs()).To(BeEmpty())
}

// The HTTP library reuses its buffers for the next caller once a handler has returned. A request
// that still pointed into them would carry another caller's bytes.
func TestCallersNeverGetOtherCallersBytes(t *testing.T) {
	g := NewWithT(t)
	f, addr, _ := startSmall(t)
	const callers, rounds = 32, 6
	var wg sync.WaitGroup
	wrong := make(chan string, callers*rounds)
	for i := range callers {
		wg.Go(func() {
			client := &http.Client{Transport: new(http.Transport)}
			defer client.CloseIdleConnections()
			for j := range rounds {
				mark := fmt.Sprintf("caller-%d-%d-%s", i, j, strings.Repeat(string(rune('a'+i%26)), 50+i*j))
				if err := oneRound(t, client, addr, mark); err != nil {
					wrong <- err.Error()
				}
			}
		})
	}
	wg.Wait()
	close(wrong)
	for w := range wrong {
		t.Error(w)
	}
	seen := make(map[string]int)
	for _, r := range f.Plains["logbook-01"].Runs() {
		g.Expect(r.Body).To(Equal(r.Key))
		seen[r.Key]++
	}
	g.Expect(seen).To(HaveLen(callers * rounds))
}

// oneRound writes a log entry and requests a draft over one connection.
func oneRound(t *testing.T, client *http.Client, addr, mark string) error {
	for _, req := range []*http.Request{
		newRequest(t, "POST", addr, "/v1/services/logbook/entries?mark="+mark, mark, entry.HeaderRepeatable, "no", entry.HeaderKey, mark),
		newRequest(t, "POST", addr, "/v1/completions", draft(mark, 5)),
	} {
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return err
		}
		want := "mark=" + mark
		if req.URL.Path == "/v1/completions" {
			want = strings.Fields(fake.Generate(mark, 5))[4]
		}
		if resp.StatusCode != http.StatusOK || !strings.Contains(string(text), want) {
			return fmt.Errorf("%s: status %d: want %q in %q", req.URL.Path, resp.StatusCode, want, text)
		}
	}
	return nil
}

// A caller disconnects in the middle of its answer or before the answer begins. In the second case
// nothing is written to the caller, so only the watch on its connection can free the engine slot.
func TestCallerDisconnectFreesEngineSlot(t *testing.T) {
	g := NewWithT(t)
	f, addr, _ := startSmall(t)
	engine := f.Engines["drafter-01"]
	const callers = 20
	var conns []net.Conn
	for i := range callers {
		nc, err := net.Dial("tcp", addr)
		g.Expect(err).NotTo(HaveOccurred())
		conns = append(conns, nc)
		engine.Stall(i >= callers/2)
		body := draft("endless", 60000)
		fmt.Fprintf(nc, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
		if i < callers/2 {
			_, err = io.ReadFull(nc, make([]byte, 400))
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
	g.Eventually(engine.Active, time.Minute).Should(Equal(callers))
	for _, nc := range conns {
		g.Expect(nc.Close()).To(Succeed())
	}
	engine.Stall(false) // an engine drops cancelled requests at its next step
	g.Eventually(engine.Active, time.Minute).Should(BeZero())
	g.Eventually(func() string { return metricsText(f) }, time.Minute).
		Should(ContainSubstring(`heatherrail_results_total{reason="caller_gone"} `))
	g.Expect(engine.Runs()).To(HaveLen(callers))
}

func metricsText(f *demo.Fleet) string {
	var b strings.Builder
	_ = f.Metrics.Write(&b)
	return b.String()
}

// The engine dies in the middle of an answer. The caller must get an error event and then a closed
// connection, so the stream never looks complete.
func TestBrokenStreamEndsWithAnErrorEvent(t *testing.T) {
	g := NewWithT(t)
	f, addr, _ := startSmall(t)
	resp, err := http.DefaultClient.Do(newRequest(t, "POST", addr, "/v1/completions", draft("x", 60000)))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadFull(resp.Body, make([]byte, 100))
	g.Expect(err).NotTo(HaveOccurred())
	f.Targets["drafter-01"].Kill()
	text, err := io.ReadAll(resp.Body)
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	g.Expect(string(text)).To(ContainSubstring("event: error\ndata: {"))
	g.Expect(string(text)).To(ContainSubstring(`"run":"may-have-run"`))
	g.Expect(string(text)).NotTo(ContainSubstring("[DONE]"))
}

// Two requests arrive in one write. The watch on the connection reads the first byte of the second
// request, and that byte must not be lost.
func TestPipelinedRequestsAreAllAnswered(t *testing.T) {
	g := NewWithT(t)
	f, addr, _ := startSmall(t)
	nc, err := net.Dial("tcp", addr)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = nc.Close() }()
	const count = 5
	var all strings.Builder
	for i := range count {
		fmt.Fprintf(&all, "POST /v1/services/logbook/n?%d HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 1\r\n\r\n%d", i, testKey, i)
	}
	_, err = io.WriteString(nc, all.String())
	g.Expect(err).NotTo(HaveOccurred())
	br := bufio.NewReader(nc)
	for i := range count {
		resp, err := http.ReadResponse(br, nil)
		g.Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(text)).To(ContainSubstring(fmt.Sprintf("/n?%d", i)))
	}
	g.Expect(f.Plains["logbook-01"].Runs()).To(HaveLen(count))
}

// A stopping entry passed on requests that its own end cut off.
func TestStoppingEntryRefusesWhatItMayNotFinish(t *testing.T) {
	g := NewWithT(t)
	f, addr, _ := startSmall(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- f.Entries[0].Shutdown(ctx) }()
	send := func() (*http.Response, error) {
		req := newRequest(t, "POST", addr, "/v1/completions", draft("x", 1))
		req.Header.Set(entry.HeaderDeadline, "60000")
		return http.DefaultClient.Do(req)
	}
	g.Eventually(func() (int, error) {
		resp, err := send()
		if err != nil {
			return 0, err
		}
		defer func() { _ = resp.Body.Close() }()
		g.Expect(resp.Header.Get(entry.HeaderRun)).To(Equal(map[int]string{503: "not-run", 200: "ran"}[resp.StatusCode]))
		return resp.StatusCode, nil
	}, "2s", "50ms").Should(Equal(http.StatusServiceUnavailable))
	g.Expect(<-stopped).To(Succeed())
}
