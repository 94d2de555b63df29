package crowds

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// Heads that are none must not cost many times their length: errors and log lines must not quote them.
func TestMalformedHeads(t *testing.T) {
	zeros, notASCII := make([]byte, 32<<10), bytes.Repeat([]byte{0x80}, 31<<10)
	for name, sent := range map[string][]byte{
		"another protocol": append([]byte("PRI * HTTP/2.0\r\n\r\n"), zeros...),
		"name of a field":  fmt.Appendf(nil, "GET / HTTP/1.1\r\n%s: x\r\n\r\n", notASCII),
		"value of a field": fmt.Appendf(nil, "GET / HTTP/1.1\r\nX: %s\r\n\r\n", zeros[:31<<10]),
		"path":             fmt.Appendf(nil, "GET /%s HTTP/1.1\r\n\r\n", zeros[:31<<10]),
	} {
		t.Run(name, func(t *testing.T) {
			d := startGateway(t, options{limits: many})
			for _, port := range []string{d.ready, d.directory, d.metrics, d.callers} {
				c := newCrowd(t, port, addresses...)
				c.come(1000, func(_ int, cl *client) { cl.send(sent) })
				d.expectSurvives(c)
			}
			d.expectNothingRan()
		})
	}
}

// Log lines that wait to be written must not use up the memory, whatever callers make them hold.
func TestLongRequestIDs(t *testing.T) {
	for name, path := range map[string]string{"no route": "/nowhere/", "answered": plainRoute} {
		t.Run(name, func(t *testing.T) {
			d := startGateway(t, options{limits: many})
			c := newCrowd(t, d.callers, addresses...)
			id := strings.Repeat("\x80", 15<<10)
			c.come(300, func(_ int, cl *client) {
				for range 8 {
					if !cl.send(head(path, id, announced(0))) || cl.response(answerTimeout) == nil {
						return
					}
				}
			})
			d.expectSurvives(c)
		})
	}
}
