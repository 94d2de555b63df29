package hosted

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/platform/standin"
)

// Request rates, timeouts and objectives of the callers.
const (
	draftInterval       = 60 * time.Millisecond
	logInterval         = 120 * time.Millisecond
	draftTimeout        = 8 * time.Second
	logTimeout          = 4 * time.Second
	firstEventObjective = 500 * time.Millisecond
	eventGapObjective   = 120 * time.Millisecond
	directoryTTL        = 500 * time.Millisecond // how long callers use the addresses from one directory answer
	maxAttempts         = 3
)

// loadGenerator simulates the callers: it requests drafts as streams, posts log entries to the
// plain service logbook, and counts the results.
type loadGenerator struct {
	fleet     *Fleet
	transport http.Transport
	tasks     sync.WaitGroup

	mu              sync.Mutex
	addresses       []string
	directoryReadAt time.Time
	requestCount    int
	stats           callerStats
}

// callerStats counts the requests of callers by result.
type callerStats struct {
	Drafts, DraftsOnTime, DraftsComplete int
	Logs, LogsAnswered                   int
	Retries                              int           // attempts after the first, each at another entry
	LongestGap                           time.Duration // longest gap between two events of a stream since the latest takeStats
}

func newLoadGenerator(f *Fleet) *loadGenerator {
	return &loadGenerator{fleet: f, transport: http.Transport{DisableKeepAlives: true}}
}

// run sends drafts and log entries until ctx ends, and returns after the last response.
func (l *loadGenerator) run(ctx context.Context) {
	var senders sync.WaitGroup
	senders.Go(func() { l.sendEvery(ctx, draftInterval, l.sendDraft) })
	senders.Go(func() { l.sendEvery(ctx, logInterval, l.sendLogEntry) })
	senders.Wait()
	l.tasks.Wait()
}

// sendEvery calls send with a new request ID every interval until ctx ends.
func (l *loadGenerator) sendEvery(ctx context.Context, interval time.Duration, send func(id string)) {
	for sleep(ctx, interval) {
		l.mu.Lock()
		l.requestCount++
		id := "request-" + decimal(l.requestCount)
		l.mu.Unlock()
		l.tasks.Go(func() { send(id) })
	}
}

// pickEntry returns a random address of the directory that is not in failed, or "" if there is
// none. It reads the directory again after directoryTTL.
func (l *loadGenerator) pickEntry(failed []string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.directoryReadAt) > directoryTTL {
		l.addresses, l.directoryReadAt = l.fleet.directoryAddresses(), now
	}
	var usable []string
	for _, address := range l.addresses {
		if !slices.Contains(failed, address) {
			usable = append(usable, address)
		}
	}
	if len(usable) == 0 {
		return ""
	}
	return usable[rand.IntN(len(usable))]
}

// sendLogEntry posts a log entry, which must not run twice. Only if an attempt got no response status,
// it retries at another entry with a new request ID.
func (l *loadGenerator) sendLogEntry(id string) {
	answered := false
	var failed []string
	for attempt := range maxAttempts {
		address := l.pickEntry(failed)
		response := standin.Send(&l.transport, address, standin.Request{Host: host, Path: "/log/entry", ID: fmt.Sprintf("%s-%d", id, attempt), Key: key, Timeout: logTimeout})
		answered = response.Status == http.StatusOK && response.Complete
		if response.Status != 0 || answered {
			break
		}
		failed = append(failed, address)
		l.updateStats(func(t *callerStats) { t.Retries++ })
	}
	l.updateStats(func(t *callerStats) {
		t.Logs++
		if answered {
			t.LogsAnswered++
		}
	})
}

// sendDraft requests a draft as a stream. If the stream is incomplete, it requests the whole draft
// again at another entry.
func (l *loadGenerator) sendDraft(id string) {
	start := time.Now()
	var result streamResult
	var failed []string
	for attempt := range maxAttempts {
		address := l.pickEntry(failed)
		result = l.readStream(address, fmt.Sprintf("%s-%d", id, attempt))
		if result.complete {
			break
		}
		failed = append(failed, address)
		l.updateStats(func(t *callerStats) { t.Retries++ })
	}
	l.updateStats(func(t *callerStats) {
		t.Drafts++
		t.LongestGap = max(t.LongestGap, result.longestGap)
		if result.complete {
			t.DraftsComplete++
		}
		if result.complete && result.firstEvent.Sub(start) <= firstEventObjective && result.longestGap <= eventGapObjective {
			t.DraftsOnTime++
		}
	})
}

// streamResult is the result of one attempt at a stream, as its caller sees it.
type streamResult struct {
	firstEvent time.Time
	longestGap time.Duration // between two events
	complete   bool
}

// readStream requests a stream from an entry and reads its events.
func (l *loadGenerator) readStream(address, id string) (result streamResult) {
	ctx, cancel := context.WithTimeout(context.Background(), draftTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/draft/one", strings.NewReader("a draft"))
	if err != nil {
		return result
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", decimal(int(draftTimeout.Milliseconds())))
	req.Header.Set("X-Key", key)
	req.Header.Set(standin.EntryHeader, address)
	req.Header.Set("X-Token-Count", "100,64")
	resp, err := l.transport.RoundTrip(req)
	if err != nil {
		return result
	}
	defer resp.Body.Close()
	var last time.Time
	events := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "data: ") {
			continue
		}
		now := time.Now()
		if events == 0 {
			result.firstEvent = now
		} else {
			result.longestGap = max(result.longestGap, now.Sub(last))
		}
		last = now
		events++
	}
	result.complete = lines.Err() == nil && events == groupConfig.Events
	return result
}

// updateStats calls update on the callers' counts while it holds the lock.
func (l *loadGenerator) updateStats(update func(*callerStats)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update(&l.stats)
}

// takeStats returns the counts so far and resets LongestGap.
func (l *loadGenerator) takeStats() callerStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.stats
	l.stats.LongestGap = 0
	return t
}

// servesAddedRoute reports whether an entry answers a request on the added route with 200.
func (l *loadGenerator) servesAddedRoute(vm *entryVM) bool {
	l.mu.Lock()
	l.requestCount++
	id := "added-" + decimal(l.requestCount)
	l.mu.Unlock()
	response := standin.Send(&l.transport, vm.callerAddr, standin.Request{Host: host, Path: addedRoutePath, ID: id, Key: key, Timeout: logTimeout})
	return response.Status == http.StatusOK
}

// isReachable reports whether a TCP connection to address succeeds within a second.
func isReachable(address string) bool {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = nc.Close() // the connection was only opened as a check; nothing was sent
	return true
}
