package callers

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// headSize is the size of a head, as far as it has arrived.
type headSize struct {
	bytes    int
	fields   int
	reserved int // memory reserved beyond that of any request
}

// Memory of a head. A field of three bytes takes fifty times as much when it is parsed.
const (
	freeHeadBytes  = 4 << 10 // covered by the memory of any request
	freeHeadFields = 64      // the same
	headCopies     = 3       // as read, as parsed, as sent to the target
	fieldBytes     = 160     // of a field in the library's and in our lists
)

func (h *headSize) memory() int {
	return max(h.bytes-freeHeadBytes, 0)*headCopies + max(h.fields-freeHeadFields, 0)*fieldBytes
}

// isLarge reports whether the head takes more memory than that of any request.
func (h *headSize) isLarge() bool { return h.reserved > 0 }

// reserveHead reserves the memory for a part of a head, before the library parses it. Part of a body may follow.
func (c *Conn) reserveHead(part []byte) error {
	if end := bytes.Index(part, []byte("\r\n\r\n")); end >= 0 {
		part = part[:end]
	}
	c.head.bytes += len(part)
	c.head.fields += bytes.Count(part, []byte{'\n'})
	more := c.head.memory() - c.head.reserved
	if more <= 0 {
		return nil
	}
	if err := c.reserve(more); err != nil {
		return err
	}
	c.head.reserved += more
	return nil
}

// dropLargeHead releases the memory of a large head that was parsed. The library would keep it for later requests, which have not
// reserved it.
func dropLargeHead(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*Conn); ok && c.head.isLarge() {
		ctx.Request.Header = fasthttp.RequestHeader{}
	}
}
