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

// What callers do, and what they expect.
const (
	draftEvery  = 60 * time.Millisecond
	logEvery    = 120 * time.Millisecond
	draftWait   = 8 * time.Second
	logWait     = 4 * time.Second
	firstAim    = 500 * time.Millisecond
	pauseAim    = 120 * time.Millisecond
	directEvery = 500 * time.Millisecond // how long callers keep an answer of the directory
	callerTries = 3
)

// callers send requests until they are stopped, and keep count.
type callers struct {
	f         *Fleet
	transport http.Transport
	tasks     sync.WaitGroup

	mu        sync.Mutex
	addresses []string
	asked     time.Time
	sent      int
	tally     tally
}

// tally is what callers got.
type tally struct {
	Drafts, DraftsInTime, DraftsWhole int
	Logs, LogsAnswered                int
	Again                             int           // requests that were sent again, to another entry
	LongestPause                      time.Duration // between two events of a stream, since it was taken last
}

func newCallers(f *Fleet) *callers {
	return &callers{f: f, transport: http.Transport{DisableKeepAlives: true}}
}

// run sends drafts and log entries until ctx ends, and waits for the last answers.
func (c *callers) run(ctx context.Context) {
	var both sync.WaitGroup
	both.Go(func() { c.every(ctx, draftEvery, c.draft) })
	both.Go(func() { c.every(ctx, logEvery, c.log) })
	both.Wait()
	c.tasks.Wait()
}

func (c *callers) every(ctx context.Context, pause time.Duration, send func(id string)) {
	for sleep(ctx, pause) {
		c.mu.Lock()
		c.sent++
		id := "request-" + number(c.sent)
		c.mu.Unlock()
		c.tasks.Go(func() { send(id) })
	}
}

// entry returns the address to connect to, as the directory tells; it is asked again now
// and then. Callers leave out addresses that have failed them.
func (c *callers) entry(failed []string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.asked) > directEvery {
		c.addresses, c.asked = c.f.directory(), now
	}
	var usable []string
	for _, address := range c.addresses {
		if !slices.Contains(failed, address) {
			usable = append(usable, address)
		}
	}
	if len(usable) == 0 {
		return ""
	}
	return usable[rand.IntN(len(usable))]
}

// log sends a log entry, which may run once at most. It is sent again only where no
// connection came about.
func (c *callers) log(id string) {
	answered := false
	var failed []string
	for try := range callerTries {
		address := c.entry(failed)
		a := standin.Send(&c.transport, address, standin.Request{Host: host, Path: "/log/entry", ID: fmt.Sprintf("%s-%d", id, try), Key: key, Timeout: logWait})
		answered = a.Status == http.StatusOK && a.Complete
		if a.Status != 0 || answered {
			break
		}
		failed = append(failed, address)
		c.count(func(t *tally) { t.Again++ })
	}
	c.count(func(t *tally) {
		t.Logs++
		if answered {
			t.LogsAnswered++
		}
	})
}

// draft sends a stream, and again from the start if it breaks off.
func (c *callers) draft(id string) {
	begun := time.Now()
	var s streamSeen
	var failed []string
	for try := range callerTries {
		address := c.entry(failed)
		s = c.stream(address, fmt.Sprintf("%s-%d", id, try))
		if s.whole {
			break
		}
		failed = append(failed, address)
		c.count(func(t *tally) { t.Again++ })
	}
	c.count(func(t *tally) {
		t.Drafts++
		t.LongestPause = max(t.LongestPause, s.longest)
		if s.whole {
			t.DraftsWhole++
		}
		if s.whole && s.first.Sub(begun) <= firstAim && s.longest <= pauseAim {
			t.DraftsInTime++
		}
	})
}

// streamSeen is what a caller sees of a stream.
type streamSeen struct {
	first   time.Time
	longest time.Duration // pause between two events
	whole   bool
}

func (c *callers) stream(address, id string) (s streamSeen) {
	ctx, cancel := context.WithTimeout(context.Background(), draftWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/draft/one", strings.NewReader("a draft"))
	if err != nil {
		return s
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", number(int(draftWait.Milliseconds())))
	req.Header.Set("X-Key", key)
	req.Header.Set("X-Token-Count", "100,64")
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return s
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
			s.first = now
		} else {
			s.longest = max(s.longest, now.Sub(last))
		}
		last = now
		events++
	}
	s.whole = lines.Err() == nil && events == shape.Events
	return s
}

func (c *callers) count(change func(*tally)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.tally)
}

// take returns the tally so far, and begins a new longest pause.
func (c *callers) take() tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tally
	c.tally.LongestPause = 0
	return t
}

// served tells whether an entry answers a request on the route that is added.
func (c *callers) served(vm *entryVM) bool {
	c.mu.Lock()
	c.sent++
	id := "added-" + number(c.sent)
	c.mu.Unlock()
	a := standin.Send(&c.transport, vm.callers, standin.Request{Host: host, Path: addedPath, ID: id, Key: key, Timeout: logWait})
	return a.Status == http.StatusOK
}

// reachable tells whether anybody listens at an address.
func reachable(address string) bool {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = nc.Close() // nothing was sent
	return true
}
