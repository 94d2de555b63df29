package peers

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// packFrom is the size in bytes from which records are compressed. A configuration
// of some hundred routes shrinks to a tenth, and all entries of a fleet fetch it
// from the one that read it.
const packFrom = 2 << 10

// Pack compresses the records if they are large.
func (n *TopicUpdate) Pack() error {
	text, err := Records(n.Records).MarshalMsg(nil)
	if err != nil || len(text) < packFrom {
		return err
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return err
	}
	if _, err := w.Write(text); err != nil {
		return err
	}
	if err := w.Close(); err != nil {
		return err
	}
	n.Records, n.Packed = nil, b.Bytes()
	return nil
}

// Unpack undoes Pack.
func (n *TopicUpdate) Unpack() error {
	if len(n.Packed) == 0 {
		return nil
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(n.Packed)), maxFrame))
	if err != nil {
		return fmt.Errorf("%w: packed records: %w", ErrFrame, err)
	}
	var records Records
	if _, err := records.UnmarshalMsg(text); err != nil {
		return fmt.Errorf("%w: packed records: %w", ErrFrame, err)
	}
	n.Records, n.Packed = records, nil
	return nil
}
