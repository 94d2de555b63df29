package gateway

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/upstream"
)

// hopByHopHeaders concern a single connection and are not forwarded. The names are in lower case.
var hopByHopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "transfer-encoding": true,
	"te": true, "trailer": true, "upgrade": true, "content-length": true, "host": true, "expect": true,
}

// forwardedFields returns the header fields of a request that are forwarded, as the caller sent
// them. They are taken from the raw header: the parsed one has cookies in another encoding, one of
// several equal fields, and names in another spelling. reserved holds the lower-case names that only
// the gateway may set.
func forwardedFields(header *fasthttp.RequestHeader, reserved map[string]bool) []upstream.Field {
	connHeaders := connectionHeaders(header)
	var fields []upstream.Field
	forwarded := false // the field of the latest line is forwarded
	for line := range bytes.Lines(header.RawHeaders()) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break
		}
		if line[0] == ' ' || line[0] == '\t' { // the field of the latest line goes on
			if forwarded {
				fields[len(fields)-1].Value += " " + string(bytes.Trim(line, " \t"))
			}
			continue
		}
		name, value, _ := bytes.Cut(line, []byte{':'})
		key := strings.ToLower(string(name))
		forwarded = !hopByHopHeaders[key] && !connHeaders[key] && !reserved[key]
		if forwarded {
			fields = append(fields, upstream.Field{Name: string(name), Value: string(bytes.Trim(value, " \t"))})
		}
	}
	return fields
}

// connectionHeaders returns the lower-case names of the header fields that the Connection fields of
// a request declare as hop-by-hop.
func connectionHeaders(header interface{ PeekAll(string) [][]byte }) map[string]bool {
	var headers map[string]bool
	for _, value := range header.PeekAll(fasthttp.HeaderConnection) {
		for name := range strings.SplitSeq(string(value), ",") {
			if headers == nil {
				headers = make(map[string]bool)
			}
			headers[strings.ToLower(strings.TrimSpace(name))] = true
		}
	}
	return headers
}

// copyHeader copies the status and the header fields of a target's response. Several fields of one
// name stay several. The HTTP library drops Date.
func (g *Gateway) copyHeader(c *fasthttp.RequestCtx, a *attempt) {
	from, to := &a.resp.Header, &c.Response.Header
	to.SetStatusCode(a.resp.Status)
	to.SetStatusMessage(from.StatusMessage())
	connHeaders := connectionHeaders(from)
	for k, v := range from.All() {
		name := strings.ToLower(string(k))
		if !hopByHopHeaders[name] && !connHeaders[name] {
			to.AddBytesKV(k, v)
		}
	}
	if length := from.ContentLength(); c.IsHead() && length >= 0 {
		to.SetContentLength(length) // of the body that a GET would return
	}
	if g.stopping.Load() {
		c.SetConnectionClose()
	}
}
