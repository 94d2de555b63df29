package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/metrics"
	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/serving"
)

// testHeaders are header names that no platform uses, as the package must not depend on the names
// of a platform.
var testHeaders = HeaderNames{
	RequestID: "Rid", Deadline: "Left", Key: "Key", Team: "Team", Instance: "Run-Id",
	ResumeAfter: "After", Priority: "Prio", Tokens: "Tokens", LengthHint: "Hint", PromptParts: "Parts", Version: "Expect-Version",
}

// memStore is a store in memory that can be made unreachable, and can come back from an older copy.
type memStore struct {
	mu     sync.Mutex
	topics [serving.NumTopics][]serving.Record
	era    uint64
	isDown bool
	reads  int
}

// lengths returns the number of records of each topic, as a copy to which restore can go back.
func (s *memStore) lengths() (copied [serving.NumTopics]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.topics {
		copied[t] = len(s.topics[t])
	}
	return copied
}

// restore replaces the content of the store by an older copy.
func (s *memStore) restore(copied [serving.NumTopics]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for t, n := range copied {
		s.topics[t] = s.topics[t][:n:n]
	}
}

// positioned returns records with the positions of the current era.
func (s *memStore) positioned(records []serving.Record) []serving.Record {
	var list []serving.Record
	for _, r := range records {
		r.Offset = serving.PositionAt(s.era, r.Offset)
		list = append(list, r)
	}
	return list
}

var errStoreDown = errors.New("store is unreachable")

// Newest implements serving.Store.
func (s *memStore) Newest(_ context.Context, t serving.Topic) ([]serving.Record, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.isDown {
		return nil, 0, errStoreDown
	}
	newest := make(map[string]serving.Record)
	for _, r := range s.topics[t] {
		newest[r.Key] = r
	}
	var list []serving.Record
	for _, r := range newest {
		list = append(list, r)
	}
	return s.positioned(list), serving.PositionAt(s.era, uint64(len(s.topics[t]))), nil
}

// Changes implements serving.Store.
func (s *memStore) Changes(ctx context.Context, t serving.Topic, from serving.Position, wait time.Duration) ([]serving.Record, serving.Position, error) {
	end := time.Now().Add(wait)
	for {
		s.mu.Lock()
		if s.isDown {
			s.mu.Unlock()
			return nil, 0, errStoreDown
		}
		if serving.EraOf(from) != s.era {
			s.reads++
			s.mu.Unlock()
			return nil, 0, serving.ErrRestored
		}
		records, next := s.positioned(s.topics[t]), serving.PositionAt(s.era, uint64(len(s.topics[t])))
		s.mu.Unlock()
		if next > from || !time.Now().Before(end) || ctx.Err() != nil {
			return records[min(serving.OffsetOf(from), uint64(len(records))):], max(from, next), nil
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// Put implements serving.Store.
func (s *memStore) Put(_ context.Context, t serving.Topic, key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown {
		return errStoreDown
	}
	s.topics[t] = append(s.topics[t], serving.Record{Key: key, Value: value, Offset: uint64(len(s.topics[t]))})
	return nil
}

func (s *memStore) put(t serving.Topic, key string, value any) {
	var text []byte
	if value != nil {
		text, _ = json.Marshal(value) // test data always encodes
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics[t] = append(s.topics[t], serving.Record{Key: key, Value: text, Offset: uint64(len(s.topics[t]))})
}

// readCount returns the number of reads of the newest records, and of reads at a position that the
// store does not have.
func (s *memStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *memStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = down
}

func decodeTestConfig(key string, value []byte) (serving.Config, bool, error) {
	var c serving.Config
	err := json.Unmarshal(value, &c)
	return c, key == "config", err
}

var errInvalidOrder = errors.New("invalid order")

func decodeTestEvacuation(key string, value []byte) (string, bool, error) {
	dataCentre, ok := strings.CutPrefix(key, "away-from-")
	if ok && len(value) > 0 && !json.Valid(value) {
		return "", true, errInvalidOrder
	}
	return dataCentre, ok, nil
}

func decodeTestTarget(id string, value []byte) (serving.Target, error) {
	var t serving.Target
	err := json.Unmarshal(value, &t)
	t.ID = id
	return t, err
}

// decodeTestAnswer decodes response headers under names that no platform uses.
func decodeTestAnswer(status int, header *fasthttp.ResponseHeader) serving.Answer {
	a := serving.Answer{
		NotRun:    len(header.Peek("Not-Run")) > 0,
		FaultAt:   string(header.Peek("Fault-At")),
		Instance:  string(header.Peek("Run-Id")),
		Sealed:    len(header.Peek("Seal")) > 0,
		RateLimit: serving.NoRateLimit,
		Leaving:   len(header.Peek("Leaving")) > 0,
	}
	if rate := string(header.Peek("Rate")); rate != "" {
		var err error
		a.RateLimit, err = strconv.ParseFloat(rate, 64)
		a.RateLimitInvalid = err != nil
	}
	if rest, err := time.ParseDuration(string(header.Peek("Rest"))); err == nil {
		a.Rest, a.RetryAfter = rest, rest
	}
	return a
}

// testTarget is a target whose responses are written by the test.
type testTarget struct {
	id       string
	addr     string
	mu       sync.Mutex
	requests []*http.Request
	closed   chan struct{} // receives a value for each connection that the gateway closed
}

// startTarget starts a target. serve answers one request and reports whether the connection stays
// open.
func startTarget(t *testing.T, id string, serve func(w net.Conn, r *http.Request) bool) *testTarget {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	target := &testTarget{id: id, addr: ln.Addr().String(), closed: make(chan struct{}, 64)}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go target.run(nc, serve)
		}
	}()
	return target
}

func (target *testTarget) run(nc net.Conn, serve func(w net.Conn, r *http.Request) bool) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			target.closed <- struct{}{}
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		target.mu.Lock()
		target.requests = append(target.requests, r)
		target.mu.Unlock()
		if !serve(nc, r) {
			return
		}
	}
}

func (target *testTarget) received() []*http.Request {
	target.mu.Lock()
	defer target.mu.Unlock()
	return append([]*http.Request(nil), target.requests...)
}

// reply writes a complete response.
func reply(w net.Conn, r *http.Request, status int, fields, body string) bool {
	_, err := fmt.Fprintf(w, "HTTP/1.1 %d X\r\nRid: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Rid"), fields, len(body), body)
	return err == nil
}

const sealHeader = "Seal: yes\r\n"

// writeStreamHead writes the header of an event stream.
func writeStreamHead(w net.Conn, r *http.Request) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nRid: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Rid"), sealHeader)
}

func writeChunk(w net.Conn, text string) { fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text) }

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

func resetConn(w net.Conn) bool {
	_ = w.(*net.TCPConn).SetLinger(0)
	return false
}

// testEntry is a running gateway with its store.
type testEntry struct {
	t            *testing.T
	store        *memStore
	gw           *Gateway
	addr         string
	requestCount int
}

func testConfig() serving.Config {
	stream := serving.Route{
		Name: "stream", Host: "h", Prefix: "/s/", Kind: serving.KindStream, Timeout: 5 * time.Second,
		ServiceWeights: []serving.ServiceWeight{{Service: "llm", Weight: 1}}, MaxAttempts: 3, Resumable: true, FirstEventTimeout: 2 * time.Second,
	}
	nonResumable := stream
	nonResumable.Name, nonResumable.Prefix, nonResumable.Resumable = "cut", "/cut/", false
	once := stream
	once.Name, once.Prefix, once.Kind, once.ServiceWeights = "once", "/once/", serving.KindOnce, []serving.ServiceWeight{{Service: "plain", Weight: 1}}
	idem := once
	idem.Name, idem.Prefix, idem.Kind = "idem", "/idem/", serving.KindIdempotent
	return serving.Config{
		Version:  7,
		Routes:   []serving.Route{stream, nonResumable, once, idem},
		Services: []serving.Service{{Name: "llm"}, {Name: "plain"}},
		Teams:    []serving.Team{{Name: "kitchen", Keys: []string{"k1"}}},
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return ln
}

func testOptions(name string, store serving.Store) Options {
	return Options{
		Name: name, Incarnation: 1, DataCentre: "a", Headers: testHeaders, Store: store,
		DecodeConfig: decodeTestConfig, DecodeEvacuation: decodeTestEvacuation, DecodeTarget: decodeTestTarget, DecodeAnswer: decodeTestAnswer,
		DrainTimeout: 400 * time.Millisecond, ConfigApplyTimeout: 400 * time.Millisecond, TargetHeartbeatInterval: time.Second, ShutdownGrace: 2 * time.Second, MaxDirectoryTTL: 5 * time.Second,
		// An entry of a test has no share of the slack yet, as it has just started, and gets few requests.
		RetryBudget: RetryBudget{Ratio: 10, Slack: 50, Window: 10 * time.Second}, AgentPort: "1",
		Log: logr.Discard(), Metrics: metrics.New(),
	}
}

func startEntry(t *testing.T, name string, store *memStore) *testEntry {
	t.Helper()
	return startEntryWithOptions(t, name, store, func(*Options) {})
}

func startEntryWithOptions(t *testing.T, name string, store *memStore, change func(o *Options)) *testEntry {
	t.Helper()
	callersLn, peersLn := listen(t), listen(t)
	o := testOptions(name, store)
	change(&o)
	o.CallerAddr, o.PeerAddr = callersLn.Addr().String(), peersLn.Addr().String()
	e := &testEntry{t: t, store: store, addr: o.CallerAddr}
	e.gw = Start(o, callersLn, peersLn)
	t.Cleanup(func() {
		e.gw.cancel()
		e.gw.peerServer.Close()
		_ = callersLn.Close()
	})
	return e
}

// startEntryWithTargets starts a gateway and waits until it knows the configuration and targets.
func startEntryWithTargets(t *testing.T, service string, targets ...*testTarget) *testEntry {
	t.Helper()
	store := new(memStore)
	store.put(serving.TopicConfig, "config", testConfig())
	for _, target := range targets {
		store.put(serving.TopicTargets, target.id, serving.Target{Service: service, Address: target.addr, DataCentre: "a"})
	}
	e := startEntry(t, "gw", store)
	NewWithT(t).Eventually(func() int {
		if v := e.gw.state.snapshot(); v != nil {
			return len(v.targets[service])
		}
		return -1
	}, "5s", "5ms").Should(Equal(len(targets)))
	return e
}

// request sends a request on a new connection and reads the complete response.
func (e *testEntry) request(method, path, key, body string, fields ...string) (*http.Response, string, error) {
	resp, err := e.begin(method, path, key, body, fields...)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// begin sends a request and returns its response, whose body must be read and closed.
func (e *testEntry) begin(method, path, key, body string, fields ...string) (*http.Response, error) {
	e.requestCount++
	req, err := http.NewRequest(method, "http://"+e.addr+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = "h"
	req.Header.Set("Rid", fmt.Sprintf("r%d", e.requestCount))
	req.Header.Set("Left", "4000")
	if key != "" {
		req.Header.Set("Key", key)
	}
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	return (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(req)
}

// testTracker returns the tracker of an entry that has not sent any requests.
func testTracker() *placing.Tracker { return placing.NewTracker("e", "a", rand.New(rand.NewPCG(1, 1))) }
