package hosted_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/demo/hosted"
)

// Guards against incomplete streams, log entries that are written twice and passes that use two
// maps, while demand shifts, an entry crashes and a configuration adds a route.
func TestTheWholeSystemInOneProcess(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var out bytes.Buffer
	err := hosted.Run(ctx, logr.Discard(), &out)
	t.Log(out.String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out.String()).To(ContainSubstring("passes with two maps     0"))
}
