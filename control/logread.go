package control

import (
	"context"
	"errors"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/outside"
)

// ErrLogChanged means that the log no longer holds the record before a position: it has lost
// records that were read before, and may have given their offsets out again.
var ErrLogChanged = errors.New("log has lost records before the read position")

// ReadAfter reads at most max records after a position, without waiting. It returns ErrLogChanged if
// the record before the position is not the one that was read there, and outside.ErrTrimmed, with
// Page.First, if that record or the next was trimmed.
//
// The records after the position come in one page with the record before it. Two reads would not
// do: the log may lose records between them.
func ReadAfter(ctx context.Context, log outside.Log, at config.Position, max int) (outside.Page, error) {
	if at.Mark == 0 {
		page, err := log.Read(ctx, at.Next, max, 0)
		if err == nil && page.Next < at.Next {
			return outside.Page{}, ErrLogChanged
		}
		return page, err
	}
	page, err := log.Read(ctx, at.Next-1, max+1, 0)
	if err != nil {
		return page, err
	}
	if len(page.Records) == 0 || config.RecordMark(page.Records[0]) != at.Mark {
		return outside.Page{}, ErrLogChanged
	}
	page.Records = page.Records[1:]
	return page, nil
}

// awaitRecord waits up to wait until the log may have changed at or before a position.
func awaitRecord(ctx context.Context, log outside.Log, at config.Position, wait time.Duration) error {
	_, err := log.Read(ctx, at.Next, 1, wait)
	if errors.Is(err, outside.ErrTrimmed) {
		return nil
	}
	return err
}

// checkTimeout bounds the check of a position: a log that does not answer is taken for down.
const checkTimeout = time.Second

// checkPosition returns nil if the log holds the record before a position, ErrLogChanged if it
// does not, outside.ErrTrimmed if records after the position were trimmed, or another error of
// the log. If only the record before the position was trimmed, the position is taken for valid.
func checkPosition(ctx context.Context, log outside.Log, at config.Position) error {
	if at.Next == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	page, err := ReadAfter(ctx, log, at, 1)
	if errors.Is(err, outside.ErrTrimmed) && page.First == at.Next {
		return nil
	}
	return err
}
