package entry

import (
	"time"

	"github.com/heatherrail/heatherrail/wire"
)

// raiseSignal sends a signal on a channel with a buffer of one. It does nothing if a signal is
// pending.
func raiseSignal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// clearSignal discards a pending signal.
func clearSignal(ch chan struct{}) {
	select {
	case <-ch:
	default:
	}
}

// retiredPollInterval is how often a retired connection is checked for requests.
const retiredPollInterval = 20 * time.Millisecond

// retire sends no new work to a connection and closes it when its requests have ended.
//
// Closing the connection at once would cut off answers in flight when the VM list shows the
// successor of a VM that is shutting down gracefully. The old agent closes its connections
// itself once it has no work left.
func (l *link) retire(conn *wire.Conn) {
	l.mu.Lock()
	l.retiredConns[conn] = true
	l.mu.Unlock()
	l.entry.tasks.Go(func() {
		l.closeWhenIdle(conn)
		l.mu.Lock()
		delete(l.retiredConns, conn)
		l.mu.Unlock()
	})
}

// closeWhenIdle closes the connection once it has no open request.
func (l *link) closeWhenIdle(conn *wire.Conn) {
	for !conn.CloseIfIdle() {
		select {
		case <-conn.Done():
			return
		case <-time.After(retiredPollInterval):
		case <-l.entry.ctx.Done():
			conn.Close()
			return
		}
	}
}

// handleShutdownNote records that the agent is stopping and retires its connection.
func (l *link) handleShutdownNote(c *wire.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stoppedIncarnation = c.Peer().Incarnation
	if l.conn == c {
		raiseSignal(l.shutdownNotice)
	}
}

// isStopped reports whether this agent incarnation has sent a shutdown note.
func (l *link) isStopped(incarnation uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stoppedIncarnation == incarnation
}
