package wire

import (
	"bufio"
	"fmt"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/result"
)

// send encodes one frame and writes it or queues it for the write loop. It blocks
// while the send queue is full, which applies backpressure from a slow peer.
func (c *Conn) send(kind Kind, stream uint64, prefix []byte, msg msgp.Marshaler) error {
	bp, err := c.encode(kind, stream, prefix, msg)
	if err != nil {
		return err
	}
	return c.write(bp)
}

func (c *Conn) encode(kind Kind, stream uint64, prefix []byte, msg msgp.Marshaler) (*[]byte, error) {
	bp := framePool.Get().(*[]byte)
	b := beginFrame((*bp)[:0], kind, stream)
	b = append(b, prefix...)
	if msg != nil {
		var err error
		if b, err = msg.MarshalMsg(b); err != nil {
			return nil, result.New(result.WireMalformed, "encode: %w", err)
		}
	}
	if len(b)-headerSize > c.opts.MaxFrame {
		return nil, result.New(result.WireFrameTooLarge, "frame of %d bytes, limit %d", len(b)-headerSize, c.opts.MaxFrame)
	}
	*bp = endFrame(b, 0)
	return bp, nil
}

// maxDirectWrite is the largest frame, in bytes, that its sender writes directly. It
// is enough for a token; larger frames gain more from batching.
const maxDirectWrite = 2 << 10

// write writes a frame directly if no other frame is being written or queued, and
// otherwise queues it for the write loop. On an idle connection a direct write saves
// the switch to another goroutine, which is most of the cost of a hop. On a busy
// connection the write loop batches many frames into one system call. Frames of one
// sender stay in order, because unwritten counts a frame until it is written.
func (c *Conn) write(bp *[]byte) error {
	if len(*bp) > maxDirectWrite || c.unwritten.Load() != 0 || !tryAcquire(c.writeToken) {
		return c.enqueue(bp)
	}
	if c.unwritten.Load() != 0 {
		<-c.writeToken
		return c.enqueue(bp)
	}
	err := c.renewWriteDeadline()
	if err == nil {
		_, err = c.nc.Write(*bp)
	}
	<-c.writeToken
	framePool.Put(bp)
	if err != nil {
		c.close(fmt.Errorf("write: %w", err))
		return c.closedError()
	}
	return nil
}

func (c *Conn) enqueue(bp *[]byte) error {
	select {
	case <-c.done:
		return c.closedError()
	default:
	}
	c.unwritten.Add(1)
	select {
	case c.sendQueue <- bp:
		return nil
	case <-c.done:
		return c.closedError()
	}
}

func (c *Conn) closedError() error {
	<-c.done // cause is set before done is closed
	return result.New(result.WireClosed, "connection to %s ended: %w", c.peer.Name, c.cause)
}

func (c *Conn) writeLoop() {
	w := bufio.NewWriterSize(c.nc, writeBuffer)
	// AfterFunc and not a ticker: with the race detector, the runtime of Go 1.26
	// occasionally crashes in channel timers in virtual time.
	pingDue := make(chan struct{}, 1)
	ping := time.AfterFunc(c.opts.PingEvery, func() { pingDue <- struct{}{} })
	defer ping.Stop()
	pingFrame := endFrame(beginFrame(nil, KindPing, 0), 0)
	for {
		var err error
		select {
		case bp := <-c.sendQueue:
			err = c.writeBatch(w, bp)
		case <-pingDue:
			ping.Reset(c.opts.PingEvery)
			err = c.writePing(pingFrame)
		case <-c.done:
			return
		}
		if err != nil {
			c.close(fmt.Errorf("write: %w", err))
			return
		}
	}
}

// renewWriteDeadline sets the deadline of the next write. Without it, a peer that
// sends pings but does not read would block all senders of this side forever.
func (c *Conn) renewWriteDeadline() error {
	return c.nc.SetWriteDeadline(time.Now().Add(c.opts.PeerTimeout))
}

func (c *Conn) writePing(frame []byte) error {
	c.writeToken <- struct{}{}
	defer func() { <-c.writeToken }()
	if err := c.renewWriteDeadline(); err != nil {
		return err
	}
	_, err := c.nc.Write(frame)
	return err
}

// writeBatch writes frames until the send queue is empty, then flushes. Queued frames
// thus share one system call.
func (c *Conn) writeBatch(w *bufio.Writer, bp *[]byte) error {
	c.writeToken <- struct{}{}
	defer func() { <-c.writeToken }()
	if err := c.renewWriteDeadline(); err != nil {
		return err
	}
	written := int64(0)
	for {
		written++
		_, err := w.Write(*bp)
		if cap(*bp) <= maxPooledFrame {
			framePool.Put(bp)
		}
		if err != nil {
			return err
		}
		select {
		case bp = <-c.sendQueue:
			continue
		default:
		}
		if err := w.Flush(); err != nil {
			return err
		}
		c.unwritten.Add(-written)
		return nil
	}
}
