package gateway

import (
	"errors"
	"fmt"
	"io"
	"sync"
)

// maxBufferedBytes limits a response that is buffered completely before delivery.
const maxBufferedBytes = 16 << 20

// defaultBufferedBytes is the limit on all buffered responses together if the options have none.
const defaultBufferedBytes = 2 * maxBufferedBytes

var (
	errResponseTooLarge = errors.New("response exceeds the size limit")
	errBuffersFull      = errors.New("responses that are being read take too much memory, this one more than others")
)

// responseBuffers bounds the memory of the responses that are being read from targets. Beyond the
// bound the larger ones are broken off, so that a target that answers without end does not cost the
// responses of others.
type responseBuffers struct {
	limit int

	mu        sync.Mutex
	bytes     int // of all responses
	responses int
}

// responseBuffer is the memory of one response.
type responseBuffer struct {
	all   *responseBuffers
	bytes int
}

func (b *responseBuffers) open() *responseBuffer {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.responses++
	return &responseBuffer{all: b}
}

// grow reserves memory for the response to hold n bytes. It returns false if the response must be
// broken off.
func (r *responseBuffer) grow(n int) bool {
	b := r.all
	b.mu.Lock()
	defer b.mu.Unlock()
	after := b.bytes + n - r.bytes
	if after > b.limit && n*b.responses >= after {
		return false
	}
	b.bytes, r.bytes = after, n
	return true
}

// close releases the memory. The response counts as unread by its caller from then on.
func (r *responseBuffer) close() {
	b := r.all
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes -= r.bytes
	b.responses--
	r.bytes = 0
}

// firstBufferBytes is the first size of the buffer for a body of unknown length.
const firstBufferBytes = 4 << 10

// readBody reads the whole body of a response.
func (g *Gateway) readBody(a *attempt) ([]byte, error) {
	memory := g.buffers.open()
	defer memory.close()
	size := a.resp.Header.ContentLength()
	if size < 0 {
		size = firstBufferBytes
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			switch {
			case len(body) > maxBufferedBytes || size > maxBufferedBytes:
				return nil, errResponseTooLarge
			case !memory.grow(size + 1):
				return nil, fmt.Errorf("response broken off after %d bytes: %w", len(body), errBuffersFull)
			}
			body = append(make([]byte, 0, size+1), body...)
			size = min(2*size, maxBufferedBytes)
		}
		n, err := a.resp.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, fmt.Errorf("response broken after %d bytes: %w", len(body), err)
		}
	}
}
