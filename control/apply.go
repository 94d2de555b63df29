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
	// Accepted reports whether an entry knows a change as accepted, although the log may have lost
	// it. It may be nil.
	Accepted func(ctx context.Context, change string) bool

	fold *config.Fold
}

const (
	operatorPageRecords   = 1024
	operatorRetryInterval = 200 * time.Millisecond
)

// Sync folds the log up to its current end. If the log has lost records that were read before, it
// begins anew.
func (o *Operator) Sync(ctx context.Context) error {
	if o.fold == nil {
		o.fold, _ = NewFold()
	}
	for {
		at := o.fold.Position()
		page, err := ReadAfter(ctx, o.Log, at, operatorPageRecords)
		if errors.Is(err, outside.ErrTrimmed) && page.First == at.Next && !o.fold.NeedsSnapshot() {
			page, err = ReadAfter(ctx, o.Log, config.Position{Next: at.Next}, operatorPageRecords)
		}
		if errors.Is(err, ErrLogChanged) {
			if err := o.restart(ctx); err != nil {
				return err
			}
			continue
		}
		if errors.Is(err, outside.ErrTrimmed) && page.First > 0 && page.First >= at.Next {
			o.fold, _ = NewFold()
			o.fold.Interrupt(page.First)
			_ = o.restoreFromPeer(ctx) // if no peer has a state, a snapshot on the log may be enough
			continue
		}
		if err != nil {
			return fmt.Errorf("read log: %w", err)
		}
		for i, raw := range page.Records {
			err := o.fold.Apply(at.Next+uint64(i), raw)
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

// restart drops the folded state, so that the next read begins at the start of the log. It pauses,
// since the state of an entry may come from records that the log has lost.
func (o *Operator) restart(ctx context.Context) error {
	o.fold, _ = NewFold()
	select {
	case <-time.After(operatorRetryInterval):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrLogChanged, context.Cause(ctx))
	}
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
	if _, known := o.fold.Outcome(id); !known && o.Accepted != nil && o.Accepted(ctx, id) {
		return o.awaitRecovery(ctx, id) // the log has lost the change, and the entries write it back
	}
	records, err := config.ChangeRecords(&config.Change{ID: id, Base: config.VoidBase})
	if err != nil {
		return config.Outcome{}, err
	}
	return o.appendUntilDecided(ctx, id, records)
}

// awaitRecovery waits until the log holds the outcome of a change again.
func (o *Operator) awaitRecovery(ctx context.Context, id string) (config.Outcome, error) {
	for {
		err := o.Sync(ctx)
		if out, known := o.fold.Outcome(id); known {
			return out, outcomeError(out)
		}
		select {
		case <-time.After(operatorRetryInterval):
		case <-ctx.Done():
			return config.Outcome{}, result.New(result.ChangeUnknown, "change %s: accepted according to an entry, lost by the log: %w", id, errors.Join(err, context.Cause(ctx)))
		}
	}
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
			raw, err := config.Renew(records[sent]) // equal records would hide that the log lost one of them
			if err != nil {
				return config.Outcome{}, err
			}
			if _, err := o.Log.Append(ctx, [][]byte{raw}); err != nil {
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
