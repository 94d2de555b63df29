package result_test

import (
	"fmt"
	"io"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/result"
)

// The connection to the agent is lost in the middle of an answer, and its error wraps
// io.EOF. The reader of the answer must not take it for the end of the answer.
func TestLostConnectionIsNotEOF(t *testing.T) {
	g := NewWithT(t)
	lost := result.New(result.WireClosed, "connection ended: %w", fmt.Errorf("read: %w", io.EOF))
	g.Expect(lost).NotTo(MatchError(io.EOF))
	g.Expect(lost.Detail).To(ContainSubstring("EOF"))
}
