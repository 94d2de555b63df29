package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/heatherrail/heatherrail/platform/standin"
)

func init() { cases["shutdown"] = shutdownCase }

// Figures of the case. The grace, the route's timeout, the most events of a stream and the longest
// pause between two of them are those of the deployment; the others come from the rule.
const (
	grace            = 8 * time.Second
	lastSixth        = grace * 5 / 6 // start of the last sixth of the grace
	excusedSend      = 3 * time.Second
	streamTimeoutMS  = 8000
	streamEvents     = 60
	eventInterval    = 100 * time.Millisecond
	sendInterval     = 50 * time.Millisecond // 20 requests a second
	steadyTime       = 2 * time.Second       // traffic before the signal
	trafficTime      = 8 * time.Second       // traffic in all
	stopWait         = 10 * time.Second
	targetsNotice    = time.Second           // time in which targets notice that their connections have ended
	clockTolerance   = 20 * time.Millisecond // between the signal and its time in the record
	callersBehindTTL = "callers use a cached answer of the directory for up to 6 s"
)

// streamRecord is one stream as its caller and its target have seen it.
type streamRecord struct {
	id        string
	sentAt    time.Time
	status    int
	events    int
	complete  bool
	endedAt   time.Time
	startedAt time.Time // when the target began to run it; zero: never
	stoppedAt time.Time // when the target ended or lost it
}

// wasAtWork reports whether the target was at work on the stream at a time or later.
func (s *streamRecord) wasAtWork(at time.Time) bool {
	return s.stoppedAt.IsZero() || !s.stoppedAt.Before(at)
}

type streamLog struct {
	mu   sync.Mutex
	byID map[string]*streamRecord
}

func (l *streamLog) update(id string, change func(r *streamRecord)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byID[id] == nil {
		l.byID[id] = &streamRecord{id: id}
	}
	change(l.byID[id])
}

// handler serves streams at a steady pace.
func (l *streamLog) handler(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		request := r.Header.Get("X-Request-Id")
		l.update(request, func(s *streamRecord) { s.startedAt = time.Now() })
		defer l.update(request, func(s *streamRecord) { s.stoppedAt = time.Now() })
		w.Header().Set(names.Seal, "seal-"+id)
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range streamEvents {
			if _, err := io.WriteString(w, standin.StreamEvent(request, n)); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(eventInterval):
			}
		}
	})
}

// shutdownCase stops a gateway with SIGTERM while callers on kept connections send streams, and looks
// for streams that end early without one of the rule's excuses. Without the trouble there is no
// signal.
func shutdownCase(rec *recorder, dir string, trouble bool) (bool, error) {
	f, err := newFleet(dir, []string{"drafter"}, []standin.Route{
		{Name: "corrective-action", Host: callerHost, Prefix: "/volo102/", Kind: standin.KindStream, Service: "drafter", TimeoutMS: streamTimeoutMS},
	})
	if err != nil {
		return false, err
	}
	log := &streamLog{byID: make(map[string]*streamRecord)}
	for n := range 12 {
		id := fmt.Sprintf("i-%d", n+1)
		if err := f.addTarget(id, "drafter", log.handler(id)); err != nil {
			return false, err
		}
	}
	if err := f.start(0); err != nil {
		return false, err
	}
	defer f.stop()

	conns, err := openConns(f.callers, int(trafficTime/sendInterval))
	if err != nil {
		return false, err
	}
	rec.printf("%d connections are open; %s", len(conns), callersBehindTTL)
	start := time.Now()
	termAt := start.Add(steadyTime)
	exited := make(chan struct{})
	if trouble {
		go func() {
			time.Sleep(time.Until(termAt))
			termAt = time.Now()
			_ = f.cmd.Process.Signal(syscall.SIGTERM)
			rec.printf("SIGTERM")
			_ = f.cmd.Wait()
			rec.printf("the process has ended %.3f s after SIGTERM", time.Since(termAt).Seconds())
			close(exited)
		}()
	}
	var wait sync.WaitGroup
	for n, conn := range conns {
		wait.Go(func() {
			defer conn.Close()
			time.Sleep(time.Until(start.Add(time.Duration(n) * sendInterval)))
			readStream(conn, fmt.Sprintf("%016x", n+1), log)
		})
	}
	wait.Wait()
	if trouble {
		select {
		case <-exited:
		case <-time.After(stopWait):
			return false, fmt.Errorf("the gateway did not end")
		}
	}
	time.Sleep(targetsNotice)
	return countLost(rec, log, termAt, trouble), nil
}

func openConns(address string, count int) ([]net.Conn, error) {
	var conns []net.Conn
	for range count {
		conn, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			return nil, err
		}
		conns = append(conns, conn)
	}
	return conns, nil
}

// readStream sends the request of a stream and reads the answer.
func readStream(conn net.Conn, id string, log *streamLog) {
	sentAt := time.Now()
	_, err := fmt.Fprintf(conn, "POST /volo102/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Key: %s\r\nX-Model: m\r\nX-Token-Count: 714,240\r\nX-Prompt-Prefix: 5c1e07a2:40,%s:674\r\nContent-Length: 4\r\n\r\ntext",
		callerHost, id, streamTimeoutMS, callerKey, id)
	log.update(id, func(s *streamRecord) { s.sentAt = sentAt })
	if err != nil {
		return
	}
	_ = conn.SetReadDeadline(sentAt.Add(streamTimeoutMS * time.Millisecond)) // a failed call shows at the next read
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		log.update(id, func(s *streamRecord) { s.endedAt = time.Now() })
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	log.update(id, func(s *streamRecord) {
		s.status, s.endedAt = resp.StatusCode, time.Now()
		s.events = strings.Count(string(body), "id: ")
		s.complete = err == nil
	})
}

// countLost records all streams and reports whether any was lost as the rule says.
func countLost(rec *recorder, log *streamLog, termAt time.Time, trouble bool) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	lost, excused, refused, complete := 0, 0, 0, 0
	records := make([]*streamRecord, 0, len(log.byID))
	for _, s := range log.byID {
		records = append(records, s)
	}
	slices.SortFunc(records, func(a, b *streamRecord) int { return a.sentAt.Compare(b.sentAt) })
	for _, s := range records {
		sent := s.sentAt.Sub(termAt)
		verdict := ""
		switch {
		case s.status == http.StatusOK && s.complete && s.events == streamEvents:
			verdict = "complete"
			complete++
		case s.status != 0 && s.complete:
			verdict = "refused"
			refused++
		case s.startedAt.IsZero():
			verdict = "not passed on"
		case s.endedAt.Sub(s.sentAt) >= streamTimeoutMS*time.Millisecond:
			verdict = "time budget reached"
		case trouble && sent <= excusedSend+clockTolerance && s.wasAtWork(termAt.Add(lastSixth-clockTolerance)):
			verdict = "cut in the last sixth of the grace, sent no later than 3 s after SIGTERM: excused"
			excused++
		default:
			verdict = "LOST"
			lost++
		}
		rec.printf("request %s sent %.3f s after SIGTERM, status %d, %d of %d events, ended %.3f s after SIGTERM: %s",
			s.id, sent.Seconds(), s.status, s.events, streamEvents, s.endedAt.Sub(termAt).Seconds(), verdict)
	}
	rec.printf("%d sent: %d complete, %d refused, %d cut with an excuse, %d lost", len(records), complete, refused, excused, lost)
	return lost > 0
}
