package agent

import (
	"context"
	"time"

	"github.com/heatherrail/heatherrail/wire"
)

const (
	// shutdownNoteWait bounds the wait for entries that do not close their connection.
	shutdownNoteWait = 2 * time.Second
	shutdownNotePoll = 5 * time.Millisecond
)

// notifyShutdown asks every entry to close its connection and waits until all have done
// so.
//
// If an idle agent closed by itself, an entry might be sending a request at that moment.
// The connection would be reset and the caller told "may have run" although nothing ran,
// or the last frame of an answer would be lost in the send buffer. An entry closes only
// when it waits for nothing on the connection, and until then the agent refuses arriving
// requests as "not run".
func (a *Agent) notifyShutdown(ctx context.Context) {
	// The listener stays open, because closing it ends the accepted connections. An entry
	// that connects now gets a shutdown note at once and does not reconnect after it.
	a.stopping.Store(true)
	for _, c := range a.conns() {
		_ = c.SendNote(wire.NoteShutdown, nil) // on a lost connection there is no receiver
	}
	deadline := time.After(shutdownNoteWait)
	for len(a.conns()) > 0 {
		select {
		case <-time.After(shutdownNotePoll):
		case <-deadline:
			return
		case <-ctx.Done():
			return
		}
	}
}
