package gateway

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/route"
	"github.com/heatherrail/heatherrail/serving"
)

// deadlyPart is the id of the part of prompts that crashes each target that begins to answer it.
const deadlyPart = "dead"

// hasDeadlyPart reports whether a request has the part anywhere but at the end of its list.
func hasDeadlyPart(r *http.Request) bool {
	list := strings.Split(r.Header.Get("Parts"), ",")
	for _, entry := range list[:len(list)-1] {
		if id, _, _ := strings.Cut(entry, ":"); strings.EqualFold(id, deadlyPart) {
			return true
		}
	}
	return false
}

// partTraffic says which prompts callers send.
type partTraffic struct {
	path       string
	position   int  // of the deadly part
	shared     int  // parts of a prompt that others share
	pool       int  // number of other parts
	badCallers int  // callers whose requests have the deadly part
	unframed   bool // targets answer without a length or chunks
}

// prompt returns the list of the parts of request n of a caller.
func (p *partTraffic) prompt(caller, n int, deadly bool) string {
	var list []string
	for i := range p.shared {
		id := fmt.Sprintf("%x", 0x1000*(i+1)+(caller*31+n*7)%p.pool)
		switch {
		case i == p.position && deadly:
			id = deadlyPart
		case i == 0:
			id = "f157"
		}
		list = append(list, id+":40")
	}
	return strings.Join(append(list, fmt.Sprintf("c%d-%d:600", caller, n)), ",")
}

// partResult counts what happened to the requests with the part, and to the others.
type partResult struct {
	mu                  sync.Mutex
	sent, atFirst       int // others sent later than two seconds after the fifth crash, and served at their first attempt
	refused             int // others that were refused as ones that crash targets
	badSent, badRefused int
}

// play runs callers of both kinds until a time.
func (p *partTraffic) play(f *crashFleet, until time.Time) *partResult {
	var callers sync.WaitGroup
	result := new(partResult)
	for c := range otherCallers + p.badCallers {
		callers.Go(func() {
			deadly := c >= otherCallers
			for n := 0; time.Now().Before(until); n++ {
				settled := f.crashedFiveBefore(time.Now().Add(-2 * time.Second))
				body := fmt.Sprintf("request %d of caller %d", n, c)
				status, text, _ := f.ask(c+n, p.path, fmt.Sprintf("p%d-%d", c, n), body, "Parts", p.prompt(c, n, deadly))
				result.add(deadly, settled, status, text)
				if deadly {
					time.Sleep(60 * time.Millisecond)
				}
			}
		})
	}
	callers.Wait()
	return result
}

func (r *partResult) add(deadly, settled bool, status int, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	isRefused := text == crashRefused
	switch {
	case deadly:
		r.badSent++
		if isRefused {
			r.badRefused++
		}
		return
	case isRefused:
		r.refused++
	}
	if settled {
		r.sent++
		if status == http.StatusOK {
			r.atFirst++
		}
	}
}

// crashedFiveBefore reports whether five targets had crashed before a time.
func (f *crashFleet) crashedFiveBefore(at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.crashes) >= 5 && f.crashes[4].Before(at)
}

// sendsAfterFifthCrash returns how many requests with the part reached targets later than a second after the fifth crash.
func (f *crashFleet) sendsAfterFifthCrash() (sends, crashes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < 5 {
		return 0, len(f.crashes)
	}
	for _, at := range f.arrivals {
		if at.Sub(f.crashes[4]) > time.Second {
			sends++
		}
	}
	return sends, len(f.crashes)
}

// writeUnframed writes a response that ends with its connection.
func writeUnframed(w net.Conn, r *http.Request, body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nRid: %s\r\n%sConnection: close\r\n\r\n%s", r.Header.Get("Rid"), sealHeader, body)
}

// Requests with one part in their prompts crash each target that begins to answer them. No two are alike, so none was a suspect twice, and
// targets crashed for as long as such requests came. They must stop after the fifth, and those that share the other parts must be served.
func TestPartOfPromptsThatCrashedFiveTargetsIsStopped(t *testing.T) {
	const atOnce = 3 // fleets; more starve each other, and the entries learn of a crash too late
	slots := make(chan struct{}, atOnce)
	for name, traffic := range map[string]partTraffic{
		"plain, second of two":          {path: "/idem/x", position: 1, shared: 2, pool: 12, badCallers: 1},
		"plain, first":                  {path: "/idem/x", position: 0, shared: 2, pool: 200, badCallers: 2},
		"once, third of three":          {path: "/once/x", position: 2, shared: 3, pool: 12, badCallers: 2},
		"stream, second of three":       {path: "/s/x", position: 1, shared: 3, pool: 12, badCallers: 2},
		"stream, many parts, frequent":  {path: "/s/x", position: 1, shared: 2, pool: 3000, badCallers: 6},
		"plain, answers without length": {path: "/idem/x", position: 1, shared: 2, pool: 12, badCallers: 2, unframed: true},
		"stream, without length":        {path: "/s/x", position: 1, shared: 2, pool: 12, badCallers: 2, unframed: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			g := NewWithT(t)
			service := "plain"
			if strings.HasPrefix(traffic.path, "/s/") {
				service = "llm"
			}
			f := newCrashFleet(t, service, 4, 8, 7)
			f.mu.Lock()
			f.unframed = traffic.unframed
			f.mu.Unlock()
			result := traffic.play(f, time.Now().Add(8*time.Second))
			sends, crashes := f.sendsAfterFifthCrash()
			t.Logf("%d crashes, %d arrivals later than 1 s after the fifth; %d of %d others served at the first attempt after it, %d refused; %d of %d with the part refused",
				crashes, sends, result.atFirst, result.sent, result.refused, result.badRefused, result.badSent)
			g.Expect(sends).To(BeNumerically("<=", 3))
			g.Expect(result.refused).To(BeZero())
			g.Expect(result.sent).To(BeNumerically(">=", 20))
			g.Expect(float64(result.atFirst)).To(BeNumerically(">=", 0.9*float64(result.sent)))
		})
	}
}

// Parts were taken from a list that is missing, malformed or very long, or the last part was suspected, which belongs to one request.
func TestPartsOfAPromptAreReadFromTheirList(t *testing.T) {
	g := NewWithT(t)
	for list, ids := range map[string][]string{
		"":                               nil,
		"a:40":                           nil,
		"a:40,own:600":                   {"a"},
		"A:40, b:7,own:1":                {"a", "b"},
		"a:40,a:40,A:1,own:600":          {"a"},
		"a:40,own:3,a:40":                {"a", "own"},
		",,:4,  ,a,own:1":                {"a"},
		"a:x:y,b:,own":                   {"a", "b"},
		",":                              nil,
		strings.Repeat(",", 9) + "own:1": nil,
	} {
		var expected []uint64
		for _, id := range ids {
			expected = append(expected, route.PartFingerprint("llm", id))
		}
		g.Expect(sharedParts(list, "llm")).To(Equal(expected), "%q", list)
	}
	var long strings.Builder
	for n := range 5000 {
		fmt.Fprintf(&long, "%x:1,", n)
	}
	g.Expect(sharedParts(long.String(), "llm")).To(HaveLen(maxSharedParts))
}

// All entries are lost at once, or one joins: those that start next learnt nothing of a part that crashes targets.
func TestEntriesThatStartLearnOfAPartThatCrashesTargets(t *testing.T) {
	g := NewWithT(t)
	f := newCrashFleet(t, "plain", 2, 8, 4)
	traffic := partTraffic{path: "/idem/x", position: 1, shared: 2, pool: 12, badCallers: 2}
	traffic.play(f, time.Now().Add(3*time.Second))
	g.Eventually(func() bool {
		records, _, _ := f.store.Newest(t.Context(), serving.TopicEntries)
		return slices.ContainsFunc(records, func(r serving.Record) bool { return isSuspectRecord(r.Key) })
	}, "5s", "5ms").Should(BeTrue())
	joined := startEntry(t, "gw-new", f.store)
	g.Eventually(func() bool { return joined.gw.Ready() && joined.gw.cluster.liveCount() == 3 }, "5s", "5ms").Should(BeTrue())
	for _, e := range f.entries {
		e.gw.Abort()
	}
	fresh := startEntry(t, "gw-0", f.store)
	g.Eventually(fresh.gw.Ready, "5s", "5ms").Should(BeTrue())
	arrived := f.arrivalCount()
	f.mu.Lock()
	f.entries = []*testEntry{joined, fresh}
	f.mu.Unlock()
	for n := range 20 {
		_, text, header := f.ask(n, traffic.path, fmt.Sprint("again", n), fmt.Sprint("body", n), "Parts", traffic.prompt(1, n, true))
		g.Expect(text).To(Equal(crashRefused))
		g.Expect(header.Get("Retry-After")).NotTo(BeEmpty())
	}
	g.Expect(f.arrivalCount()).To(Equal(arrived))
}
