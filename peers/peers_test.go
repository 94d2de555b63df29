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
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// A question is answered, also after the peer has restarted at the same address.
func TestAQuestionIsAnsweredAfterARestart(t *testing.T) {
	g := NewWithT(t)
	ln := listen(t)
	handlers := map[Kind]Handler{KindLoads: func([]byte) (msgp.Marshaler, error) { return &Loads{Known: true, Leader: "l"}, nil }}
	s := Serve(ln, handlers, func(string, error) {})
	c := NewClient(ln.Addr().String())
	defer c.Close()
	ask := func() error {
		var answer Loads
		if err := c.Ask(context.Background(), KindLoads, &LoadsQuery{}, &answer, 5*time.Second); err != nil {
			return err
		}
		g.Expect(answer.Leader).To(Equal("l"))
		return nil
	}
	g.Expect(ask()).To(Succeed())
	s.Close()
	again, err := net.Listen("tcp", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer again.Close()
	Serve(again, handlers, func(string, error) {})
	g.Eventually(ask, "5s").Should(Succeed())
}

// A peer answers a first question too late. The answer must not be taken for that
// to the second: the connection is given up with the first question.
func TestALateAnswerIsNotTakenForTheNext(t *testing.T) {
	g := NewWithT(t)
	ln := listen(t)
	hold := make(chan struct{})
	first := true
	Serve(ln, map[Kind]Handler{KindLoads: func([]byte) (msgp.Marshaler, error) {
		if first {
			first = false
			<-hold
			return &Loads{Leader: "late"}, nil
		}
		return &Loads{Leader: "right"}, nil
	}}, func(string, error) {})
	c := NewClient(ln.Addr().String())
	defer c.Close()
	var answer Loads
	err := c.Ask(context.Background(), KindLoads, &LoadsQuery{}, &answer, 50*time.Millisecond)
	g.Expect(err).To(HaveOccurred())
	close(hold)
	g.Expect(c.Ask(context.Background(), KindLoads, &LoadsQuery{}, &answer, 5*time.Second)).To(Succeed())
	g.Expect(answer.Leader).To(Equal("right"))
}

// Four bytes from a stranger claim a gigabyte: nothing is allocated for it.
func TestAFrameThatIsTooLongIsRefused(t *testing.T) {
	g := NewWithT(t)
	head := binary.BigEndian.AppendUint32(nil, 1<<30)
	_, _, err := readFrame(bufio.NewReader(bytes.NewReader(append(head, 1))))
	g.Expect(err).To(MatchError(ErrFrame))
}

// A configuration of thousands of routes is sent to each entry of a fleet. Packed
// it must be a fraction of its size, and come out as it went in; a limit of the
// codec that it exceeds would leave entries without it that the store turns away.
func TestLargeNewsArePacked(t *testing.T) {
	g := NewWithT(t)
	value := []byte(strings.Repeat(`{"name":"r-1","host":"h","path-prefix":"/x/","timeout-ms":8000},`, 20000))
	news := TopicUpdate{Topic: 1, From: 2, Next: 9, Records: []Record{{Key: "config", Value: value, Offset: 8}}}
	want := news.Records
	g.Expect(news.Pack()).To(Succeed())
	g.Expect(len(news.Packed)).To(BeNumerically("<", len(value)/8))
	g.Expect(news.Unpack()).To(Succeed())
	g.Expect(news.Records).To(Equal(want))
}

// Whatever a peer sends, reading it ends with a message or an error.
func FuzzHeartbeats(f *testing.F) {
	h := Heartbeat{Entry: Presence{Name: "a"}, Topics: []TopicState{{Next: 1}}, Updates: []TopicUpdate{{Topic: 1, Packed: []byte{1, 2}}}}
	frame, err := appendFrame(nil, KindHeartbeat, &h)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, payload, err := readFrame(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		var h Heartbeat
		if _, err := h.UnmarshalMsg(payload); err != nil {
			return
		}
		for i := range h.Updates {
			_ = h.Updates[i].Unpack() // an error is as good as records
		}
	})
}

// A process has ended its service, but peers still hold connections to it. Nobody may be
// answered on these: whoever is takes it for alive, and callers are sent to it.
func TestAClosedServerAnswersNobody(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	s := Serve(ln, map[Kind]Handler{KindLoads: func([]byte) (msgp.Marshaler, error) { return &Loads{}, nil }}, func(string, error) {})
	c := NewClient(ln.Addr().String())
	defer c.Close()
	var loads Loads
	g.Expect(c.Ask(context.Background(), KindLoads, &LoadsQuery{}, &loads, time.Second)).To(Succeed())
	s.Close()
	g.Expect(c.Ask(context.Background(), KindLoads, &LoadsQuery{}, &loads, time.Second)).NotTo(Succeed())
}
