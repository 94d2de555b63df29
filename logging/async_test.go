package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/logging"
)

// blockedWriter stands for a reader of the log that has stopped reading.
type blockedWriter struct {
	mu      sync.Mutex
	release chan struct{}
	text    bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// The process ends and closes its log while a goroutine still logs. That must not
// end the process in a panic, and what was logged before is written.
func TestALogThatIsClosedCanStillBeWrittenTo(t *testing.T) {
	g := NewWithT(t)
	w := &blockedWriter{release: make(chan struct{})}
	close(w.release)
	a := logging.NewAsync(w)
	_, err := a.Write([]byte("before\n"))
	g.Expect(err).NotTo(HaveOccurred())
	a.Close()
	g.Expect(w.text.String()).To(Equal("before\n"))
	_, err = a.Write([]byte("after\n"))
	g.Expect(err).NotTo(HaveOccurred())
}

// Nobody reads the log. Whoever logs must go on all the same; when it is read
// again, it says how many lines are missing.
func TestALogThatNobodyReadsHoldsNobodyUp(t *testing.T) {
	g := NewWithT(t)
	w := &blockedWriter{release: make(chan struct{})}
	a := logging.NewAsync(w)
	for range 5000 {
		n, err := a.Write([]byte("line\n"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(Equal(5))
	}
	dropped := a.Dropped()
	g.Expect(dropped).To(BeNumerically(">", 0))
	close(w.release)
	a.Close()
	text := w.text.String()
	g.Expect(text).To(ContainSubstring("log lines dropped"))
	g.Expect(int64(strings.Count(text, "line\n"))).To(Equal(5000 - dropped))
}
