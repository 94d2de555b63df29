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

// outcome is the result of a request as its caller sees it.
type outcome string

const (
	complete   outcome = "whole"        // the complete answer to this request
	notRun     outcome = "not-run"      // rejected; the response says that the request did not run
	mayHaveRun outcome = "may-have-run" // any other error, a truncated answer, or no response
	wrong      outcome = "wrong"        // no error, but not the expected content
)

// sentRequest is a request with its outcome.
type sentRequest struct {
	marker        string // unique text in the body; identifies executions at the targets
	nonRepeatable bool   // must not run twice
	outcome       outcome
	detail        string
}

// batch holds the requests of one command.
type batch struct {
	started  sync.WaitGroup // done when each request has its first byte or its outcome
	callers  sync.WaitGroup
	stop     chan struct{} // closed to stop the command "load"; nil for other commands
	mu       sync.Mutex
	requests []sentRequest
}

// send implements the command "send SERVICE COUNT [TOKENS]": it sends requests concurrently and
// prints the outcomes. Requests to plain services must not run twice.
func (sc *scenario) send(args []string) (string, error) {
	if _, err := sc.begin(append([]string{"send"}, args...)); err != nil {
		return "", err
	}
	return sc.end([]string{"send"})
}

// defaultTokens is the number of tokens of an answer if a script gives none.
const defaultTokens = 16

// batchArgs returns COUNT and TOKENS of the arguments NAME SERVICE COUNT [TOKENS].
func batchArgs(args []string) (count, tokens int, err error) {
	if len(args) < 3 {
		return 0, 0, errors.New("want: NAME SERVICE COUNT [TOKENS]")
	}
	tokens = defaultTokens
	if len(args) > 3 {
		if tokens, err = strconv.Atoi(args[3]); err != nil {
			return 0, 0, err
		}
	}
	count, err = strconv.Atoi(args[2])
	return count, tokens, err
}

// begin implements the command "begin NAME SERVICE COUNT [TOKENS]": it sends requests
// concurrently and returns when each has its first byte or its outcome.
func (sc *scenario) begin(args []string) (string, error) {
	count, tokens, err := batchArgs(args)
	if err != nil {
		return "", err
	}
	b := &batch{requests: make([]sentRequest, count)}
	sc.batches[args[0]] = b
	entries := append([]string(nil), sc.entries...)
	if len(entries) == 0 {
		return "", errors.New("no live entry")
	}
	b.started.Add(count)
	for i := range count {
		sc.markerCount++
		c := caller{
			entry:       entries[i%len(entries)],
			key:         sc.anyTeamKey(i),
			service:     args[1],
			marker:      fmt.Sprintf("mark-%d.", sc.markerCount),
			tokens:      tokens,
			onFirstByte: sync.OnceFunc(b.started.Done),
		}
		sc.latest = c
		b.callers.Go(func() {
			b.requests[i] = c.run()
			c.onFirstByte()
		})
	}
	b.started.Wait()
	return "", nil
}

// repeat implements the command "repeat COUNT": it sends the latest request again COUNT times in
// sequence, through the entries in turn, and prints the outcomes.
func (sc *scenario) repeat(args []string) (string, error) {
	count, err := strconv.Atoi(args[0])
	if err != nil {
		return "", err
	}
	b := &batch{}
	sc.batches["repeat"] = b
	for i := range count {
		c := sc.latest
		c.entry = sc.entries[i%len(sc.entries)]
		b.requests = append(b.requests, c.run())
	}
	return sc.end([]string{"repeat"})
}

// anyTeamKey returns the key of the i-th team, modulo the number of teams.
func (sc *scenario) anyTeamKey(i int) string {
	teams := slices.Sorted(maps.Keys(sc.description.Teams))
	return sc.description.Teams[teams[i%len(teams)]]
}

// end implements the command "end NAME": it stops a load, waits for all answers of the batch and
// prints the number of requests by outcome.
func (sc *scenario) end(args []string) (string, error) {
	b := sc.batches[args[0]]
	if b == nil {
		return "", fmt.Errorf("no batch %s", args[0])
	}
	if b.stop != nil {
		close(b.stop)
	}
	b.callers.Wait()
	sc.requests = append(sc.requests, b.requests...)
	counts := make(map[outcome]int)
	var details []string
	for _, s := range b.requests {
		counts[s.outcome]++
		if s.outcome != complete {
			details = append(details, fmt.Sprintf("  %s %s: %s", s.marker, s.outcome, s.detail))
		}
	}
	line := fmt.Sprintf("whole=%d not-run=%d may-have-run=%d wrong=%d", counts[complete], counts[notRun], counts[mayHaveRun], counts[wrong])
	return line + "\n" + strings.Join(details, "\n"), nil
}

// caller sends one request.
type caller struct {
	entry, key, service, marker string
	tokens                      int
	onFirstByte                 func()
}

// run sends the request and returns it with its outcome.
func (c *caller) run() sentRequest {
	result := sentRequest{marker: c.marker}
	url, body := "/v1/completions", fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"prompt":%q}`, c.service, c.tokens, c.marker)
	plain := strings.Contains(c.service, "logbook") || strings.Contains(c.service, "oven-api")
	if plain {
		url, body = "/v1/services/"+c.service+"/entries", c.marker
		result.nonRepeatable = true
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.entry+url, strings.NewReader(body))
	if err != nil {
		result.outcome, result.detail = mayHaveRun, err.Error()
		return result
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	if plain {
		req.Header.Set(entry.HeaderRepeatable, "no")
		req.Header.Set(entry.HeaderKey, c.marker)
	}
	result.outcome, result.detail = c.exchange(req, plain)
	return result
}

// exchange sends a request, reads the response and returns the outcome with its detail.
func (c *caller) exchange(req *http.Request, plain bool) (outcome, string) {
	client := http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return mayHaveRun, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	firstByte := make([]byte, 1)
	n, _ := io.ReadFull(resp.Body, firstByte)
	c.onFirstByte()
	rest, err := io.ReadAll(resp.Body)
	text := append(firstByte[:n], rest...)
	switch {
	case resp.Header.Get(entry.HeaderRun) == string(notRun):
		return notRun, string(text)
	case err != nil:
		return mayHaveRun, err.Error()
	case resp.StatusCode != http.StatusOK || bytes.Contains(text, []byte("event: error")):
		return mayHaveRun, string(text)
	case plain:
		return complete, ""
	}
	if got, want := completionText(text), fake.Generate(c.marker, c.tokens); got != want {
		return wrong, fmt.Sprintf("got %q, want %q", got, want)
	}
	return complete, ""
}

// completionText returns the concatenated tokens of a completion stream.
func completionText(stream []byte) string {
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

// markerPattern matches a marker. A request body contains its marker once, so each match counts one
// execution.
var markerPattern = regexp.MustCompile(`[A-Za-z0-9-]+-[0-9]+\.`)

// promises implements the command "promises": it compares all requests so far with the executions at
// the targets, and prints the number of violations:
//
//   - doubled: requests that must not run twice, and ran more than once
//   - lost: requests that must not run twice, were answered completely, and never ran
//   - lied: requests that were reported as not run, and ran
//
// It also prints the number of requests in progress at targets (active) and of crashes that requests
// caused (crashes).
func (sc *scenario) promises([]string) (string, error) {
	resp, err := http.Get("http://" + sc.description.Standins.Control + "/targets")
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var targets []fake.TargetState
	if err := json.NewDecoder(resp.Body).Decode(&targets); err != nil {
		return "", err
	}
	active, crashes := 0, int64(0)
	executions := make(map[string]int) // executions by marker
	for _, t := range targets {
		active += t.Active
		crashes += t.Crashes
		for _, r := range t.Runs {
			for _, marker := range markerPattern.FindAllString(r.Body, -1) {
				executions[marker]++
			}
		}
	}
	doubled, lost, lied := 0, 0, 0
	for _, s := range sc.requests {
		runs := executions[s.marker]
		switch {
		case s.nonRepeatable && runs > 1:
			doubled++
		case s.nonRepeatable && s.outcome == complete && runs == 0:
			lost++
		case s.outcome == notRun && runs > 0:
			lied++
		}
	}
	return fmt.Sprintf("sent=%d doubled=%d lost=%d lied=%d active=%d crashes=%d", len(sc.requests), doubled, lost, lied, active, crashes), nil
}
