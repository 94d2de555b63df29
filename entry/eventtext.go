package entry

import (
	"bytes"
	"encoding/json"
)

// The keys that carry the text of an event, in either interface.
var (
	keyText    = []byte(`"text"`)
	keyContent = []byte(`"content"`)
)

// eventText finds the text of an event without decoding the event: at a million
// events a second that was most of the entry's work. It answers only for events
// with exactly one such key and a string behind it, and leaves all others to the
// decoder. A quote inside a JSON string is escaped, so text that looks like a key
// is no match.
func eventText(data []byte) (token []byte, ok bool) {
	if data[len(data)-1] != '}' || bytes.Contains(data, []byte(`\u`)) {
		return nil, false
	}
	at, ok := onlyKey(data)
	if !ok {
		return nil, false
	}
	rest := skipSpace(data[at:])
	if len(rest) == 0 || rest[0] != ':' {
		return nil, false
	}
	rest = skipSpace(rest[1:])
	if len(rest) == 0 || rest[0] != '"' {
		return nil, false
	}
	return quoted(rest)
}

// onlyKey returns the place behind the one key that carries text.
func onlyKey(data []byte) (int, bool) {
	found := -1
	for _, key := range [][]byte{keyText, keyContent} {
		at := bytes.Index(data, key)
		if at < 0 {
			continue
		}
		at += len(key)
		if found >= 0 || bytes.Contains(data[at:], key) {
			return 0, false
		}
		found = at
	}
	return found, found >= 0
}

func skipSpace(b []byte) []byte { return bytes.TrimLeft(b, " \t\r\n") }

// quoted returns the string that b begins with. Only one with escapes costs a
// decoding.
func quoted(b []byte) ([]byte, bool) {
	for i := 1; i < len(b); i++ {
		switch {
		case b[i] == '"':
			return b[1:i], true
		case b[i] < ' ' || b[i] >= 0x80:
			return nil, false // not plain: the decoder knows what to do
		case b[i] == '\\':
			return unescaped(b)
		}
	}
	return nil, false
}

func unescaped(b []byte) ([]byte, bool) {
	end := 1
	for end < len(b) && b[end] != '"' {
		if b[end] == '\\' {
			end++
		}
		end++
	}
	if end >= len(b) {
		return nil, false
	}
	var s string
	if json.Unmarshal(b[:end+1], &s) != nil {
		return nil, false
	}
	return []byte(s), true
}
