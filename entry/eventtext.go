package entry

import (
	"bytes"
	"encoding/json"
)

// JSON keys that hold the text of an event, in the completion and chat interfaces.
var (
	keyText    = []byte(`"text"`)
	keyContent = []byte(`"content"`)
)

// eventText extracts the text of an event without decoding the JSON: at a million events a
// second, decoding was most of the entry's work. It returns false, and leaves the event to
// the decoder, unless the event has exactly one text key with a string value. Quotes
// inside a JSON string are escaped, so text that looks like a key does not match.
func eventText(data []byte) (token []byte, ok bool) {
	if data[len(data)-1] != '}' || bytes.Contains(data, []byte(`\u`)) {
		return nil, false
	}
	keyEnd, ok := findSingleTextKey(data)
	if !ok {
		return nil, false
	}
	rest := skipSpace(data[keyEnd:])
	if len(rest) == 0 || rest[0] != ':' {
		return nil, false
	}
	rest = skipSpace(rest[1:])
	if len(rest) == 0 || rest[0] != '"' {
		return nil, false
	}
	return leadingString(rest)
}

// findSingleTextKey returns the offset after the text key. It returns false unless the
// event has exactly one such key.
func findSingleTextKey(data []byte) (int, bool) {
	found := -1
	for _, key := range [][]byte{keyText, keyContent} {
		end := bytes.Index(data, key)
		if end < 0 {
			continue
		}
		end += len(key)
		if found >= 0 || bytes.Contains(data[end:], key) {
			return 0, false
		}
		found = end
	}
	return found, found >= 0
}

func skipSpace(b []byte) []byte { return bytes.TrimLeft(b, " \t\r\n") }

// leadingString returns the content of the JSON string at the start of b. It runs the
// decoder only if the string contains escapes.
func leadingString(b []byte) ([]byte, bool) {
	for i := 1; i < len(b); i++ {
		switch {
		case b[i] == '"':
			return b[1:i], true
		case b[i] < ' ' || b[i] >= 0x80:
			return nil, false // not printable ASCII: left to the decoder
		case b[i] == '\\':
			return unescapeString(b)
		}
	}
	return nil, false
}

// unescapeString decodes the JSON string at the start of b.
func unescapeString(b []byte) ([]byte, bool) {
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
