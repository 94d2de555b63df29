package result_test

import (
	"fmt"
	"io"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/result"
)

// The connection to the agent is lost in the middle of a response, and its error wraps
// io.EOF. The reader must not take the error for the end of the response.
func TestLostConnectionIsNotEOF(t *testing.T) {
	g := NewWithT(t)
	lost := result.New(result.WireClosed, "connection ended: %w", fmt.Errorf("read: %w", io.EOF))
	g.Expect(lost).NotTo(MatchError(io.EOF))
	g.Expect(lost.Detail).To(ContainSubstring("EOF"))
}
