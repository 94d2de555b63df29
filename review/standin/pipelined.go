package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/platform/standin"
)

func init() { cases["pipelined"] = pipelinedCase }

// pipelinedWait is longer than the work of all requests of the case.
const pipelinedWait = time.Second

// pipelinedCase sends two requests in one piece and a third one while the first runs, and compares the
// methods that the target runs with the one that was sent. Without the trouble the third request waits
// for the answers.
func pipelinedCase(rec *recorder, dir string, trouble bool) (bool, error) {
	f, err := newFleet(dir, []string{"logbook"}, []standin.Route{
		{Name: "check-signoff", Host: callerHost, Prefix: "/dati294/", Kind: standin.KindIdempotent, Service: "logbook", TimeoutMS: formTimeoutMS},
	})
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	served, changed := 0, false
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		served++
		changed = changed || r.Method != http.MethodGet
		mu.Unlock()
		rec.printf("request %s run: %s %s", r.Header.Get("X-Request-Id"), r.Method, r.RequestURI)
		time.Sleep(workTime)
		w.Header().Set(names.Seal, "seal-i-1")
		_, _ = io.WriteString(w, "signed off") // fails only if the caller has disconnected
	})
	if err := f.addTarget("i-1", "logbook", handler); err != nil {
		return false, err
	}
	if err := f.start(0); err != nil {
		return false, err
	}
	defer f.stop()
	conn, err := net.DialTimeout("tcp", f.callers, dialTimeout)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	request := func(n int) string {
		return fmt.Sprintf("GET /dati294/%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: p%d\r\nX-Key: %s\r\n\r\n", n, callerHost, n, callerKey)
	}
	if _, err := io.WriteString(conn, request(1)+request(2)); err != nil {
		return false, err
	}
	delay := workTime / 2
	if !trouble {
		delay = pipelinedWait
	}
	time.Sleep(delay)
	if _, err := io.WriteString(conn, request(3)); err != nil {
		return false, err
	}
	time.Sleep(pipelinedWait)
	mu.Lock()
	defer mu.Unlock()
	if served < 2 {
		return false, fmt.Errorf("only %d requests were run", served)
	}
	return changed, nil
}
