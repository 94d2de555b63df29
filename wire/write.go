package wire

import (
	"bufio"
	"fmt"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/result"
)

// send encodes one frame and writes it, or hands it to the writer; it waits
// while the ring is full, which is how a slow peer slows its senders.
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

// directWriteMax is the largest frame that its sender may write by itself. A
// token fits; larger ones gain more from being gathered.
const directWriteMax = 2 << 10

// write writes a frame at once if nobody else writes or waits, and else leaves
// it to the writer. On an idle connection that saves the time until another
// goroutine runs, which is most of what a hop costs; on a busy one the writer
// gathers many frames in a system call. A frame never overtakes an earlier one
// of its sender: queued counts until it was written.
func (c *Conn) write(bp *[]byte) error {
	if len(*bp) > directWriteMax || c.queued.Load() != 0 || !take(c.writing) {
		return c.enqueue(bp)
	}
	if c.queued.Load() != 0 {
		<-c.writing
		return c.enqueue(bp)
	}
	err := c.limitWrite()
	if err == nil {
		_, err = c.nc.Write(*bp)
	}
	<-c.writing
	framePool.Put(bp)
	if err != nil {
		c.close(fmt.Errorf("write: %w", err))
		return c.ended()
	}
	return nil
}

func (c *Conn) enqueue(bp *[]byte) error {
	select {
	case <-c.done:
		return c.ended()
	default:
	}
	c.queued.Add(1)
	select {
	case c.out <- bp:
		return nil
	case <-c.done:
		return c.ended()
	}
}

func (c *Conn) ended() error {
	<-c.done // the cause is set before it is closed
	return result.New(result.WireClosed, "connection to %s ended: %w", c.peer.Name, c.cause)
}

func (c *Conn) writeLoop() {
	w := bufio.NewWriterSize(c.nc, writeBuffer)
	// A function's timer, not a ticker: under the race detector the runtime of Go
	// 1.26 crashes now and then in channel timers of virtual time.
	due := make(chan struct{}, 1)
	ping := time.AfterFunc(c.opts.PingEvery, func() { due <- struct{}{} })
	defer ping.Stop()
	pingFrame := endFrame(beginFrame(nil, KindPing, 0), 0)
	for {
		var err error
		select {
		case bp := <-c.out:
			err = c.writeBatch(w, bp)
		case <-due:
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

// limitWrite bounds the next write. A peer that pings but does not read would
// otherwise hold all senders of this side for good.
func (c *Conn) limitWrite() error {
	return c.nc.SetWriteDeadline(time.Now().Add(c.opts.PeerTimeout))
}

func (c *Conn) writePing(frame []byte) error {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	if err := c.limitWrite(); err != nil {
		return err
	}
	_, err := c.nc.Write(frame)
	return err
}

// writeBatch writes frames until the ring is empty, then flushes: one system
// call for all that has gathered.
func (c *Conn) writeBatch(w *bufio.Writer, bp *[]byte) error {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	if err := c.limitWrite(); err != nil {
		return err
	}
	taken := int64(0)
	for {
		taken++
		_, err := w.Write(*bp)
		if cap(*bp) <= pooledFrameMax {
			framePool.Put(bp)
		}
		if err != nil {
			return err
		}
		select {
		case bp = <-c.out:
			continue
		default:
		}
		if err := w.Flush(); err != nil {
			return err
		}
		c.queued.Add(-taken)
		return nil
	}
}
