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

// Method names what a stream is opened for; Note names a one-way message.
type (
	// Method is the first byte of an Open frame.
	Method uint8
	// Note is the first byte of a Note frame.
	Note uint8
)

// Methods.
const (
	MethodRequest Method = 1 // Request, answered by Answer and chunks
)

// Notes.
const (
	NoteLoad Note = 1 // Load
)

// Handler receives what a peer starts.
type Handler interface {
	// ServeStream runs in a goroutine of its own for each opened stream. payload
	// is owned by the callee.
	ServeStream(ctx context.Context, s *Stream, m Method, payload []byte)
	// ServeNote runs in the connection's reader and must not block. payload is
	// valid only during the call.
	ServeNote(c *Conn, n Note, payload []byte)
}

// Conn is one connection between two processes.
type Conn struct {
	nc      net.Conn
	opts    Options
	handler Handler
	peer    Hello
	out     chan *[]byte
	queued  atomic.Int64 // frames in out, or taken from it and not yet written
	// writing holds a token while bytes are written to nc. It is no mutex: one that
	// waits for it must count as blocked in tests of virtual time, or the deadline
	// that ends a stuck write never comes there.
	writing chan struct{}
	done    chan struct{}
	cause   error // set before done is closed

	closeOnce sync.Once
	mu        sync.Mutex
	streams   map[uint64]*Stream
	nextID    uint64
	retired   bool   // no stream may be opened any more
	accepted  int    // streams that the peer opened and that are still served
	parity    uint64 // of this side's stream ids
	duties    conc.WaitGroup
}

var framePool = sync.Pool{New: func() any { b := make([]byte, 0, 1024); return &b }}

// pooledFrameMax keeps one large request from pinning memory in the pool.
const pooledFrameMax = 64 << 10

// Dial side and accept side use odd and even stream ids, so the two can't meet.
const idStep = 2

// Client starts the dialling side of nc: it sends hello and waits for the peer's.
func Client(nc net.Conn, hello Hello, h Handler, o Options) (*Conn, error) {
	return start(nc, hello, h, o, 1)
}

// Server starts the accepting side of nc.
func Server(nc net.Conn, hello Hello, h Handler, o Options) (*Conn, error) {
	return start(nc, hello, h, o, 2)
}

func start(nc net.Conn, hello Hello, h Handler, o Options, firstID uint64) (*Conn, error) {
	c := &Conn{
		nc:      nc,
		opts:    o.withDefaults(),
		handler: h,
		out:     make(chan *[]byte, outRing),
		writing: make(chan struct{}, 1),
		done:    make(chan struct{}),
		streams: make(map[uint64]*Stream),
		nextID:  firstID,
		parity:  firstID % idStep,
	}
	hello.Schema, hello.Oldest = SchemaVersion, OldestSchema
	hello.Window = uint32(c.opts.Window)
	c.duties.Go(c.writeLoop)
	fr, err := c.greet(&hello)
	if err != nil {
		c.close(err)
		c.duties.Wait()
		return nil, err
	}
	c.duties.Go(func() { c.readLoop(fr) })
	return c, nil
}

// greet exchanges hellos. Until the peer is known, it can make this side read
// no more than a small frame, and only for a short time.
func (c *Conn) greet(hello *Hello) (*frameReader, error) {
	if err := c.nc.SetReadDeadline(time.Now().Add(c.opts.HelloTimeout)); err != nil {
		return nil, fmt.Errorf("hello: %w", err)
	}
	// Not by this goroutine: over a transport without buffers, two sides that both
	// write before they read would wait for each other.
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
	return fr, c.readHello(f)
}

func (c *Conn) readHello(f Frame) error {
	if f.Kind != KindHello {
		return result.New(result.WireMalformed, "first frame has kind %d, want hello", f.Kind)
	}
	if _, err := c.peer.UnmarshalMsg(f.Payload); err != nil {
		return result.New(result.WireMalformed, "hello: %w", err)
	}
	if c.peer.Schema < OldestSchema || c.peer.Oldest > SchemaVersion {
		return result.New(result.WireSchema, "peer speaks %d to %d, this build %d to %d",
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

// Peer returns what the other side said in its hello.
func (c *Conn) Peer() Hello { return c.peer }

// CloseIfIdle closes the connection if no stream is open, and reports whether it
// did. A stream that is being opened either counts as open or is refused.
func (c *Conn) CloseIfIdle() bool {
	c.mu.Lock()
	idle := len(c.streams) == 0
	c.retired = c.retired || idle
	c.mu.Unlock()
	if idle {
		c.Close()
	}
	return idle
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Err returns why the connection ended; only valid after Done.
func (c *Conn) Err() error { return c.cause }

// Close ends the connection and all its streams and waits for its duties.
func (c *Conn) Close() {
	c.close(errors.New("closed by this side"))
	c.duties.Wait()
}

func (c *Conn) close(cause error) {
	c.closeOnce.Do(func() {
		c.cause = cause
		close(c.done)
		_ = c.nc.Close() // the connection is given up either way
		c.mu.Lock()
		streams := c.streams
		c.streams = make(map[uint64]*Stream)
		c.mu.Unlock()
		for _, s := range streams {
			s.fail(result.New(result.WireClosed, "connection to %s ended: %w", c.peer.Name, cause))
		}
	})
}

// Open starts a stream. An error means that no byte of it was handed to the
// connection; afterwards only the peer knows how far it came.
func (c *Conn) Open(m Method, msg msgp.Marshaler) (*Stream, error) {
	return c.OpenWatched(m, msg, nil)
}

// OpenWatched is Open with a watcher, which may be nil.
func (c *Conn) OpenWatched(m Method, msg msgp.Marshaler, w Watcher) (*Stream, error) {
	c.mu.Lock()
	if c.retired {
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
		c.forget(id)
		return nil, err
	}
	return s, nil
}

// SendNote sends a one-way message. It leaves the writing to the writer, so that
// a handler may answer a note from within the reader.
func (c *Conn) SendNote(n Note, msg msgp.Marshaler) error {
	bp, err := c.encode(KindNote, 0, []byte{byte(n)}, msg)
	if err != nil {
		return err
	}
	return c.enqueue(bp)
}

// readLoop renews the deadline now and then: at each frame it would cost more
// than the frame.
func (c *Conn) readLoop(fr *frameReader) {
	var renewed time.Time
	for {
		now := time.Now()
		var err error
		if now.Sub(renewed) > c.opts.PeerTimeout/renewals {
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
		if cap(fr.buf) > pooledFrameMax {
			fr.buf = nil
		}
	}
}

// renewals of the read deadline within the time of silence that is allowed.
const renewals = 16
