package callers

import (
	"time"

	"github.com/heatherrail/heatherrail/internal/tcp"
)

// DefaultUnreadBytes is the limit on the bytes that callers leave unread if the settings have none.
const DefaultUnreadBytes = 32 << 20

// minSlowTime is how long a caller may read nothing before it can be cut off to free memory.
const minSlowTime = 2500 * time.Millisecond

// slowReaders are the connections whose callers have not read all that was written, with the state of
// the latest check.
type slowReaders map[*Conn]slowReader

type slowReader struct {
	bytes int
	since time.Time // time at which the caller last read
}

// recordStall records that a caller has not read its response. It returns false if the connection is to
// be ended: the caller has read nothing for writeTimeout, or all slow callers together hold too much
// memory and none has waited longer.
func (l *Listener) recordStall(c *Conn, s tcp.Stall) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == (tcp.Stall{}) {
		delete(l.slow, c)
		return true
	}
	l.slow[c] = slowReader{bytes: s.UnsentBytes + int(c.writing.Load()), since: time.Now().Add(-s.Since)}
	if s.Since >= writeTimeout {
		return false
	}
	return s.Since < minSlowTime || l.slow.total() <= l.maxUnreadBytes || !l.slow.isSlowest(c)
}

func (r slowReaders) total() (bytes int) {
	for _, s := range r {
		bytes += s.bytes
	}
	return bytes
}

// isSlowest reports whether no caller has read nothing for longer than the caller of c.
func (r slowReaders) isSlowest(c *Conn) bool {
	for _, s := range r {
		if s.since.Before(r[c].since) {
			return false
		}
	}
	return true
}

// Unread returns the number of connections whose callers have not read all that was written.
func (l *Listener) Unread() (n int) {
	l.mu.Lock()
	var conns []*Conn
	for c := range l.open {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		if c.stall.Undelivered() {
			n++
		}
	}
	return n
}
