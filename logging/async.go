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
	a := &Async{w: w, lines: make(chan string, asyncLines), done: make(chan struct{})}
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
	for line := range a.lines {
		batch = append(batch[:0], line...)
		batch = a.gather(batch)
		if n := a.dropped.Swap(0); n > 0 {
			batch = fmt.Appendf(batch, "level=info event=\"log lines dropped\" lines=%d\n", n)
		}
		_, _ = a.w.Write(batch) // a process must not stop because its log does
		time.Sleep(asyncPause)
	}
}

// gather appends the lines that wait, up to a batch.
func (a *Async) gather(batch []byte) []byte {
	for len(batch) < asyncBatch {
		select {
		case line, ok := <-a.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// Close writes what waits; nothing may be written after it.
func (a *Async) Close() {
	close(a.lines)
	<-a.done
}
