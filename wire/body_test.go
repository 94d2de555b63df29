package wire_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/wire"
)

// A request whose body was longer than 64 kB could not be decoded by the agent, and its caller got a failure.
func TestRequestWithLongBodyIsDecoded(t *testing.T) {
	g := NewWithT(t)
	sent := wire.Request{ID: "r", Body: make([]byte, 7<<20)}
	encoded, err := sent.MarshalMsg(nil)
	g.Expect(err).NotTo(HaveOccurred())
	var received wire.Request
	_, err = received.UnmarshalMsg(encoded)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received.Body).To(HaveLen(len(sent.Body)))
}
