package logging_test

import (
	"errors"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/logging"
)

// A caller sends a model name with a line feed. Unquoted, it would let the caller write
// forged events into the log.
func TestEventWithLineFeedInValueIsOneLine(t *testing.T) {
	g := NewWithT(t)
	var b strings.Builder
	l := logging.New(&b, 0).WithName("entry").WithValues("entry", "e-1")
	l.Error(errors.New("a\nb"), "refused", "service", "x\nlevel=error event=forged", "empty", "", "plain", 5)
	l.V(1).Info("too detailed")
	g.Expect(strings.Count(b.String(), "\n")).To(Equal(1))
	g.Expect(b.String()).To(HaveSuffix(` level=error part=entry event=refused error="a\nb" entry=e-1 service="x\nlevel=error event=forged" empty="" plain=5` + "\n"))
}

// A caller sends a request id of many kB, which is in each line of its request.
func TestLongValueIsCut(t *testing.T) {
	g := NewWithT(t)
	var b strings.Builder
	logging.New(&b, 0).Info("refused", "request", strings.Repeat("\x80", 16<<10), "code", 7)
	g.Expect(len(b.String())).To(BeNumerically("<", 8<<10))
	g.Expect(b.String()).To(HaveSuffix("...\" code=7\n"))
}
