package wire

import "time"

// Options tune a connection and bound what its peer may claim.
type Options struct {
	MaxFrame     int           // bytes; zero: DefaultMaxFrame
	Window       int           // bytes a peer may send on a stream before credit; zero: DefaultWindow
	MaxStreams   int           // streams that the peer may have open at once; zero: DefaultMaxStreams
	PingEvery    time.Duration // zero: one second
	PeerTimeout  time.Duration // a peer silent, or not reading, for this long is lost; zero: four seconds
	HelloTimeout time.Duration // TLS and hello take at most this long; zero: five seconds
}

// Defaults of Options.
const (
	DefaultWindow       = 32 << 10
	DefaultMaxStreams   = 4096
	defaultPingEvery    = time.Second
	defaultSilence      = 4 * time.Second
	defaultHelloTimeout = 5 * time.Second
)

const (
	outRing     = 256 // frames that wait for the writer
	readBuffer  = 32 << 10
	writeBuffer = 32 << 10
	// maxHello bounds the only frame that a peer may send before it is known.
	maxHello = 4 << 10
	// maxWindow bounds what a peer's hello may ask this side to have in flight.
	maxWindow = 16 << 20
)

func (o Options) withDefaults() Options {
	setDefault(&o.MaxFrame, DefaultMaxFrame)
	setDefault(&o.Window, DefaultWindow)
	setDefault(&o.MaxStreams, DefaultMaxStreams)
	setDefault(&o.PingEvery, defaultPingEvery)
	setDefault(&o.PeerTimeout, defaultSilence)
	setDefault(&o.HelloTimeout, defaultHelloTimeout)
	return o
}

func setDefault[T int | time.Duration](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}
