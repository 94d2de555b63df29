package wire

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/tinylib/msgp/msgp"

	"github.com/heatherrail/heatherrail/result"
)

type (
	// Method is the purpose of a stream, the first byte of an Open frame.
	Method uint8
	// Note is the type of a one-way message, the first byte of a Note frame.
	Note uint8
)

// Methods of the streams that carry requests of callers.
const (
	MethodRequest Method = 1 // carries a Request, answered by an Answer and chunks
)

// Types of notes (one-way messages) on the load of targets.
const (
	NoteLoad Note = 1 // carries a Load, agent to entry
)

// Handler handles the streams and notes of a peer.
type Handler interface {
	// ServeStream runs in its own goroutine for each stream that the peer opens. The
	// callee owns payload.
	ServeStream(ctx context.Context, s *Stream, m Method, payload []byte)
	// ServeNote runs in the read loop of the connection and must not block. payload
	// is valid only during the call.
	ServeNote(c *Conn, n Note, payload []byte)
}

// Conn is a connection between two processes that multiplexes streams and notes.
type Conn struct {
	nc        net.Conn
	opts      Options
	handler   Handler
	peer      Hello
	sendQueue chan *[]byte
	unwritten atomic.Int64 // frames in sendQueue, or taken from it and not yet written
	// writeToken is held while bytes are written to nc. It is a channel and not a
	// mutex because a goroutine that waits for it must count as durably blocked in
	// tests in virtual time. Otherwise the deadline that ends a blocked write is
	// never reached there.
	writeToken chan struct{}
	done       chan struct{}
	cause      error // set before done is closed

	closeOnce    sync.Once
	mu           sync.Mutex
	streams      map[uint64]*Stream
	nextID       uint64
	noNewStreams bool   // Open fails, because CloseIfIdle is closing the connection
	peerStreams  int    // streams opened by the peer that are still served
	idParity     uint64 // parity of the stream ids that this side assigns: 1 odd, 0 even
	loops        conc.WaitGroup
}

var framePool = sync.Pool{New: func() any { b := make([]byte, 0, 1024); return &b }}

// maxPooledFrame is the largest buffer, in bytes, that is returned to framePool, so
// that one large request does not pin memory.
const maxPooledFrame = 64 << 10

// idStep is the distance between the stream ids of one side. The dialling side uses
// odd ids and the accepting side even ids, so they cannot collide.
const idStep = 2

// Client starts the dialling side of nc. It sends a hello and waits for the hello of
// the peer.
func Client(nc net.Conn, hello Hello, h Handler, o Options) (*Conn, error) {
	return start(nc, hello, h, o, 1)
}

// Server starts the accepting side of nc, with the same exchange as Client.
func Server(nc net.Conn, hello Hello, h Handler, o Options) (*Conn, error) {
	return start(nc, hello, h, o, 2)
}

func start(nc net.Conn, hello Hello, h Handler, o Options, firstID uint64) (*Conn, error) {
	c := &Conn{
		nc:         nc,
		opts:       o.withDefaults(),
		handler:    h,
		sendQueue:  make(chan *[]byte, sendQueueLen),
		writeToken: make(chan struct{}, 1),
		done:       make(chan struct{}),
		streams:    make(map[uint64]*Stream),
		nextID:     firstID,
		idParity:   firstID % idStep,
	}
	hello.Schema, hello.Oldest = SchemaVersion, OldestSchema
	hello.Window = uint32(c.opts.Window)
	c.loops.Go(c.writeLoop)
	fr, err := c.handshake(&hello)
	if err != nil {
		c.close(err)
		c.loops.Wait()
		return nil, err
	}
	c.loops.Go(func() { c.readLoop(fr) })
	return c, nil
}

// handshake exchanges hellos. Until the peer has identified itself, this side reads
// at most one frame of maxHello bytes and waits at most HelloTimeout.
func (c *Conn) handshake(hello *Hello) (*frameReader, error) {
	if err := c.nc.SetReadDeadline(time.Now().Add(c.opts.HelloTimeout)); err != nil {
		return nil, fmt.Errorf("hello: %w", err)
	}
	// The hello is queued for the write loop and not written here: over a transport
	// without buffers, two sides that both write before they read would deadlock.
	bp, err := c.encode(KindHello, 0, nil, hello)
	if err != nil {
		return nil, err
	}
	if err := c.enqueue(bp); err != nil {
		return nil, err
	}
	fr := &frameReader{r: bufio.NewReaderSize(c.nc, readBuffer), max: maxHello}
	f, err := fr.next()
	if err != nil {
		return nil, fmt.Errorf("hello: %w", err)
	}
	fr.max = c.opts.MaxFrame
	return fr, c.checkHello(f)
}

func (c *Conn) checkHello(f Frame) error {
	if f.Kind != KindHello {
		return result.New(result.WireMalformed, "first frame has kind %d, want hello", f.Kind)
	}
	if err := checkMessage(f.Payload); err != nil {
		return err
	}
	if _, err := c.peer.UnmarshalMsg(f.Payload); err != nil {
		return result.New(result.WireMalformed, "hello: %w", err)
	}
	if c.peer.Schema < OldestSchema || c.peer.Oldest > SchemaVersion {
		return result.New(result.WireSchema, "peer supports schemas %d to %d, this build %d to %d",
			c.peer.Oldest, c.peer.Schema, OldestSchema, SchemaVersion)
	}
	if c.peer.Window == 0 {
		c.peer.Window = DefaultWindow
	}
	if c.peer.Window > maxWindow {
		return result.New(result.WireMalformed, "hello: window of %d bytes, limit %d", c.peer.Window, maxWindow)
	}
	return checkRole(c.nc, c.peer.Role)
}

// Peer returns the hello of the peer.
func (c *Conn) Peer() Hello { return c.peer }

// CloseIfIdle closes the connection if no stream is open, and reports whether it
// did. A concurrent Open either counts as an open stream or fails.
func (c *Conn) CloseIfIdle() bool {
	c.mu.Lock()
	idle := len(c.streams) == 0
	c.noNewStreams = c.noNewStreams || idle
	c.mu.Unlock()
	if idle {
		c.Close()
	}
	return idle
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns why the connection ended. It is valid only after Done is closed.
func (c *Conn) Err() error { return c.cause }

// Close ends the connection and all its streams and waits for its goroutines.
func (c *Conn) Close() {
	c.close(errors.New("closed by this side"))
	c.loops.Wait()
}

func (c *Conn) close(cause error) {
	c.closeOnce.Do(func() {
		c.cause = cause
		close(c.done)
		_ = c.nc.Close() // the connection is unusable either way
		c.mu.Lock()
		streams := c.streams
		c.streams = make(map[uint64]*Stream)
		c.mu.Unlock()
		for _, s := range streams {
			s.fail(result.New(result.WireClosed, "connection to %s ended: %w", c.peer.Name, cause))
		}
	})
}

// Open starts a stream. If Open fails, no byte of the stream was handed to the
// connection. If it succeeds, only the peer knows how far the request got.
func (c *Conn) Open(m Method, msg msgp.Marshaler) (*Stream, error) {
	return c.OpenWatched(m, msg, nil)
}

// OpenWatched is Open with a Watcher, which may be nil.
func (c *Conn) OpenWatched(m Method, msg msgp.Marshaler, w Watcher) (*Stream, error) {
	c.mu.Lock()
	if c.noNewStreams {
		c.mu.Unlock()
		return nil, result.New(result.WireClosed, "connection to %s takes no new streams", c.peer.Name)
	}
	id := c.nextID
	c.nextID += idStep
	s := newStream(c, id)
	s.watcher = w
	c.streams[id] = s
	c.mu.Unlock()
	if err := c.send(KindOpen, id, []byte{byte(m)}, msg); err != nil {
		c.removeStream(id)
		return nil, err
	}
	return s, nil
}

// SendNote queues a one-way message for the write loop, so that a handler can reply
// to a note from within the read loop.
func (c *Conn) SendNote(n Note, msg msgp.Marshaler) error {
	bp, err := c.encode(KindNote, 0, []byte{byte(n)}, msg)
	if err != nil {
		return err
	}
	return c.enqueue(bp)
}

// readLoop reads and dispatches frames until an error. It renews the read deadline
// only deadlineRenewals times per PeerTimeout, because renewing it for each frame
// would cost more than handling the frame.
func (c *Conn) readLoop(fr *frameReader) {
	var renewed time.Time
	for {
		now := time.Now()
		var err error
		if now.Sub(renewed) > c.opts.PeerTimeout/deadlineRenewals {
			renewed = now
			err = c.nc.SetReadDeadline(now.Add(c.opts.PeerTimeout))
		}
		var f Frame
		if err == nil {
			f, err = fr.next()
		}
		if err == nil {
			err = c.dispatch(f)
		}
		if err != nil {
			c.close(fmt.Errorf("read: %w", err))
			return
		}
		if cap(fr.buf) > maxPooledFrame {
			fr.buf = nil
		}
	}
}

// deadlineRenewals is the number of renewals of the read deadline per PeerTimeout.
const deadlineRenewals = 16
