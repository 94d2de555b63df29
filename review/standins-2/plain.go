package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/platform/standin"
)

// Names and figures of the cases with plain services.
const (
	logService       = "logbook"
	logHost          = "clarach.example"
	logTeam          = "kitchens"
	logKey           = "key-of-kitchens"
	logTimeout       = 4 * time.Second
	serversOfService = 3
	workTime         = 20 * time.Millisecond
	callerInterval   = 50 * time.Millisecond
)

// plainServer is a server of a plain service. It runs each request that is meant for it and answers with its seal.
type plainServer struct {
	w       *world
	id      string
	service string
	address string
	version string // of its weights
	fails   func() bool

	mu  sync.Mutex
	ran map[string]string // bodies of the requests that ran, by request id
}

func (w *world) startServer(service, id string) (*plainServer, error) {
	s := &plainServer{w: w, id: id, service: service, version: "1", ran: make(map[string]string)}
	var err error
	if s.address, err = serve("127.0.0.1:0", s); err != nil {
		return nil, err
	}
	w.store.PutTarget(id, standin.TargetRecord{Service: service, Address: s.address, Sequence: 1}.Fields())
	go func() {
		for sequence := uint64(2); ; sequence++ {
			time.Sleep(time.Second)
			w.store.PutTarget(id, standin.TargetRecord{Service: service, Address: s.address, Sequence: sequence}.Fields())
		}
	}()
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *plainServer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", id)
	rw.Header().Set("X-Weight-Versions", s.version)
	if instance := r.Header.Get(instanceHeader); instance != "" && instance != s.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if version := r.Header.Get("X-Expect-Version"); version != "" && version != s.version {
		s.w.note("%s: request %s expects version %s, not run, 421", s.id, id, version)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.ran[id] = string(body)
	s.mu.Unlock()
	s.w.note("%s runs %s", s.id, id)
	time.Sleep(workTime)
	rw.Header().Set(sealHeader, "seal-"+s.id)
	if s.fails != nil && s.fails() {
		s.w.note("%s: request %s has run and failed: 503 without a statement that it did not run", s.id, id)
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(rw, standin.PlainAnswer(id)) // fails only if the caller has disconnected
}

func (s *plainServer) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.ran[id]
	return ok
}

// answered is an attempt of a caller.
type answered struct {
	id, body, kind string
	status         int
}

// callers send requests and keep the answers.
type callers struct {
	w     *world
	entry *gatewayAt

	mu      sync.Mutex
	answers []answered
	open    sync.WaitGroup
}

// send sends one attempt and returns the status, 0 if there was no answer.
func (c *callers) send(t *http.Transport, kind, path, id, body string) int {
	answer := standin.Send(t, c.entry.callers, standin.Request{Host: logHost, Path: path, ID: id, Key: logKey, Timeout: logTimeout, Body: body})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, answered{id: id, body: body, kind: kind, status: answer.Status})
	c.w.note("%s (%q) was sent, answered %d", id, body, answer.Status)
	return answer.Status
}

// sendFor sends requests of a kind at an interval. A request that is said not to have run is sent once more, under a new id.
func (c *callers) sendFor(d time.Duration, kind, path string) {
	c.open.Go(func() {
		for end, n := time.Now().Add(d), 0; time.Now().Before(end); n++ {
			time.Sleep(callerInterval)
			body := fmt.Sprintf("%s entry %d", kind, n)
			c.open.Go(func() {
				t := &http.Transport{DisableKeepAlives: true}
				if status := c.send(t, kind, path, fmt.Sprintf("%s-%d-a", kind, n), body); isPromise(status) {
					time.Sleep(100 * time.Millisecond)
					c.send(t, kind, path, fmt.Sprintf("%s-%d-b", kind, n), body)
				}
			})
		}
	})
}

// isPromise reports whether a status says that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Timing of the case "promise".
const (
	promiseRunTime = 20 * time.Second
	greyFrom       = 5 * time.Second
	greyFor        = 6500 * time.Millisecond
	greyShare      = 0.4
)

// promise has one of three servers fail a part of the requests that it runs, with 503.
func promise(w *world) (int, error) {
	ip := "127.0.0.81"
	ports, err := freePorts([]string{ip}, 4)
	if err != nil {
		return 0, err
	}
	w.store.PutConfig(standin.WithLimits(standin.Config(1, logTeam, logKey, []string{logService}, []standin.Route{
		{Name: "r-log", Host: logHost, Prefix: "/log/", Kind: standin.KindNonIdempotent, Service: logService, TimeoutMS: 2000},
	}), 16384, 4194304, 5*time.Second, 30*time.Second))
	var servers []*plainServer
	for n := range serversOfService {
		s, err := w.startServer(logService, fmt.Sprintf("i-log%d", n))
		if err != nil {
			return 0, err
		}
		servers = append(servers, s)
	}
	entry, err := w.startGateway("front-1", ip, ports)
	if err != nil {
		return 0, err
	}
	began := time.Now()
	if w.trouble {
		var mu sync.Mutex
		rng := rand.New(rand.NewPCG(1, 2))
		servers[0].fails = func() bool {
			mu.Lock()
			defer mu.Unlock()
			since := time.Since(began)
			return since > greyFrom && since < greyFrom+greyFor && rng.Float64() < greyShare
		}
	}
	c := &callers{w: w, entry: entry}
	c.sendFor(promiseRunTime, "log-entry", "/log/x")
	c.open.Wait()
	time.Sleep(time.Second)
	return c.judgePromises(servers)
}

// judgePromises counts the requests that have run although their callers were told that they have not.
func (c *callers) judgePromises(servers []*plainServer) (int, error) {
	broken, served := 0, 0
	runs := make(map[string]int) // of each body
	for _, s := range servers {
		for _, body := range s.ran {
			runs[body]++
		}
	}
	for _, a := range c.answers {
		if a.status == http.StatusOK {
			served++
		}
		if !isPromise(a.status) {
			continue
		}
		for _, s := range servers {
			if s.hasRun(a.id) {
				broken++
				c.w.note("REFUSED: request %s (%q) was answered %d and has run at %s", a.id, a.body, a.status, s.id)
			}
		}
	}
	doubled := 0
	for body, n := range runs {
		if n > 1 {
			doubled++
			c.w.note("%q ran %d times, as its caller sent it again", body, n)
		}
	}
	c.w.note("%d attempts, %d served, %d answered as not run and run, %d entries doubled", len(c.answers), served, broken, doubled)
	switch {
	case broken > 0:
		return exitBroken, nil
	case served < len(c.answers)/2:
		return 0, fmt.Errorf("%d of %d attempts served", served, len(c.answers))
	}
	return exitHeld, nil
}

// Timing of the case "version".
const (
	versionRunTime = 40 * time.Second
	versionFrom    = 3 * time.Second
	versionSends   = 4
	starvedShare   = 0.25
)

// version has one caller expect a version of the weights that no server has, a few times.
func version(w *world) (int, error) {
	ip := "127.0.0.81"
	ports, err := freePorts([]string{ip}, 4)
	if err != nil {
		return 0, err
	}
	w.store.PutConfig(standin.WithLimits(standin.Config(1, logTeam, logKey, []string{logService, "cards"}, []standin.Route{
		{Name: "r-log", Host: logHost, Prefix: "/log/", Kind: standin.KindIdempotent, Service: logService, TimeoutMS: 2000},
		{Name: "r-card", Host: logHost, Prefix: "/card/", Kind: standin.KindIdempotent, Service: "cards", TimeoutMS: 2000},
	}), 16384, 4194304, 5*time.Second, 30*time.Second))
	for n := range serversOfService {
		for _, service := range []string{logService, "cards"} {
			if _, err := w.startServer(service, fmt.Sprintf("i-%s%d", service, n)); err != nil {
				return 0, err
			}
		}
	}
	entry, err := w.startGateway("front-1", ip, ports)
	if err != nil {
		return 0, err
	}
	c := &callers{w: w, entry: entry}
	c.sendFor(versionRunTime, "sign-off", "/log/x")
	c.sendFor(versionRunTime, "card", "/card/x")
	if w.trouble {
		time.Sleep(versionFrom)
		for n := range versionSends {
			c.expectVersion(fmt.Sprintf("pinned-%d", n))
			time.Sleep(200 * time.Millisecond)
		}
	}
	c.open.Wait()
	return c.judgeShares()
}

// expectVersion sends one request that expects version 2.
func (c *callers) expectVersion(id string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.entry.callers+"/log/x", strings.NewReader("pinned"))
	if err != nil {
		return
	}
	req.Host = logHost
	for name, value := range map[string]string{"X-Request-Id": id, "X-Key": logKey, "X-Deadline-Ms": "4000", "X-Expect-Version": "2"} {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		c.w.note("request %s expects version 2: no answer", id)
		return
	}
	_ = resp.Body.Close()
	c.w.note("request %s expects version 2: answered %d", id, resp.StatusCode)
}

// judgeShares compares how often each kind of request was served with how often all were.
func (c *callers) judgeShares() (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	asked, served := make(map[string]int), make(map[string]int)
	first := make(map[string]bool)
	for _, a := range c.answers {
		key := a.kind + "/" + a.body
		if !first[key] {
			first[key] = true
			asked[a.kind]++
			asked[""]++
		}
		if a.status == http.StatusOK {
			served[a.kind]++
			served[""]++
		}
	}
	all := float64(served[""]) / float64(max(asked[""], 1))
	starved := false
	for kind, n := range asked {
		if kind == "" {
			continue
		}
		share := float64(served[kind]) / float64(n)
		c.w.note("%s: %d of %d served (%.3f); of all requests %.3f", kind, served[kind], n, share, all)
		starved = starved || share < starvedShare*all
	}
	switch {
	case starved:
		return exitBroken, nil
	case all < 0.9:
		return 0, fmt.Errorf("only %.3f of all requests were served", all)
	}
	return exitHeld, nil
}
