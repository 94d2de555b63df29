package wire

import "sync"

// chunkSize is the size of pooled chunk buffers. Smaller chunks, such as single
// tokens, are allocated to measure: a slow reader may hold a window full of
// them, and each would pin a whole buffer.
const chunkSize = 8 << 10

var chunkPool = sync.Pool{New: func() any { b := make([]byte, chunkSize); return &b }}

// copyChunk returns a copy of p that its receiver owns.
func copyChunk(p []byte) []byte {
	if len(p) < chunkSize/2 || len(p) > chunkSize {
		return append([]byte(nil), p...)
	}
	b := *chunkPool.Get().(*[]byte)
	return b[:copy(b, p)]
}

// Free takes the bytes of an Event back for another one. The caller must hold no
// other reference to them. Nothing has to be freed: what is not goes to the
// garbage collector.
func Free(p []byte) {
	if cap(p) != chunkSize {
		return
	}
	p = p[:chunkSize]
	chunkPool.Put(&p)
}
