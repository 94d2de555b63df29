package scenarios

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/heatherrail/heatherrail/entry"
	"github.com/heatherrail/heatherrail/internal/fake"
)

// outcome is what a caller can tell of its request.
type outcome string

const (
	whole      outcome = "whole"        // the whole answer to this very request
	notRun     outcome = "not-run"      // refused, and said not to have run
	mayHaveRun outcome = "may-have-run" // doubt: said so, cut off, or no answer at all
	wrong      outcome = "wrong"        // looks whole and is not
)

// sent is one request and what became of it.
type sent struct {
	mark    string // found in the body of its run
	once    bool   // may not be repeated
	outcome outcome
	detail  string
}

// batch is requests under way.
type batch struct {
	first sync.WaitGroup // each has its first bytes, or its outcome
	all   sync.WaitGroup
	stop  chan struct{} // ends a load; nil for requests sent once
	mu    sync.Mutex
	sent  []sent
}

// send SERVICE COUNT [TOKENS] sends requests at once and prints the outcomes.
// Requests to plain services may not be repeated.
func (w *world) send(args []string) (string, error) {
	if _, err := w.begin(append([]string{"send"}, args...)); err != nil {
		return "", err
	}
	return w.end([]string{"send"})
}

// usualTokens is the length of answers when a script names none.
const usualTokens = 16

// batchArgs reads NAME SERVICE COUNT [TOKENS].
func batchArgs(args []string) (count, tokens int, err error) {
	if len(args) < 3 {
		return 0, 0, errors.New("want: NAME SERVICE COUNT [TOKENS]")
	}
	tokens = usualTokens
	if len(args) > 3 {
		if tokens, err = strconv.Atoi(args[3]); err != nil {
			return 0, 0, err
		}
	}
	count, err = strconv.Atoi(args[2])
	return count, tokens, err
}

// begin NAME SERVICE COUNT [TOKENS] sends requests and returns when each has its
// first bytes.
func (w *world) begin(args []string) (string, error) {
	count, tokens, err := batchArgs(args)
	if err != nil {
		return "", err
	}
	b := &batch{sent: make([]sent, count)}
	w.batches[args[0]] = b
	entries := append([]string(nil), w.entries...)
	if len(entries) == 0 {
		return "", errors.New("there are no entries")
	}
	b.first.Add(count)
	for i := range count {
		w.serial++
		c := caller{
			entry:   entries[i%len(entries)],
			key:     w.anyTeamKey(i),
			service: args[1],
			mark:    fmt.Sprintf("mark-%d.", w.serial),
			tokens:  tokens,
			first:   sync.OnceFunc(b.first.Done),
		}
		w.latest = c
		b.all.Go(func() {
			b.sent[i] = c.run()
			c.first()
		})
	}
	b.first.Wait()
	return "", nil
}

// repeat COUNT sends the latest request again so often, one after another,
// through the entries in turn.
func (w *world) repeat(args []string) (string, error) {
	count, err := strconv.Atoi(args[0])
	if err != nil {
		return "", err
	}
	b := &batch{}
	w.batches["repeat"] = b
	for i := range count {
		c := w.latest
		c.entry = w.entries[i%len(w.entries)]
		b.sent = append(b.sent, c.run())
	}
	return w.end([]string{"repeat"})
}

func (w *world) anyTeamKey(i int) string {
	teams := slices.Sorted(maps.Keys(w.desc.Teams))
	return w.desc.Teams[teams[i%len(teams)]]
}

// end NAME waits for all answers and prints how many ended in which way.
func (w *world) end(args []string) (string, error) {
	b := w.batches[args[0]]
	if b == nil {
		return "", fmt.Errorf("nothing was begun as %s", args[0])
	}
	if b.stop != nil {
		close(b.stop)
	}
	b.all.Wait()
	w.sent = append(w.sent, b.sent...)
	counts := make(map[outcome]int)
	var details []string
	for _, s := range b.sent {
		counts[s.outcome]++
		if s.outcome != whole {
			details = append(details, fmt.Sprintf("  %s %s: %s", s.mark, s.outcome, s.detail))
		}
	}
	line := fmt.Sprintf("whole=%d not-run=%d may-have-run=%d wrong=%d", counts[whole], counts[notRun], counts[mayHaveRun], counts[wrong])
	return line + "\n" + strings.Join(details, "\n"), nil
}

// caller is one caller with one request.
type caller struct {
	entry, key, service, mark string
	tokens                    int
	first                     func()
}

func (c *caller) run() sent {
	s := sent{mark: c.mark}
	url, body := "/v1/completions", fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"prompt":%q}`, c.service, c.tokens, c.mark)
	plain := strings.Contains(c.service, "logbook") || strings.Contains(c.service, "oven-api")
	if plain {
		url, body = "/v1/services/"+c.service+"/entries", c.mark
		s.once = true
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.entry+url, strings.NewReader(body))
	if err != nil {
		s.outcome, s.detail = mayHaveRun, err.Error()
		return s
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	if plain {
		req.Header.Set(entry.HeaderRepeatable, "no")
		req.Header.Set(entry.HeaderKey, c.mark)
	}
	s.outcome, s.detail = c.exchange(req, plain)
	return s
}

func (c *caller) exchange(req *http.Request, plain bool) (outcome, string) {
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return mayHaveRun, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	buf := make([]byte, 1)
	n, _ := io.ReadFull(resp.Body, buf)
	c.first()
	rest, err := io.ReadAll(resp.Body)
	text := append(buf[:n], rest...)
	switch {
	case resp.Header.Get(entry.HeaderRun) == string(notRun):
		return notRun, string(text)
	case err != nil:
		return mayHaveRun, err.Error()
	case resp.StatusCode != http.StatusOK || bytes.Contains(text, []byte("event: error")):
		return mayHaveRun, string(text)
	case plain:
		return whole, ""
	}
	if got, want := streamedText(text), fake.Generate(c.mark, c.tokens); got != want {
		return wrong, fmt.Sprintf("got %q, want %q", got, want)
	}
	return whole, ""
}

func streamedText(stream []byte) string {
	var b strings.Builder
	for line := range bytes.SplitSeq(stream, []byte("\n")) {
		data, ok := bytes.CutPrefix(line, []byte("data: {"))
		var chunk struct{ Choices []struct{ Text string } }
		if ok && json.Unmarshal(append([]byte("{"), data...), &chunk) == nil && len(chunk.Choices) > 0 {
			b.WriteString(chunk.Choices[0].Text)
		}
	}
	return b.String()
}

// markPattern finds the marks in a body; each is in it once.
var markPattern = regexp.MustCompile(`[A-Za-z0-9-]+-[0-9]+\.`)

// promises compares everything sent so far with what the targets really ran:
// doubled: not repeatable and ran more than once; lost: answered whole, not
// repeatable and never ran; lied: said not to have run, and ran.
func (w *world) promises([]string) (string, error) {
	resp, err := http.Get("http://" + w.desc.Standins.Control + "/targets")
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var targets []fake.TargetState
	if err := json.NewDecoder(resp.Body).Decode(&targets); err != nil {
		return "", err
	}
	active, crashes := 0, int64(0)
	ran := make(map[string]int) // by mark
	for _, t := range targets {
		active += t.Active
		crashes += t.Crashes
		for _, r := range t.Runs {
			for _, mark := range markPattern.FindAllString(r.Body, -1) {
				ran[mark]++
			}
		}
	}
	doubled, lost, lied := 0, 0, 0
	for _, s := range w.sent {
		runs := ran[s.mark]
		switch {
		case s.once && runs > 1:
			doubled++
		case s.once && s.outcome == whole && runs == 0:
			lost++
		case s.outcome == notRun && runs > 0:
			lied++
		}
	}
	return fmt.Sprintf("sent=%d doubled=%d lost=%d lied=%d active=%d crashes=%d", len(w.sent), doubled, lost, lied, active, crashes), nil
}
