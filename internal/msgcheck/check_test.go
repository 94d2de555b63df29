package msgcheck

import (
	"bytes"
	"encoding/binary"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/tinylib/msgp/msgp"
)

// Messages must not announce more than they hold, nor many elements that are larger in memory.
func TestMessagesThatAnnounceMoreThanTheyHoldAreRejected(t *testing.T) {
	const maxElements = 1000
	array := func(n uint32, following int) []byte {
		return append(binary.BigEndian.AppendUint32([]byte{0xdd}, n), bytes.Repeat([]byte{0xc0}, following)...)
	}
	for name, message := range map[string][]byte{
		"array":             array(3, 2),
		"empty array":       array(8<<20, 0),
		"bytes behind":      array(3, 4),
		"too many elements": array(maxElements+1, maxElements+1),
		"bytes":             binary.BigEndian.AppendUint32([]byte{0xc6}, 1<<20),
		"text":              binary.BigEndian.AppendUint32([]byte{0xdb}, 1<<20),
		"map":               binary.BigEndian.AppendUint32([]byte{0xdf}, 1<<31),
		"arrays in arrays":  bytes.Repeat([]byte{0x91}, 10*maxDepth),
		"nothing":           nil,
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(Check(message, maxElements)).To(MatchError(ErrMalformed))
		})
	}
	g := NewWithT(t)
	g.Expect(Check(array(maxElements, maxElements), maxElements)).To(Succeed())
	g.Expect(Check(msgp.AppendBytes(nil, make([]byte, 8<<20)), 0)).To(Succeed())
}

// Any message that the decoder accepts as a whole passes, and none that passes makes it fail for want of bytes.
func FuzzCheck(f *testing.F) {
	f.Add(msgp.AppendMapStrStr(nil, map[string]string{"a": "b"}))
	f.Add([]byte{0x93, 0x01, 0xa1, 0x78, 0x92, 0xc0, 0xcb, 0, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		rest, err := msgp.Skip(b)
		whole := err == nil && len(rest) == 0
		if checked := Check(b, len(b)) == nil; checked && !whole {
			t.Errorf("passes but is not whole: %x", b)
		}
	})
}
