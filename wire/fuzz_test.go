package wire

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

const fuzzMaxFrame = 64 << 10

// FuzzFrame feeds arbitrary bytes to the frame decoder. It must allocate no more than
// the limit and never return an incomplete frame.
func FuzzFrame(f *testing.F) {
	f.Add(raw(KindPing, 0))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 5, 0, 0, 0, 0, 0, 0, 0, 1, 0})
	f.Add(chunk(1, 0, 10)[:20])
	f.Fuzz(func(t *testing.T, input []byte) {
		fr := &frameReader{r: bytes.NewReader(input), max: fuzzMaxFrame}
		used := 0
		for {
			frame, err := fr.next()
			if err != nil {
				break
			}
			used += headerSize + len(frame.Payload)
		}
		if cap(fr.buf) > fuzzMaxFrame {
			t.Fatalf("buffer of %d bytes exceeds the frame limit", cap(fr.buf))
		}
		if used > len(input) {
			t.Fatalf("decoded %d bytes of frames from %d bytes of input", used, len(input))
		}
	})
}

// FuzzReceive feeds arbitrary frames to one stream. Unread data must stay within the
// limits, and only chunks with the correct count and digest may end with io.EOF.
func FuzzReceive(f *testing.F) {
	end := encoded(KindEnd, 1, &End{Chunks: 1, Digest: xxhash.Sum64(make([]byte, 10))})
	f.Add(join(chunk(1, 0, 10), end))
	f.Add(join(chunk(1, 1, 10), end))
	f.Add(join(raw(KindMessage, 1, 1, 2, 3), encoded(KindCredit, 1, &Credit{Bytes: 1 << 31})))
	f.Add(join(end, chunk(1, 0, 1)))
	f.Add(encoded(KindRefuse, 1, &Refusal{Code: 203, Detail: "x"}))
	f.Fuzz(func(t *testing.T, input []byte) {
		c := &Conn{opts: Options{Window: 1 << 10}.withDefaults(), done: make(chan struct{}), sendQueue: make(chan *[]byte, sendQueueLen)}
		c.peer.Window = 1 << 10
		s := newStream(c, 1)
		fr := &frameReader{r: bytes.NewReader(input), max: fuzzMaxFrame}
		for {
			frame, err := fr.next()
			if err != nil || frame.Kind < KindMessage || frame.Kind > KindCredit || s.receive(frame) != nil {
				break
			}
			if s.unread > c.opts.Window || s.unreadMessages > maxMessages || s.credit > int(c.peer.Window) {
				t.Fatalf("limits exceeded: %d unread bytes, %d unread messages, credit %d", s.unread, s.unreadMessages, s.credit)
			}
		}
		checkComplete(t, s)
	})
}

func checkComplete(t *testing.T, s *Stream) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Unix(1, 0))
	defer cancel()
	digest := xxhash.New()
	chunks := uint64(0)
	for {
		ev, err := s.Recv(ctx)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return
		}
		if ev.Message == 0 {
			_, _ = digest.Write(ev.Data)
			chunks++
		}
	}
	if chunks != s.recvSeq || digest.Sum64() != s.recvDigest.Sum64() {
		t.Fatalf("stream with %d received chunks ended with io.EOF after %d", s.recvSeq, chunks)
	}
}
