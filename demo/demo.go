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

// Run shows the whole path to w: it asks an entry for addresses, sends a streamed
// drafting request and a log entry that may not be repeated, and prints what came
// back.
func Run(ctx context.Context, f *Fleet, w io.Writer) error {
	p := &printer{w: w}
	first := f.Entries[0].Addr()
	var list entry.EntriesAnswer
	if err := getJSON(ctx, "http://"+first+"/v1/entries", &list); err != nil {
		return err
	}
	if len(list.Entries) == 0 {
		return errors.New("the entry named no addresses")
	}
	p.line("entries: %s (keep for %d s)", strings.Join(list.Entries, " "), list.Lifetime)
	base := "http://" + list.Entries[0]
	if err := draft(ctx, p, base, f); err != nil {
		return fmt.Errorf("draft: %w", err)
	}
	if err := logEntry(ctx, p, base, f); err != nil {
		return fmt.Errorf("log entry: %w", err)
	}
	if err := showSwitch(ctx, p, base, f); err != nil {
		return err
	}
	p.line("counters:")
	if err := f.Metrics.Write(p); err != nil {
		return err
	}
	return p.err
}

type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	fmt.Fprintf(p, format+"\n", args...)
}

// Write implements io.Writer and keeps the first error.
func (p *printer) Write(b []byte) (int, error) {
	if p.err != nil {
		return 0, p.err
	}
	var n int
	n, p.err = p.w.Write(b)
	return n, p.err
}

const demoTeam = "kitchens-north"

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
		text, _ := io.ReadAll(resp.Body) // the status alone says enough if the body is cut
		_ = resp.Body.Close()
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return resp, nil
}

const draftBody = `{"model":"drafter","stream":true,"max_tokens":24,"messages":[` +
	`{"role":"user","content":"Fridge 3 reads 9 degrees. Draft a corrective action."}]}`

func draft(ctx context.Context, p *printer, base string, f *Fleet) error {
	begin := time.Now()
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
	p.line("draft: request %s ran on %s: %d events in %d ms",
		resp.Header.Get(entry.HeaderRequestID), resp.Header.Get(entry.HeaderTarget), events, time.Since(begin).Milliseconds())
	p.line("  %s", streamedText(text))
	if !bytes.HasSuffix(text, []byte("data: [DONE]\n\n")) {
		return errors.New("the stream did not end as a whole answer does")
	}
	return nil
}

// streamedText joins the tokens of a chat stream.
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

func logEntry(ctx context.Context, p *printer, base string, f *Fleet) error {
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
	runs := 0
	for _, plain := range f.Plains {
		runs += len(plain.Runs())
	}
	p.line("log entry: request %s ran on %s: %s", resp.Header.Get(entry.HeaderRequestID), resp.Header.Get(entry.HeaderTarget), text)
	p.line("  entries written in all: %d", runs)
	if runs != 1 {
		return fmt.Errorf("the log entry ran %d times", runs)
	}
	return nil
}

func getJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}
