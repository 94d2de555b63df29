package wire

import "sync"

// chunkSize is the size of pooled chunk buffers, in bytes. Chunks smaller than half
// of it, such as single tokens, are allocated at their own size: a slow reader can
// hold a window full of them, and each would otherwise pin a whole buffer.
const chunkSize = 8 << 10

var chunkPool = sync.Pool{New: func() any { b := make([]byte, chunkSize); return &b }}

// copyChunk returns a copy of p, in a pooled buffer if p is large enough.
func copyChunk(p []byte) []byte {
	if len(p) < chunkSize/2 || len(p) > chunkSize {
		return append([]byte(nil), p...)
	}
	b := *chunkPool.Get().(*[]byte)
	return b[:copy(b, p)]
}

// Free returns the bytes of an Event to the buffer pool. The caller must hold no
// other reference to them. Calling Free is optional: bytes that are not freed are
// garbage collected.
func Free(p []byte) {
	if cap(p) != chunkSize {
		return
	}
	p = p[:chunkSize]
	chunkPool.Put(&p)
}
