// Package httphead checks the head of an HTTP/1 response by the grammar of RFC 9110 and RFC 9112 before an
// HTTP library parses it. Libraries accept heads that the grammar does not allow, and parts of a proxy
// would then disagree about where a body ends or which fields a response has.
package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
)

// ErrInvalid is the error for bytes that are not the head of a response.
var ErrInvalid = errors.New("not the head of an HTTP response")

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

// Check checks the head at the beginning of b. It returns the head's length and status; 0 if the head is
// incomplete so far.
func Check(b []byte) (length, status int, err error) {
	var f framing
	for at := 0; ; {
		end := bytes.IndexByte(b[at:], '\n')
		if end < 0 {
			return 0, 0, nil
		}
		line, terminated := bytes.CutSuffix(b[at:at+end], []byte{'\r'})
		if !terminated {
			return 0, 0, invalid("line without a carriage return at byte %d", at)
		}
		switch {
		case at == 0:
			if status, err = checkStatusLine(line); err != nil {
				return 0, 0, err
			}
			f.isHTTP10 = line[len("HTTP/1.")] == '0'
		case len(line) == 0:
			return at + end + 1, status, f.check()
		default:
			if err := f.addField(line); err != nil {
				return 0, 0, err
			}
		}
		at += end + 1
	}
}

// checkStatusLine checks a line of the form HTTP/1.1 200 OK and returns the status.
func checkStatusLine(line []byte) (status int, err error) {
	const versionEnd, statusEnd = len("HTTP/1.1"), len("HTTP/1.1 200")
	if len(line) <= statusEnd || !bytes.HasPrefix(line, []byte("HTTP/1.")) || !isDigit(line[versionEnd-1]) ||
		line[versionEnd] != ' ' || line[statusEnd] != ' ' {
		return 0, invalid("malformed status line")
	}
	for _, c := range line[versionEnd+1 : statusEnd] {
		if !isDigit(c) {
			return 0, invalid("status is not a number")
		}
		status = 10*status + int(c-'0')
	}
	switch {
	case status < 100 || status > 599:
		return 0, invalid("status %d", status)
	case status == statusSwitchingProtocols:
		return 0, invalid("change of the protocol, which was not requested")
	case !isText(line[statusEnd:]):
		return 0, invalid("control byte in the reason phrase")
	}
	return status, nil
}

const statusSwitchingProtocols = 101

// framing is what the fields so far say of the end of the body.
type framing struct {
	isHTTP10, hasLength, isChunked bool
}

// addField checks a line of the form name: value.
func (f *framing) addField(line []byte) error {
	if err := CheckField(line); err != nil {
		return err
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		if f.hasLength {
			return invalid("more than one length")
		}
		f.hasLength = true
		if n, err := strconv.ParseUint(string(value), 10, 64); err != nil || n > math.MaxInt || !isDigit(value[0]) {
			return invalid("malformed length")
		}
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if f.isChunked || !bytes.EqualFold(value, []byte("chunked")) {
			return invalid("transfer coding other than chunked")
		}
		f.isChunked = true
	}
	return nil
}

// check checks the framing of a whole head.
func (f *framing) check() error {
	switch {
	case f.isChunked && f.hasLength:
		return invalid("both a length and a transfer coding")
	case f.isChunked && f.isHTTP10:
		return invalid("transfer coding in HTTP/1.0")
	}
	return nil
}

// CheckField checks a field line of a head or of a trailer, without its line end.
func CheckField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte{':'})
	switch {
	case !found:
		return invalid("field without a colon")
	case !isToken(name):
		return invalid("malformed field name")
	case !isText(value):
		return invalid("control byte in a field")
	}
	return nil
}

// Peek waits for the next head and checks it. It consumes nothing.
func Peek(br *bufio.Reader) error {
	for {
		buffered, _ := br.Peek(br.Buffered()) // what is buffered can always be peeked
		if length, _, err := Check(buffered); length > 0 || err != nil {
			return err
		}
		if _, err := br.Peek(len(buffered) + 1); err != nil {
			switch {
			case errors.Is(err, bufio.ErrBufferFull):
				return invalid("longer than %d bytes", br.Size())
			case errors.Is(err, io.EOF) && len(buffered) > 0:
				return io.ErrUnexpectedEOF
			}
			return err
		}
	}
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isText reports whether b has no control bytes other than tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether b is a token, as names of fields are.
func isToken(b []byte) bool {
	for _, c := range b {
		isLetter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !isLetter && !isDigit(c) && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return false
		}
	}
	return len(b) > 0
}
