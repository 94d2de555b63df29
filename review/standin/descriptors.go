package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/heatherrail/heatherrail/platform/standin"
)

func init() { cases["descriptors"] = descriptorsCase }

// Figures of the case. The number of callers, the limit of descriptors and the route's timeout are those
// of the users' sheets; the stability time is the longest of any sheet.
const (
	maxSockets      = 4100 - 200 // max-fds less the descriptors that are reserved for files
	allCallers      = 2000       // callers of the whole deployment
	connsPerCaller  = 2
	usualCallers    = 20 // callers of one entry while the others run, rounded up
	callerAddresses = 100
	connectTime     = 2 * time.Second // time over which the callers connect
	burstHold       = 6 * time.Second
	settleTime      = 5*time.Second + stabilityTime // the choked machine counts as in touch again afterwards
	stabilityTime   = 6 * time.Second
	laterCallers    = 10
	minCallers      = 7 // callers that the rule requires
	readTimeoutMS   = 2000
	answerTolerance = 500 * time.Millisecond
	readyInterval   = time.Second
)

// descriptorsCase lets all callers of a deployment come to one entry, which has too few descriptors
// for them. After they have left, it checks whether the entry serves new connections. Without the
// trouble the other entries keep their callers.
func descriptorsCase(rec *recorder, dir string, trouble bool) (bool, error) {
	f, err := newFleet(dir, []string{"logbook"}, []standin.Route{
		{Name: "check-signoff", Host: callerHost, Prefix: "/dati294/", Kind: standin.KindIdempotent, Service: "logbook", TimeoutMS: readTimeoutMS},
	})
	if err != nil {
		return false, err
	}
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(names.Seal, "seal-"+id)
			_, _ = io.WriteString(w, "signed off") // fails only if the caller has disconnected
		})
		if err := f.addTarget(id, "logbook", handler); err != nil {
			return false, err
		}
	}
	if err := f.start(maxSockets); err != nil {
		return false, err
	}
	defer f.stop()
	var ready readyChecks
	go ready.run(rec, f.ready)

	if answered := sendFromNewConns(rec, f, "before"); answered < minCallers {
		return false, fmt.Errorf("%d of %d requests were answered before the trouble", answered, laterCallers)
	}
	callers := usualCallers
	if trouble {
		callers = allCallers
	}
	if err := comeAtOnce(rec, f, callers); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	start := time.Now()
	answered := 0
	ready.failed.Store(0)
	for time.Since(start) < stabilityTime {
		answered += sendFromNewConns(rec, f, "after")
	}
	rec.printf("for %.1f s %d callers tried new connections; %d requests were answered; readiness checks that failed meanwhile: %d",
		time.Since(start).Seconds(), laterCallers, answered, ready.failed.Load())
	addresses := standin.Resolve(context.Background(), f.directory, callerHost, "hall-a")
	rec.printf("addresses that the directory names to callers: %d", len(addresses))
	for _, line := range f.logLines("server for callers failed") {
		rec.printf("log of the gateway: %s", line)
	}
	return answered == 0 && ready.failed.Load() == 0, nil
}

// readyChecks asks the gateway once a second whether it is ready, on a kept connection.
type readyChecks struct{ failed atomic.Int64 }

func (c *readyChecks) run(rec *recorder, address string) {
	last := 0
	for ; ; time.Sleep(readyInterval) {
		status := 0
		if resp, err := http.Get("http://" + address + "/heatherrail/ready"); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			status = resp.StatusCode
		}
		if status != http.StatusOK {
			c.failed.Add(1)
		}
		if status != last {
			rec.printf("readiness check: %d", status)
			last = status
		}
	}
}

// comeAtOnce opens the connections of some callers, sends a request on each, and closes them after
// burstHold.
func comeAtOnce(rec *recorder, f *fleet, callers int) error {
	var opened, answered, failed atomic.Int64
	var wait sync.WaitGroup
	release := make(chan struct{})
	count := callers * connsPerCaller
	rec.printf("%d callers come to the entry, with %d connections each", callers, connsPerCaller)
	for n := range count {
		wait.Go(func() {
			conn, err := dialFrom(fmt.Sprintf("127.1.0.%d", 1+n%callerAddresses), f.callers)
			if errors.Is(err, syscall.EMFILE) {
				failed.Add(1)
				return
			}
			if err != nil {
				return
			}
			defer conn.Close()
			opened.Add(1)
			if exchange(conn, fmt.Sprintf("b%d", n), burstHold) {
				answered.Add(1)
			}
			<-release
		})
		time.Sleep(connectTime / time.Duration(count))
	}
	time.Sleep(burstHold)
	close(release)
	wait.Wait()
	rec.printf("these callers have left: %d connections were opened, %d of their requests answered", opened.Load(), answered.Load())
	if failed.Load() > 0 {
		return fmt.Errorf("the callers themselves lacked descriptors")
	}
	return nil
}

// sendFromNewConns sends one request from each of some callers, each on a new connection, and returns
// how many were answered by the route's timeout.
func sendFromNewConns(rec *recorder, f *fleet, phase string) int {
	var answered atomic.Int64
	var wait sync.WaitGroup
	for n := range laterCallers {
		wait.Go(func() {
			id := fmt.Sprintf("%s-%d-%d", phase, n, time.Now().UnixMilli())
			conn, err := dialFrom("127.1.0.1", f.callers)
			if err != nil {
				rec.printf("request %s: no connection: %v", id, err)
				return
			}
			defer conn.Close()
			start := time.Now()
			ok := exchange(conn, id, readTimeoutMS*time.Millisecond+answerTolerance)
			rec.printf("request %s on a new connection: answered %t after %d ms", id, ok, time.Since(start).Milliseconds())
			if ok {
				answered.Add(1)
			}
		})
	}
	wait.Wait()
	return int(answered.Load())
}

// dialTimeout is how long callers allow for a new connection.
const dialTimeout = time.Second

func dialFrom(local, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(local)}}
	return d.Dial("tcp", address)
}

// exchange sends a request and reports whether an answer came in time.
func exchange(conn net.Conn, id string, timeout time.Duration) bool {
	if conn.SetDeadline(time.Now().Add(timeout)) != nil {
		return false
	}
	if _, err := fmt.Fprintf(conn, "GET /dati294/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\nX-Key: %s\r\n\r\n", callerHost, id, callerKey); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil
}
