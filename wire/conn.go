package wire

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
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
	NoteLoad   Note = 1 // Load
	NoteConfig Note = 2 // ConfigNotice
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

// Options tune a connection.
type Options struct {
	MaxFrame  int           // bytes; zero: DefaultMaxFrame
	Window    int           // bytes a peer may send on a stream before credit; zero: DefaultWindow
	PingEvery time.Duration // zero: one second
	Silence   time.Duration // a peer silent for this long is lost; zero: four seconds
}

// Defaults of Options.
const (
	DefaultWindow    = 32 << 10
	defaultPingEvery = time.Second
	defaultSilence   = 4 * time.Second
	outRing          = 256 // frames that wait for the writer
	readBuffer       = 32 << 10
	writeBuffer      = 32 << 10
)

func (o Options) withDefaults() Options {
	if o.MaxFrame == 0 {
		o.MaxFrame = DefaultMaxFrame
	}
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	if o.PingEvery == 0 {
		o.PingEvery = defaultPingEvery
	}
	if o.Silence == 0 {
		o.Silence = defaultSilence
	}
	return o
}

// Conn is one connection between two processes.
type Conn struct {
	nc      net.Conn
	opts    Options
	handler Handler
	peer    Hello
	out     chan *[]byte
	done    chan struct{}
	cause   error // set before done is closed

	closeOnce sync.Once
	mu        sync.Mutex
	streams   map[uint64]*Stream
	nextID    uint64
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
		done:    make(chan struct{}),
		streams: make(map[uint64]*Stream),
		nextID:  firstID,
	}
	hello.Schema, hello.Oldest = SchemaVersion, OldestSchema
	c.duties.Go(c.writeLoop)
	if err := c.send(KindHello, 0, nil, &hello); err != nil {
		c.close(err)
		return nil, err
	}
	fr := &frameReader{r: bufio.NewReaderSize(nc, readBuffer), max: c.opts.MaxFrame}
	if err := c.readHello(fr); err != nil {
		c.close(err)
		c.duties.Wait()
		return nil, err
	}
	c.duties.Go(func() { c.readLoop(fr) })
	return c, nil
}

func (c *Conn) readHello(fr *frameReader) error {
	if err := c.nc.SetReadDeadline(time.Now().Add(c.opts.Silence)); err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	f, err := fr.next()
	if err != nil {
		return fmt.Errorf("hello: %w", err)
	}
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
	return nil
}

// Peer returns what the other side said in its hello.
func (c *Conn) Peer() Hello { return c.peer }

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

// SendNote sends a one-way message.
func (c *Conn) SendNote(n Note, msg msgp.Marshaler) error {
	return c.send(KindNote, 0, []byte{byte(n)}, msg)
}

// send encodes one frame and hands it to the writer; it waits while the ring is
// full, which is how a slow peer slows its senders.
func (c *Conn) send(kind Kind, stream uint64, prefix []byte, msg msgp.Marshaler) error {
	bp := framePool.Get().(*[]byte)
	b := beginFrame((*bp)[:0], kind, stream)
	b = append(b, prefix...)
	if msg != nil {
		var err error
		if b, err = msg.MarshalMsg(b); err != nil {
			return result.New(result.WireMalformed, "encode: %w", err)
		}
	}
	if len(b)-headerSize > c.opts.MaxFrame {
		return result.New(result.WireFrameTooLarge, "frame of %d bytes, limit %d", len(b)-headerSize, c.opts.MaxFrame)
	}
	*bp = endFrame(b, 0)
	return c.enqueue(bp)
}

func (c *Conn) enqueue(bp *[]byte) error {
	select {
	case <-c.done:
		return result.New(result.WireClosed, "connection to %s ended: %w", c.peer.Name, c.cause)
	default:
	}
	select {
	case c.out <- bp:
		return nil
	case <-c.done:
		return result.New(result.WireClosed, "connection to %s ended: %w", c.peer.Name, c.cause)
	}
}

func (c *Conn) writeLoop() {
	w := bufio.NewWriterSize(c.nc, writeBuffer)
	ping := time.NewTicker(c.opts.PingEvery)
	defer ping.Stop()
	pingFrame := endFrame(beginFrame(nil, KindPing, 0), 0)
	for {
		var err error
		select {
		case bp := <-c.out:
			err = c.writeBatch(w, bp)
		case <-ping.C:
			if _, err = w.Write(pingFrame); err == nil {
				err = w.Flush()
			}
		case <-c.done:
			return
		}
		if err != nil {
			c.close(fmt.Errorf("write: %w", err))
			return
		}
	}
}

// writeBatch writes frames until the ring is empty, then flushes: one system
// call for all that has gathered.
func (c *Conn) writeBatch(w *bufio.Writer, bp *[]byte) error {
	for {
		_, err := w.Write(*bp)
		if cap(*bp) <= pooledFrameMax {
			framePool.Put(bp)
		}
		if err != nil {
			return err
		}
		select {
		case bp = <-c.out:
		default:
			return w.Flush()
		}
	}
}

func (c *Conn) readLoop(fr *frameReader) {
	for {
		if err := c.nc.SetReadDeadline(time.Now().Add(c.opts.Silence)); err != nil {
			c.close(fmt.Errorf("read: %w", err))
			return
		}
		f, err := fr.next()
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

// dispatch hands a frame to its stream. An error ends the connection: the peer
// has broken the protocol and nothing it says later can be trusted.
func (c *Conn) dispatch(f Frame) error {
	switch f.Kind {
	case KindPing:
		return nil
	case KindNote:
		if len(f.Payload) == 0 {
			return result.New(result.WireMalformed, "empty note")
		}
		c.handler.ServeNote(c, Note(f.Payload[0]), f.Payload[1:])
		return nil
	case KindOpen:
		return c.accept(f)
	case KindMessage, KindData, KindEnd, KindRefuse, KindCancel, KindCredit:
		// A frame for a stream that this side has left is late, not wrong.
		if s := c.stream(f.Stream); s != nil {
			return s.receive(f)
		}
		return nil
	default:
		return result.New(result.WireUnknownKind, "frame kind %d", f.Kind)
	}
}

func (c *Conn) accept(f Frame) error {
	if len(f.Payload) == 0 {
		return result.New(result.WireMalformed, "empty open")
	}
	payload := append([]byte(nil), f.Payload[1:]...)
	method := Method(f.Payload[0])
	s := newStream(c, f.Stream)
	c.mu.Lock()
	_, taken := c.streams[f.Stream]
	if !taken {
		c.streams[f.Stream] = s
	}
	c.mu.Unlock()
	if taken {
		return result.New(result.WireMalformed, "stream %d opened twice", f.Stream)
	}
	go func() {
		ctx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		s.onCancel(cancel)
		c.handler.ServeStream(ctx, s, method, payload)
		s.Close()
	}()
	return nil
}

func (c *Conn) stream(id uint64) *Stream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[id]
}

func (c *Conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, id)
}
