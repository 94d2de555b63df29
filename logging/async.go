package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Async is a writer that passes log lines to one goroutine through a bounded queue, so
// that a slow or blocked log reader never delays the goroutines that log. While the
// queue is full, lines are dropped and counted. The next batch that is written ends
// with a "log lines dropped" event, which contains the count.
type Async struct {
	w       io.Writer
	lines   chan string
	queued  atomic.Int64 // bytes of the lines in the queue
	dropped atomic.Int64
	quit    chan struct{}
	done    chan struct{}
}

const (
	asyncQueueLines = 2048
	asyncQueueBytes = 1 << 20
	// asyncBatchDelay is the pause between batches. Lines collect during the pause, so
	// that one system call writes about a dozen lines.
	asyncBatchDelay = 50 * time.Millisecond
	asyncBatchBytes = 64 << 10
)

// NewAsync returns an Async that writes to w. Each call of Write must pass exactly one
// line. The caller must call Close.
func NewAsync(w io.Writer) *Async {
	a := &Async{w: w, lines: make(chan string, asyncQueueLines), quit: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It queues or drops the line; it never blocks and never
// returns an error.
func (a *Async) Write(line []byte) (int, error) {
	n := int64(len(line))
	if a.queued.Add(n) > asyncQueueBytes {
		a.drop(n)
		return len(line), nil
	}
	select {
	case a.lines <- string(line):
	default:
		a.drop(n)
	}
	return len(line), nil
}

// drop counts a line that does not go into the queue.
func (a *Async) drop(n int64) {
	a.queued.Add(-n)
	a.dropped.Add(1)
}

// Dropped returns the number of dropped lines that have not been logged yet.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

func (a *Async) run() {
	defer close(a.done)
	var batch []byte
	for {
		select {
		case line := <-a.lines:
			batch = a.writeBatch(a.appendLine(batch[:0], line))
			time.Sleep(asyncBatchDelay)
		case <-a.quit:
			for len(a.lines) > 0 {
				batch = a.writeBatch(batch[:0])
			}
			return
		}
	}
}

// writeBatch adds queued lines to a batch and writes it. It returns the batch so that
// its memory can be reused.
func (a *Async) writeBatch(batch []byte) []byte {
	batch = a.appendQueued(batch)
	if n := a.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, "level=info event=\"log lines dropped\" lines=%d\n", n)
	}
	_, _ = a.w.Write(batch) // the process must go on when its log can't be written
	return batch
}

// appendQueued appends queued lines until the queue is empty or the batch has
// asyncBatchBytes.
func (a *Async) appendQueued(batch []byte) []byte {
	for len(batch) < asyncBatchBytes {
		select {
		case line := <-a.lines:
			batch = a.appendLine(batch, line)
		default:
			return batch
		}
	}
	return batch
}

// appendLine appends a line that has been taken out of the queue.
func (a *Async) appendLine(batch []byte, line string) []byte {
	a.queued.Add(-int64(len(line)))
	return append(batch, line...)
}

// closeTimeout limits how long Close waits for the log reader. A process that waited for a reader
// that has stopped reading would be killed at the end of its grace period. The limit leaves time for
// several batches, which are asyncBatchDelay apart.
const closeTimeout = 500 * time.Millisecond

// Close writes the queued lines and stops the goroutine that writes. It does not wait longer than
// closeTimeout. Lines passed to Write after Close are lost but cause no error, because other
// goroutines may still log while the process exits.
func (a *Async) Close() {
	close(a.quit)
	select {
	case <-a.done:
	case <-time.After(closeTimeout):
	}
}
