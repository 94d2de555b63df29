package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/heatherrail/heatherrail/platform/standin"
)

func init() { cases["slowreader"] = slowReaderCase }

// Figures of the case. The time budget and the largest answer are those of the deployment.
const (
	slowCallers    = 20
	slowBudget     = 4 * time.Second
	answerBytes    = 4800
	workTime       = 60 * time.Millisecond
	receiveBuffer  = 1024 // bytes; the kernel rounds up
	readPause      = 3 * time.Second
	firstReadBytes = 400
	allowedCloses  = 3 // by the rule
)

// slowAnswer is what a caller got of an answer.
type slowAnswer struct {
	status   int
	bytes    int
	complete bool
	tookMS   int64
	err      error
}

// slowReaderCase lets callers with small receive windows pause while they read an answer, within their
// time budget, and counts the answers that are cut off. Without the trouble they do not pause.
func slowReaderCase(rec *recorder, dir string, trouble bool) (bool, error) {
	f, err := newFleet(dir, []string{"logbook"}, []standin.Route{
		{Name: "log-entry", Host: callerHost, Prefix: "/lode423/", Kind: standin.KindNonIdempotent, Service: "logbook", TimeoutMS: int(slowBudget.Milliseconds())},
	})
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	runs := make(map[string]int)
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			time.Sleep(workTime)
			mu.Lock()
			runs[r.Header.Get("X-Request-Id")]++
			mu.Unlock()
			w.Header().Set(names.Seal, "seal-"+id)
			w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
			_, _ = io.WriteString(w, strings.Repeat("a", answerBytes)) // fails only if the caller has disconnected
		})
		if err := f.addTarget(id, "logbook", handler); err != nil {
			return false, err
		}
	}
	if err := f.start(0); err != nil {
		return false, err
	}
	defer f.stop()

	pause := time.Duration(0)
	if trouble {
		pause = readPause
	}
	results := make([]slowAnswer, slowCallers)
	var wait sync.WaitGroup
	var failed error
	for n := range slowCallers {
		wait.Go(func() {
			conn, err := dialSmallWindow(f.callers)
			if err != nil {
				mu.Lock()
				failed = errors.Join(failed, err)
				mu.Unlock()
				return
			}
			defer conn.Close()
			br := bufio.NewReaderSize(conn, firstReadBytes)
			first := readSlowly(conn, br, fmt.Sprintf("first-%d", n), 0)
			if !first.complete {
				mu.Lock()
				failed = errors.Join(failed, fmt.Errorf("first request on connection %d: %w", n, first.err))
				mu.Unlock()
				return
			}
			results[n] = readSlowly(conn, br, fmt.Sprintf("slow-%d", n), pause)
		})
	}
	wait.Wait()
	if failed != nil {
		return false, failed
	}
	cut := 0
	for n, r := range results {
		id := fmt.Sprintf("slow-%d", n)
		isCut := runs[id] > 0 && !r.complete && time.Duration(r.tookMS)*time.Millisecond < slowBudget
		if isCut {
			cut++
		}
		rec.printf("request %s on a kept connection: run %d times; status %d, %d of %d bytes, complete %t, after %d ms, error %v",
			id, runs[id], r.status, r.bytes, answerBytes, r.complete, r.tookMS, r.err)
	}
	rec.printf("%d requests, callers pause %.1f s while they read; connections closed without a whole answer: %d", slowCallers, pause.Seconds(), cut)
	return cut > allowedCloses, nil
}

func dialSmallWindow(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, setErr)
	}}
	return d.Dial("tcp", address)
}

// readSlowly sends a request and reads the answer with a pause after its first part.
func readSlowly(conn net.Conn, br *bufio.Reader, id string, pause time.Duration) (a slowAnswer) {
	start := time.Now()
	defer func() { a.tookMS = time.Since(start).Milliseconds() }()
	if a.err = conn.SetDeadline(start.Add(slowBudget)); a.err != nil {
		return a
	}
	_, a.err = fmt.Fprintf(conn, "POST /lode423/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Key: %s\r\nContent-Length: 5\r\n\r\nentry",
		callerHost, id, slowBudget.Milliseconds(), callerKey)
	if a.err != nil {
		return a
	}
	var resp *http.Response
	if resp, a.err = http.ReadResponse(br, nil); a.err != nil {
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	time.Sleep(pause)
	var body []byte
	body, a.err = io.ReadAll(resp.Body)
	a.bytes, a.complete = len(body), a.err == nil && len(body) == answerBytes
	return a
}
