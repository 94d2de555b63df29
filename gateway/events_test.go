package gateway

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// A target may repeat events after a resumption, omit events or stop in the middle of an event.
// Only complete events with the next id may reach the caller.
func TestScannerForwardsOnlyConsecutiveEvents(t *testing.T) {
	g := NewWithT(t)
	s := eventScanner{lastID: -1}
	out, err := s.add(nil, []byte(eventText(0)+eventText(1)[:4]))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(out)).To(Equal(eventText(0)))
	g.Expect(s.hasPartialEvent()).To(BeTrue())
	out, err = s.add(nil, []byte(eventText(1)[4:]+eventText(1)+eventText(2)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(out)).To(Equal(eventText(1)+eventText(2)), "the repeated event is dropped")
	_, err = s.add(nil, []byte(eventText(4)))
	g.Expect(err).To(MatchError(errEventGap))
}

// The forwarded events must not depend on the pieces in which a stream arrives.
func FuzzEventsDoNotDependOnChunking(f *testing.F) {
	f.Add(eventText(0)+eventText(1)+eventText(2), uint8(3))
	f.Add("data: no id\r\n\r\nid: 5\ndata: x\n\nid: 6\n\n", uint8(1))
	f.Fuzz(func(t *testing.T, stream string, size uint8) {
		whole := eventScanner{lastID: -1}
		want, wantErr := whole.add(nil, []byte(stream))
		pieces := eventScanner{lastID: -1}
		var got []byte
		var gotErr error
		step := int(size) + 1
		for rest := stream; rest != "" && gotErr == nil; {
			n := min(step, len(rest))
			got, gotErr = pieces.add(got, []byte(rest[:n]))
			rest = rest[n:]
		}
		if strings.Contains(stream, "\r") {
			return // a carriage return at the end of a piece may join two events
		}
		if string(want) != string(got) || (wantErr == nil) != (gotErr == nil) {
			t.Errorf("at once: %q, %v; in pieces of %d bytes: %q, %v", want, wantErr, step, got, gotErr)
		}
	})
}
