package outside

import (
	"bytes"
	"errors"
	"io"
)

// errMissingDone is returned at the end of an event stream without "data: [DONE]".
var errMissingDone = errors.New("the event stream ended without data: [DONE]")

// tailSize is the number of trailing bytes to keep. It exceeds the size of the last
// event with any line ends around it.
const tailSize = 64

// eventBody is an event stream that ends with io.EOF only if its last event is
// "data: [DONE]".
type eventBody struct {
	io.ReadCloser
	tail []byte // last tailSize bytes read
}

// Read implements io.Reader.
func (b *eventBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.appendTail(p[:n])
	if err == io.EOF && !b.endsWithDone() {
		return n, errMissingDone
	}
	return n, err
}

func (b *eventBody) appendTail(p []byte) {
	if len(p) > tailSize {
		p = p[len(p)-tailSize:]
	}
	b.tail = append(b.tail, p...)
	if extra := len(b.tail) - tailSize; extra > 0 {
		b.tail = append(b.tail[:0], b.tail[extra:]...)
	}
}

func (b *eventBody) endsWithDone() bool {
	line := bytes.TrimSpace(b.tail)
	if at := bytes.LastIndexByte(line, '\n'); at >= 0 {
		line = line[at+1:]
	}
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	return ok && string(bytes.TrimSpace(data)) == "[DONE]"
}
