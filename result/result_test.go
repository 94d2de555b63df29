package result_test

import (
	"fmt"
	"io"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/result"
)

// A lost connection is not the end of an answer.
// The entry's socket to the agent ends in mid-answer; the loss wraps the socket's
// io.EOF; whoever reads the answer looks for io.EOF as its clean end.
func TestALossIsNoCleanEnd(t *testing.T) {
	g := NewWithT(t)
	lost := result.New(result.WireClosed, "connection ended: %w", fmt.Errorf("read: %w", io.EOF))
	g.Expect(lost).NotTo(MatchError(io.EOF))
	g.Expect(lost.Detail).To(ContainSubstring("EOF"))
}
