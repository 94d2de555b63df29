package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/heatherrail/heatherrail/entry"
	"github.com/heatherrail/heatherrail/examples"
)

// Run demonstrates a running fleet and prints each step to w. It reads the addresses of the
// entries, requests a streamed draft, and posts a log entry to the plain service logbook. It shows
// an expert map switch if a group plans at least once a second. Run fails if a response is
// incomplete or if the log entry, which must not run twice, did not run exactly once.
func Run(ctx context.Context, f *Fleet, w io.Writer) error {
	p := &printer{out: w}
	entryAddr := f.Entries[0].Addr()
	var answer entry.EntriesAnswer
	if err := getJSON(ctx, "http://"+entryAddr+"/v1/entries", &answer); err != nil {
		return err
	}
	if len(answer.Entries) == 0 {
		return errors.New("the entry returned no entry addresses")
	}
	p.printf("entries: %s (keep for %d s)", strings.Join(answer.Entries, " "), answer.LifetimeSeconds)
	base := "http://" + answer.Entries[0]
	if err := showDraft(ctx, p, base, f); err != nil {
		return fmt.Errorf("draft: %w", err)
	}
	if err := showLogEntry(ctx, p, base, f); err != nil {
		return fmt.Errorf("log entry: %w", err)
	}
	if err := showSwitch(ctx, p, base, f); err != nil {
		return err
	}
	p.printf("counters:")
	if err := f.Metrics.Write(p); err != nil {
		return err
	}
	return p.err
}

// printer writes lines and keeps the first write error.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	fmt.Fprintf(p, format+"\n", args...)
}

// Write implements io.Writer. After the first error it writes nothing and returns that error.
func (p *printer) Write(b []byte) (int, error) {
	if p.err != nil {
		return 0, p.err
	}
	var n int
	n, p.err = p.out.Write(b)
	return n, p.err
}

// demoTeam is the team that sends the requests.
const demoTeam = "kitchens-north"

// post sends a JSON request with the key of demoTeam. It fails for any status but 200.
func post(ctx context.Context, url, body string, headers map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+examples.DemoKey(demoTeam))
	req.Header.Set("Content-Type", "application/json")
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body) // if the body is truncated, the status alone is reported
		_ = resp.Body.Close()
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return resp, nil
}

const draftBody = `{"model":"drafter","stream":true,"max_tokens":24,"messages":[` +
	`{"role":"user","content":"Fridge 3 reads 9 degrees. Draft a corrective action."}]}`

// showDraft requests a streamed draft from the service drafter and prints its text. It fails if the
// stream is incomplete.
func showDraft(ctx context.Context, p *printer, base string, f *Fleet) error {
	start := time.Now()
	resp, err := post(ctx, base+"/v1/chat/completions", draftBody, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	events := bytes.Count(text, []byte("data: "))
	p.printf("draft: request %s ran on %s: %d events in %d ms",
		resp.Header.Get(entry.HeaderRequestID), resp.Header.Get(entry.HeaderTarget), events, time.Since(start).Milliseconds())
	p.printf("  %s", streamedText(text))
	if !bytes.HasSuffix(text, []byte("data: [DONE]\n\n")) {
		return errors.New("the stream ended without its [DONE] event")
	}
	return nil
}

// streamedText returns the concatenated tokens of a chat completion stream.
func streamedText(stream []byte) string {
	var b strings.Builder
	for line := range bytes.SplitSeq(stream, []byte("\n")) {
		data, ok := bytes.CutPrefix(line, []byte("data: {"))
		if !ok {
			continue
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal(append([]byte("{"), data...), &chunk) == nil && len(chunk.Choices) > 0 {
			b.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return strings.TrimSpace(b.String())
}

// showLogEntry posts a log entry to the plain service logbook, as a request that must not run
// twice. It fails unless the plain targets ran exactly one request.
func showLogEntry(ctx context.Context, p *printer, base string, f *Fleet) error {
	headers := map[string]string{entry.HeaderRepeatable: "no", entry.HeaderKey: "opening-check-7"}
	resp, err := post(ctx, base+"/v1/services/logbook/entries", `{"check":"fridge 3","degrees":9}`, headers)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	executions := 0
	for _, plain := range f.Plains {
		executions += len(plain.Runs())
	}
	p.printf("log entry: request %s ran on %s: %s", resp.Header.Get(entry.HeaderRequestID), resp.Header.Get(entry.HeaderTarget), text)
	p.printf("  entries written in all: %d", executions)
	if executions != 1 {
		return fmt.Errorf("the log entry ran %d times, want 1", executions)
	}
	return nil
}

func getJSON(ctx context.Context, url string, result any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(result)
}
