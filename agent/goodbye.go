package agent

import (
	"context"
	"time"

	"github.com/heatherrail/heatherrail/wire"
)

const (
	// goodbyeWait bounds the wait for entries that don't answer a goodbye.
	goodbyeWait = 2 * time.Second
	goodbyePoll = 5 * time.Millisecond
)

// sayGoodbye asks every entry to close its connection and waits until they have.
//
// Failure: an entry sends a request in the moment in which an idle agent closes.
// Symptom: the connection is reset and the caller is told "may have run", though
// nothing ran; or the last frame of an answer is still in the ring and is lost.
// Enough, because the entry closes only once it waits for nothing on the
// connection, and until then the agent refuses what still arrives as "not run".
func (a *Agent) sayGoodbye(ctx context.Context) {
	// The listener stays open: closing it ends the connections that it made. Who
	// comes now is greeted with a goodbye, and entries don't come back after one.
	a.stopping.Store(true)
	for _, c := range a.conns() {
		_ = c.SendNote(wire.NoteShutdown, nil) // a lost connection needs no goodbye
	}
	deadline := time.After(goodbyeWait)
	for len(a.conns()) > 0 {
		select {
		case <-time.After(goodbyePoll):
		case <-deadline:
			return
		case <-ctx.Done():
			return
		}
	}
}
