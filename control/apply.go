package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/result"
)

// Operator appends configuration changes to the log for the operators' tool and reads back
// their outcomes. It folds the log itself, so it reports the outcome that every entry derives.
type Operator struct {
	Log outside.Log
	// State returns the saved state of a peer, for use when the log was trimmed. It may be nil.
	State func(context.Context) ([]byte, error)

	fold *config.Fold
}

const (
	operatorPageRecords   = 1024
	operatorRetryInterval = 200 * time.Millisecond
)

// Sync folds the log up to its current end.
func (o *Operator) Sync(ctx context.Context) error {
	if o.fold == nil {
		o.fold, _ = NewFold()
	}
	for {
		page, err := o.Log.Read(ctx, o.fold.Next(), operatorPageRecords, 0)
		if errors.Is(err, outside.ErrTrimmed) && page.First > o.fold.Next() {
			o.fold.SkipTo(page.First)
			_ = o.restoreFromPeer(ctx) // if no peer has a state, a snapshot on the log may be enough
			continue
		}
		if err != nil {
			return fmt.Errorf("read log: %w", err)
		}
		first := page.Next - uint64(len(page.Records))
		for i, raw := range page.Records {
			err := o.fold.Apply(first+uint64(i), raw)
			if errors.Is(err, config.ErrGap) {
				break
			}
			if err != nil {
				return err
			}
		}
		if len(page.Records) == 0 {
			break
		}
	}
	if !o.fold.NeedsSnapshot() {
		return nil
	}
	if err := o.restoreFromPeer(ctx); err != nil {
		return fmt.Errorf("log was trimmed, holds no snapshot, and no entry returned its state: %w", err)
	}
	return nil
}

func (o *Operator) restoreFromPeer(ctx context.Context) error {
	if o.State == nil {
		return errors.New("no entries are known")
	}
	saved, err := o.State(ctx)
	if err != nil {
		return err
	}
	return o.fold.Restore(saved)
}

// Current returns the configuration version in force as of the latest Sync, or nil if
// there is none.
func (o *Operator) Current() *config.Snapshot { return o.fold.Current() }

// Apply replaces the whole configuration with c, provided that version base is still in
// force. It returns the outcome after reading it back from the log. The error is
// result.ChangeRefused, which names the change that won; result.ChangeUnknown, with the
// id to resume, if ctx ended before the outcome was read; or the reason why nothing was
// sent.
func (o *Operator) Apply(ctx context.Context, id string, base uint64, c *config.Config) (config.Outcome, error) {
	var old *config.Config
	if s := o.fold.Current(); s != nil {
		old = s.Config
		if s.Version != base {
			return config.Outcome{}, result.New(result.ChangeRefused, "base is version %d, in force is %d by change %s", base, s.Version, s.ID)
		}
	}
	ch := &config.Change{ID: id, Base: base, Digest: config.Digest(c), Delta: config.NewDelta(old, c)}
	records, err := config.ChangeRecords(ch)
	if err != nil {
		return config.Outcome{}, err
	}
	return o.appendUntilDecided(ctx, id, records)
}

// Resume determines the outcome of a change whose outcome was unknown. If the log holds no
// outcome of the change, Resume appends a record with the same id and a base that can never
// be in force. If the lost append reaches the log later, its id is a repetition and it
// changes nothing.
func (o *Operator) Resume(ctx context.Context, id string) (config.Outcome, error) {
	if err := o.Sync(ctx); err != nil {
		return config.Outcome{}, result.New(result.ChangeUnknown, "change %s: %w", id, err)
	}
	if oldest, full := o.fold.OldestOutcome(); full && id < oldest {
		return config.Outcome{}, result.New(result.ChangeUnknown, "change %s is too old: outcomes before %s are no longer kept", id, oldest)
	}
	records, err := config.ChangeRecords(&config.Change{ID: id, Base: config.VoidBase})
	if err != nil {
		return config.Outcome{}, err
	}
	return o.appendUntilDecided(ctx, id, records)
}

// appendUntilDecided appends records until their outcome can be read back. Appending them
// again is harmless: each part is stored once, and a repeated id keeps its first outcome.
func (o *Operator) appendUntilDecided(ctx context.Context, id string, records [][]byte) (config.Outcome, error) {
	sent := 0
	for {
		if out, ok := o.fold.Outcome(id); ok {
			return out, outcomeError(out)
		}
		for sent < len(records) && ctx.Err() == nil {
			if _, err := o.Log.Append(ctx, records[sent:sent+1]); err != nil {
				break
			}
			sent++
		}
		err := o.Sync(ctx)
		if _, ok := o.fold.Outcome(id); ok {
			continue
		}
		if err == nil && sent == len(records) {
			sent = 0 // the log was read to its end without an outcome, so an acknowledged record is missing
		}
		select {
		case <-time.After(operatorRetryInterval):
		case <-ctx.Done():
			return config.Outcome{}, result.New(result.ChangeUnknown, "change %s: %w", id, errors.Join(err, context.Cause(ctx)))
		}
	}
}

func outcomeError(o config.Outcome) error {
	if o.Accepted {
		return nil
	}
	if o.Winner == "" {
		return result.New(result.ChangeRefused, "%s", o.Reason)
	}
	return result.New(result.ChangeRefused, "%s by change %s", o.Reason, o.Winner)
}

// NewChangeID returns a new id for a change. Ids sort by creation time.
func NewChangeID() string { return ulid.Make().String() }
