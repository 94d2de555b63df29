package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/heatherrail/heatherrail/platform/standin"
)

// Timing of the case "term".
const (
	graceTime       = 8 * time.Second
	longEvents      = 56 // within the longest streams of the site, 60 events
	longInterval    = 100 * time.Millisecond
	earlyStreams    = 6
	lateStreams     = 6
	excusedUntil    = 3 * time.Second // requests sent later after the SIGTERM have no excuse
	lateFrom        = 3050 * time.Millisecond
	lateSpacing     = 10 * time.Millisecond
	resolvedBefore  = 500 * time.Millisecond // the callers have asked the directory this long before the SIGTERM
	warmUp          = 3 * time.Second
	termCallerLimit = 10 * time.Second
)

// streamServer answers each request with a stream of events at a steady pace.
type streamServer struct {
	w  *world
	id string

	mu    sync.Mutex
	ended map[string]int // events written of each request that the server has brought to its end
}

// ServeHTTP implements http.Handler.
func (s *streamServer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", id)
	if instance := r.Header.Get(instanceHeader); instance != "" && instance != s.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	first := 0
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	s.w.note("%s runs %s from event %d", s.id, id, first)
	rw.Header().Set(sealHeader, "seal-"+s.id)
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := first; n < longEvents; n++ {
		select {
		case <-r.Context().Done():
			s.w.note("%s: the channel of %s was closed after %d of %d events", s.id, id, n, longEvents)
			return
		case <-time.After(longInterval):
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil {
			s.w.note("%s: the channel of %s was closed after %d of %d events", s.id, id, n, longEvents)
			return
		}
		rw.(http.Flusher).Flush()
	}
	s.mu.Lock()
	s.ended[id] = longEvents
	s.mu.Unlock()
}

// keptChannel is a caller's channel that has served a request before.
type keptChannel struct {
	nc net.Conn
	br *bufio.Reader
}

// streamResult is what a caller has seen of a stream.
type streamResult struct {
	id       string
	sentAt   time.Time
	endedAt  time.Time
	status   int
	events   int
	complete bool
	err      error
}

func openChannel(address string) (*keptChannel, error) {
	nc, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptChannel{nc: nc, br: bufio.NewReader(nc)}, nil
}

// stream sends a request and reads its answer to the end.
func (k *keptChannel) stream(path, id string) streamResult {
	result := streamResult{id: id, sentAt: time.Now()}
	_ = k.nc.SetDeadline(time.Now().Add(termCallerLimit)) // fails only if the channel is closed
	body := "body of " + id
	_, result.err = fmt.Fprintf(k.nc, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Key: %s\r\nX-Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n%s",
		path, logHost, id, logKey, len(body), body)
	if result.err == nil {
		k.read(&result)
	}
	result.endedAt = time.Now()
	return result
}

func (k *keptChannel) read(result *streamResult) {
	resp, err := http.ReadResponse(k.br, nil)
	if err != nil {
		result.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	result.status = resp.StatusCode
	text, err := io.ReadAll(resp.Body)
	result.events = bytes.Count(text, []byte("\n\n"))
	result.err, result.complete = err, err == nil && (result.status != http.StatusOK || result.events == longEvents)
}

// term stops an entry with SIGTERM while callers that have not asked the directory again go on.
func term(w *world) (int, error) {
	ip := "127.0.0.71"
	ports, err := freePorts([]string{ip}, 4)
	if err != nil {
		return 0, err
	}
	config := standin.WithLimits(standin.Config(1, logTeam, logKey, []string{draftService}, []standin.Route{
		{Name: "r-draft", Host: logHost, Prefix: "/draft/", Kind: standin.KindStream, Service: draftService, TimeoutMS: streamTimeoutMS},
	}), 16384, 4194304, 5*time.Second, 30*time.Second)
	w.store.PutConfig(config)
	for n := range serversOfService {
		s := &streamServer{w: w, id: fmt.Sprintf("i-draft%d", n), ended: make(map[string]int)}
		address, err := serve("127.0.0.1:0", s)
		if err != nil {
			return 0, err
		}
		go func() {
			for sequence := uint64(1); ; sequence++ {
				w.store.PutTarget(s.id, standin.TargetRecord{Service: draftService, Address: address, Sequence: sequence}.Fields())
				time.Sleep(time.Second)
			}
		}()
	}
	entry, err := w.startGateway("front-1", ip, ports)
	if err != nil {
		return 0, err
	}
	time.Sleep(warmUp)
	return w.stopUnderStreams(entry)
}

func (w *world) stopUnderStreams(entry *gatewayAt) (int, error) {
	addresses := standin.Resolve(w.ctx(), entry.directory, logHost, standin.DefaultZone)
	if len(addresses) != 1 || addresses[0] != entry.callers {
		return 0, fmt.Errorf("the directory names %v", addresses)
	}
	time.Sleep(resolvedBefore)
	stoppedAt := time.Now()
	if w.trouble {
		if err := entry.signal(syscall.SIGTERM); err != nil {
			return 0, err
		}
		w.note("SIGTERM to %s", entry.name)
		time.AfterFunc(graceTime, func() { _ = entry.signal(syscall.SIGKILL) })
	}
	results := make(chan streamResult, earlyStreams+lateStreams)
	send := func(id string, after time.Duration) {
		time.Sleep(time.Until(stoppedAt.Add(after)))
		k, err := openChannel(entry.callers)
		if err != nil {
			results <- streamResult{id: id, sentAt: time.Now(), endedAt: time.Now(), err: err}
			return
		}
		results <- k.stream("/draft/x", id)
	}
	for n := range earlyStreams {
		go send(fmt.Sprintf("early-%d", n), time.Duration(n)*200*time.Millisecond)
	}
	for n := range lateStreams {
		go send(fmt.Sprintf("late-%d", n), lateFrom+time.Duration(n)*lateSpacing)
	}
	lost, whole := 0, 0
	for range earlyStreams + lateStreams {
		r := <-results
		sent := r.sentAt.Sub(stoppedAt)
		w.note("%s: sent %.3f s after the SIGTERM, status %d, %d events, complete %v, ended after %.3f s: %v",
			r.id, sent.Seconds(), r.status, r.events, r.complete, r.endedAt.Sub(stoppedAt).Seconds(), r.err)
		switch {
		case r.complete:
			whole++
		case r.status == http.StatusOK && (sent > excusedUntil || r.endedAt.Sub(stoppedAt) < graceTime*5/6):
			lost++
			w.note("LOST: %s was passed on to an engine, and its channel ended without a complete answer", r.id)
		}
	}
	w.note("%d streams whole or refused, %d lost", whole, lost)
	switch {
	case lost > 0:
		return exitBroken, nil
	case !w.trouble && whole < earlyStreams+lateStreams:
		return 0, fmt.Errorf("only %d streams were whole", whole)
	}
	return exitHeld, nil
}
