package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/logging"
)

// blockedWriter blocks writes until release is closed, like a pipe whose reader has
// stopped reading.
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

// A goroutine still logs after the exiting process has closed its log. The write must
// not panic, and lines from before Close must be written.
func TestWriteAfterCloseDoesNotPanic(t *testing.T) {
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

// The log reader has stopped reading. Writes must not block, and once the reader continues, the log
// must state how many lines were dropped.
func TestBlockedReaderDropsLinesWithoutBlockingWrites(t *testing.T) {
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

// Callers make lines long. Those that wait for the reader must not use up the memory.
func TestQueueIsBoundedInBytes(t *testing.T) {
	g := NewWithT(t)
	w := &blockedWriter{release: make(chan struct{})}
	a := logging.NewAsync(w)
	long := []byte(strings.Repeat("x", 64<<10) + "\n")
	for range 1000 {
		_, err := a.Write(long)
		g.Expect(err).NotTo(HaveOccurred())
	}
	close(w.release)
	a.Close()
	g.Expect(w.text.Len()).To(BeNumerically("<=", 2<<20), "the queue, and the batch that was being written")
	g.Expect(w.text.String()).To(ContainSubstring("log lines dropped"))
}

// Lines that have been written must leave room in the queue for those that follow.
func TestWrittenLinesLeaveTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &blockedWriter{release: make(chan struct{})}
		close(w.release)
		a := logging.NewAsync(w)
		for range 100 {
			_, err := a.Write([]byte(strings.Repeat("x", 64<<10) + "\n"))
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(time.Second)
		}
		a.Close()
		g.Expect(strings.Count(w.text.String(), "\n")).To(Equal(100))
	})
}

// The log reader has stopped reading when the process exits. Close must return, as the process would
// otherwise be killed at the end of its grace period.
func TestCloseDoesNotWaitForBlockedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &blockedWriter{release: make(chan struct{})}
		a := logging.NewAsync(w)
		_, err := a.Write([]byte("line\n"))
		g.Expect(err).NotTo(HaveOccurred())
		start := time.Now()
		closed := make(chan struct{})
		go func() {
			a.Close()
			close(closed)
		}()
		select {
		case <-closed:
		case <-time.After(time.Minute):
			t.Error("Close waits for the reader")
		}
		g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		close(w.release)
		time.Sleep(time.Second) // the goroutine that writes must end before the bubble does
	})
}
