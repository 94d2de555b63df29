package entry

import (
	"time"

	"github.com/heatherrail/heatherrail/wire"
)

// raiseFlag signals a channel with one place; a signal that waits already suffices.
func raiseFlag(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func dropFlag(ch chan struct{}) {
	select {
	case <-ch:
	default:
	}
}

// retirePoll is how often a retired connection is looked at.
const retirePoll = 20 * time.Millisecond

// retire gives a connection no new work and closes it when its requests have
// ended.
//
// Failure: the VM list names the successor of a VM that is shutting down
// gracefully. Symptom: answers in flight are cut off. Enough, because the old
// agent ends its connections itself once it has nothing left to do.
func (l *link) retire(conn *wire.Conn) {
	l.mu.Lock()
	l.retired[conn] = true
	l.mu.Unlock()
	l.entry.duties.Go(func() {
		l.closeWhenIdle(conn)
		l.mu.Lock()
		delete(l.retired, conn)
		l.mu.Unlock()
	})
}

// closeWhenIdle closes the connection once no request waits on it.
func (l *link) closeWhenIdle(conn *wire.Conn) {
	for !conn.CloseIfIdle() {
		select {
		case <-conn.Done():
			return
		case <-time.After(retirePoll):
		case <-l.entry.ctx.Done():
			conn.Close()
			return
		}
	}
}

func (l *link) heardGoodbye(c *wire.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = c.Peer().Incarnation
	if l.conn == c {
		raiseFlag(l.goodbye)
	}
}

func (l *link) hasStopped(incarnation uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopped == incarnation
}
