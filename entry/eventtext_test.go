package entry

import (
	"bytes"
	"encoding/json"
	"testing"
)

// FuzzEventText compares eventText with the JSON decoder, with events crafted to confuse
// the key search among the seeds. Where both find a text, the texts must be equal.
func FuzzEventText(f *testing.F) {
	for _, event := range []string{
		`{"choices":[{"index":0,"text":" oven"}]}`,
		`{"choices": [{"delta": {"role": "assistant", "content": " oven"}}]}`,
		`{"choices":[{"text":"say \"text\":\"x\" \\"}]}`,
		`{"choices":[{"text":"a"},{"text":"b"}]}`,
		`{"choices":[{"text":"a","delta":{"content":"b"}}]}`,
		`{"choices":[{"text":"line\nend \u00e9"}]}`,
		`{"choices":[{"text":null}]}`,
		`{"choices":[],"usage":{"text":"x"}}`,
		`{"other":{"text":"x"},"choices":[{}]}`,
		`{"TEXT":"x","choices":[{"Text":"y"}]}`,
		`{"choices":[{"text":"é"}]}`,
	} {
		f.Add([]byte(event))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) == 0 || hasKeyInOtherCase(data) {
			return
		}
		token, ok := eventText(data)
		var e textEvent
		if !ok || json.Unmarshal(data, &e) != nil || len(e.Choices) == 0 {
			return
		}
		want := e.Choices[0].Text + e.Choices[0].Delta.Content
		if want != "" && string(token) != want {
			t.Fatalf("eventText(%q) = %q, JSON decoder = %q", data, token, want)
		}
	})
}

// hasKeyInOtherCase reports keys in another case. The decoder accepts them, but engines do
// not send them: both interfaces define the keys in lower case.
func hasKeyInOtherCase(data []byte) bool {
	lower := bytes.ToLower(data)
	for _, key := range [][]byte{keyText, keyContent, []byte(`"delta"`), []byte(`"choices"`)} {
		if bytes.Count(lower, key) != bytes.Count(data, key) {
			return true
		}
	}
	return bytes.Contains(data, []byte(`\u`)) // escapes could spell a key
}
