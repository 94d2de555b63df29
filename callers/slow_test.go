package callers

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/internal/tcp"
)

// Callers that do not read must not use up the memory, and those that read must not pay for them.
func TestSlowCallersShareABoundOnUnreadBytes(t *testing.T) {
	g := NewWithT(t)
	l := NewListener(nil, 8, 1000, func(net.Addr) {})
	long, short, reading := new(Conn), new(Conn), new(Conn)
	stall := func(bytes int, since time.Duration) tcp.Stall { return tcp.Stall{UnsentBytes: bytes, Since: since} }
	g.Expect(l.recordStall(long, stall(500, 8*time.Second))).To(BeTrue(), "within the bound")
	g.Expect(l.recordStall(short, stall(400, 4*time.Second))).To(BeTrue())
	g.Expect(l.recordStall(reading, stall(400, time.Second))).To(BeTrue(), "a caller that reads is never cut off")
	g.Expect(l.recordStall(short, stall(400, 4*time.Second))).To(BeTrue(), "not the slowest")
	g.Expect(l.recordStall(long, stall(500, 8*time.Second))).To(BeFalse(), "the slowest beyond the bound")
	g.Expect(l.recordStall(long, tcp.Stall{})).To(BeTrue())
	g.Expect(l.recordStall(short, stall(400, 5*time.Second))).To(BeTrue(), "within the bound again")
	g.Expect(l.recordStall(short, stall(1, writeTimeout))).To(BeFalse(), "whatever the bound, not for longer")
	g.Expect(l.recordStall(short, tcp.Stall{})).To(BeTrue())
	long.writing.Store(600)
	g.Expect(l.recordStall(long, stall(1, 9*time.Second))).To(BeFalse(), "bytes that wait in the process count too")
}
