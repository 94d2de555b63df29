package wire

import "time"

// Options configures a connection and limits the resources that its peer can claim.
type Options struct {
	MaxFrame     int           // largest frame payload in bytes; zero: DefaultMaxFrame
	Window       int           // bytes that the peer may send on a stream without further credit; zero: DefaultWindow
	MaxStreams   int           // streams that the peer may have open at once; zero: DefaultMaxStreams
	PingEvery    time.Duration // ping interval; zero: one second
	PeerTimeout  time.Duration // longest time without a frame from the peer, and longest time for one write; zero: four seconds
	HelloTimeout time.Duration // limit for the TLS handshake and the hello exchange; zero: five seconds
}

// Defaults of Options.
const (
	DefaultWindow       = 32 << 10
	DefaultMaxStreams   = 4096
	defaultPingEvery    = time.Second
	defaultPeerTimeout  = 4 * time.Second
	defaultHelloTimeout = 5 * time.Second
)

const (
	sendQueueLen = 256      // frames that wait for the write loop of a connection
	readBuffer   = 32 << 10 // read buffer of a connection, in bytes
	writeBuffer  = 32 << 10 // write buffer of a connection, in bytes
	// maxHello limits the hello, in bytes: the only frame that is read from a peer
	// before it has identified itself.
	maxHello = 4 << 10
	// maxWindow limits the window, in bytes, that the hello of a peer may request.
	maxWindow = 16 << 20
)

func (o Options) withDefaults() Options {
	setDefault(&o.MaxFrame, DefaultMaxFrame)
	setDefault(&o.Window, DefaultWindow)
	setDefault(&o.MaxStreams, DefaultMaxStreams)
	setDefault(&o.PingEvery, defaultPingEvery)
	setDefault(&o.PeerTimeout, defaultPeerTimeout)
	setDefault(&o.HelloTimeout, defaultHelloTimeout)
	return o
}

func setDefault[T int | time.Duration](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}
