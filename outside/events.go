package outside

import (
	"bytes"
	"errors"
	"io"
)

// errNoDone marks an event stream that stopped without its last event.
var errNoDone = errors.New("the event stream ended without data: [DONE]")

// eventTail is more than the last event with any line ends around it.
const eventTail = 64

// eventBody is an event stream that is whole only if it ends as engines end it.
type eventBody struct {
	io.ReadCloser
	tail []byte // last bytes read
}

// Read implements io.Reader.
func (b *eventBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.keep(p[:n])
	if err == io.EOF && !b.done() {
		return n, errNoDone
	}
	return n, err
}

func (b *eventBody) keep(p []byte) {
	if len(p) > eventTail {
		p = p[len(p)-eventTail:]
	}
	b.tail = append(b.tail, p...)
	if extra := len(b.tail) - eventTail; extra > 0 {
		b.tail = append(b.tail[:0], b.tail[extra:]...)
	}
}

func (b *eventBody) done() bool {
	line := bytes.TrimSpace(b.tail)
	if at := bytes.LastIndexByte(line, '\n'); at >= 0 {
		line = line[at+1:]
	}
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	return ok && string(bytes.TrimSpace(data)) == "[DONE]"
}
