package peers

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
)

// packMinBytes is the size from which records are compressed. A configuration of some hundred
// routes shrinks to a tenth, and all entries of a fleet fetch it from the entry that read it
// from the store.
const packMinBytes = 2 << 10

// Pack compresses the records if they are large.
func (u *TopicUpdate) Pack() error {
	encoded, err := Records(u.Records).MarshalMsg(nil)
	if err != nil || len(encoded) < packMinBytes {
		return err
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return err
	}
	if _, err := w.Write(encoded); err != nil {
		return err
	}
	if err := w.Close(); err != nil {
		return err
	}
	u.Records, u.Packed = nil, b.Bytes()
	return nil
}

// Unpack restores the records that Pack compressed.
func (u *TopicUpdate) Unpack() error {
	if len(u.Packed) == 0 {
		return nil
	}
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(u.Packed)), maxFrameBytes))
	if err != nil {
		return fmt.Errorf("%w: packed records: %w", ErrFrame, err)
	}
	if err := checkMessage(encoded); err != nil {
		return err
	}
	var records Records
	if _, err := records.UnmarshalMsg(encoded); err != nil {
		return fmt.Errorf("%w: packed records: %w", ErrFrame, err)
	}
	u.Records, u.Packed = records, nil
	return nil
}
