package crowds

import (
	"strings"
	"testing"
)

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
