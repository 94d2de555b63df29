package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Async hands lines to one goroutine through a bounded queue, so that whoever
// logs never waits for the log's reader. When the queue is full a line is dropped
// and counted, and the count is told when there is room again.
type Async struct {
	w       io.Writer
	lines   chan string
	dropped atomic.Int64
	quit    chan struct{}
	done    chan struct{}
}

const (
	asyncLines = 2048
	// asyncPause lets lines gather: one system call then writes some dozen of them.
	asyncPause = 50 * time.Millisecond
	asyncBatch = 64 << 10 // bytes
)

// NewAsync returns a writer in front of w. Each Write must be one line.
func NewAsync(w io.Writer) *Async {
	a := &Async{w: w, lines: make(chan string, asyncLines), quit: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer; it never blocks and never fails.
func (a *Async) Write(line []byte) (int, error) {
	select {
	case a.lines <- string(line):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped and not told yet.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

func (a *Async) run() {
	defer close(a.done)
	var batch []byte
	for {
		select {
		case line := <-a.lines:
			batch = a.write(append(batch[:0], line...))
			time.Sleep(asyncPause)
		case <-a.quit:
			for len(a.lines) > 0 {
				batch = a.write(batch[:0])
			}
			return
		}
	}
}

// write writes a batch, with the lines that wait, and returns it for its memory.
func (a *Async) write(batch []byte) []byte {
	batch = a.gather(batch)
	if n := a.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, "level=info event=\"log lines dropped\" lines=%d\n", n)
	}
	_, _ = a.w.Write(batch) // a process must not stop because its log does
	return batch
}

// gather appends the lines that wait, up to a batch.
func (a *Async) gather(batch []byte) []byte {
	for len(batch) < asyncBatch {
		select {
		case line := <-a.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// Close writes what waits. Lines that come later are lost: goroutines that still
// run as the process ends may go on logging.
func (a *Async) Close() {
	close(a.quit)
	<-a.done
}
