package peers

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/shedding"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// A client gets a response again after the peer has restarted at the same address.
func TestClientReconnectsAfterPeerRestart(t *testing.T) {
	g := NewWithT(t)
	ln := listen(t)
	handlers := map[Kind]Handler{KindLoads: func([]byte) (msgp.Marshaler, error) { return &Loads{Known: true, Leader: "l"}, nil }}
	s := Serve(ln, shedding.Limits{}, handlers, func(string, error) {})
	c := NewClient(ln.Addr().String())
	defer c.Close()
	ask := func() error {
		var response Loads
		if err := c.Ask(context.Background(), KindLoads, &LoadsQuery{}, &response, 5*time.Second); err != nil {
			return err
		}
		g.Expect(response.Leader).To(Equal("l"))
		return nil
	}
	g.Expect(ask()).To(Succeed())
	s.Close()
	restarted, err := net.Listen("tcp", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer restarted.Close()
	Serve(restarted, shedding.Limits{}, handlers, func(string, error) {})
	g.Eventually(ask, "5s").Should(Succeed())
}

// A peer responds to the first request after the client's timeout. The client must close the
// connection, or it would take the late response for the response to the second request.
func TestLateResponseIsNotTakenForNextOne(t *testing.T) {
	g := NewWithT(t)
	ln := listen(t)
	release := make(chan struct{})
	first := true
	Serve(ln, shedding.Limits{}, map[Kind]Handler{KindLoads: func([]byte) (msgp.Marshaler, error) {
		if first {
			first = false
			<-release
			return &Loads{Leader: "late"}, nil
		}
		return &Loads{Leader: "right"}, nil
	}}, func(string, error) {})
	c := NewClient(ln.Addr().String())
	defer c.Close()
	var response Loads
	err := c.Ask(context.Background(), KindLoads, &LoadsQuery{}, &response, 50*time.Millisecond)
	g.Expect(err).To(HaveOccurred())
	close(release)
	g.Expect(c.Ask(context.Background(), KindLoads, &LoadsQuery{}, &response, 5*time.Second)).To(Succeed())
	g.Expect(response.Leader).To(Equal("right"))
}

// A frame header claims a payload of a gigabyte: nothing may be allocated for it.
func TestOversizedFrameIsRejected(t *testing.T) {
	g := NewWithT(t)
	head := binary.BigEndian.AppendUint32(nil, 1<<30)
	_, _, err := readFrame(bufio.NewReader(bytes.NewReader(append(head, 1))), reserveNothing)
	g.Expect(err).To(MatchError(ErrFrame))
}

// A configuration of thousands of routes must shrink and be restored unchanged. If it exceeded a
// limit of the codec, entries that cannot read the store would not get it from peers.
func TestLargeUpdateIsCompressed(t *testing.T) {
	g := NewWithT(t)
	value := []byte(strings.Repeat(`{"name":"r-1","host":"h","path-prefix":"/x/","timeout-ms":8000},`, 20000))
	update := TopicUpdate{Topic: 1, FromOffset: 2, NextOffset: 9, Records: []Record{{Key: "config", Value: value, Offset: 8}}}
	want := update.Records
	g.Expect(update.Pack()).To(Succeed())
	g.Expect(len(update.Packed)).To(BeNumerically("<", len(value)/8))
	g.Expect(update.Unpack()).To(Succeed())
	g.Expect(update.Records).To(Equal(want))
}

// Decoding any bytes from a peer must end with a message or an error.
func FuzzHeartbeats(f *testing.F) {
	h := Heartbeat{Entry: Presence{Name: "a"}, Topics: []TopicState{{Next: 1}}, Updates: []TopicUpdate{{Topic: 1, Packed: []byte{1, 2}}}}
	frame, err := appendFrame(nil, KindHeartbeat, &h)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, payload, err := readFrame(bufio.NewReader(bytes.NewReader(data)), reserveNothing)
		if err != nil {
			return
		}
		var h Heartbeat
		if _, err := h.UnmarshalMsg(payload); err != nil {
			return
		}
		for i := range h.Updates {
			_ = h.Updates[i].Unpack() // an error is accepted
		}
	})
}

// A process has closed its server while peers still hold connections to it. If it responded on
// one of them, the peer would consider the process alive and send callers to it.
func TestClosedServerDoesNotRespond(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s := Serve(ln, shedding.Limits{}, map[Kind]Handler{KindLoads: func([]byte) (msgp.Marshaler, error) { return &Loads{}, nil }}, func(string, error) {})
	c := NewClient(ln.Addr().String())
	defer c.Close()
	var loads Loads
	g.Expect(c.Ask(context.Background(), KindLoads, &LoadsQuery{}, &loads, time.Second)).To(Succeed())
	s.Close()
	g.Expect(c.Ask(context.Background(), KindLoads, &LoadsQuery{}, &loads, time.Second)).NotTo(Succeed())
}
