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

// Operator applies changes for a person. It reads the log itself, so what it
// reports is what every reader will find.
type Operator struct {
	Log outside.Log
	// State returns a peer's saved state, for a log that was trimmed; may be nil.
	State func(context.Context) ([]byte, error)

	fold *config.Fold
}

const (
	operatorPage  = 1024
	operatorPause = 200 * time.Millisecond
)

// Sync folds the log up to its present end.
func (o *Operator) Sync(ctx context.Context) error {
	if o.fold == nil {
		o.fold, _ = NewFold()
	}
	for {
		page, err := o.Log.Read(ctx, o.fold.Next(), operatorPage, 0)
		if errors.Is(err, outside.ErrTrimmed) && page.First > o.fold.Next() {
			o.fold.SkipTo(page.First)
			_ = o.fromPeer(ctx) // without one, a snapshot on the log may do
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
	if err := o.fromPeer(ctx); err != nil {
		return fmt.Errorf("the log was trimmed, it holds no snapshot, and no entry helped: %w", err)
	}
	return nil
}

func (o *Operator) fromPeer(ctx context.Context) error {
	if o.State == nil {
		return errors.New("no entries are known")
	}
	saved, err := o.State(ctx)
	if err != nil {
		return err
	}
	return o.fold.Restore(saved)
}

// Current returns the version in force as of the latest Sync, nil if there is none.
func (o *Operator) Current() *config.Snapshot { return o.fold.Current() }

// Apply puts c in force as a whole, if version base still is. It returns the
// outcome once it has read it back. The error is result.ChangeRefused, which names
// the winner; result.ChangeUnknown, with the id to resume, if ctx ended first; or
// the reason why nothing was sent.
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
	return o.settle(ctx, id, records)
}

// Resume settles a change whose outcome was unknown. If it is not on the log, a
// record with its id and an impossible base is appended: should the lost append
// arrive later, it is a repeated id and changes nothing.
func (o *Operator) Resume(ctx context.Context, id string) (config.Outcome, error) {
	if err := o.Sync(ctx); err != nil {
		return config.Outcome{}, result.New(result.ChangeUnknown, "%s: %w", id, err)
	}
	if oldest, full := o.fold.OldestOutcome(); full && id < oldest {
		return config.Outcome{}, result.New(result.ChangeUnknown, "%s is too old, outcomes before %s are forgotten", id, oldest)
	}
	records, err := config.ChangeRecords(&config.Change{ID: id, Base: config.VoidBase})
	if err != nil {
		return config.Outcome{}, err
	}
	return o.settle(ctx, id, records)
}

// settle appends records until their outcome can be read back. Appending again is
// harmless: parts are kept once and a repeated id keeps its first outcome.
func (o *Operator) settle(ctx context.Context, id string, records [][]byte) (config.Outcome, error) {
	sent := 0
	for {
		if out, ok := o.fold.Outcome(id); ok {
			return out, refusal(out)
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
			sent = 0 // read to the end without an outcome: an acknowledged record is missing
		}
		select {
		case <-time.After(operatorPause):
		case <-ctx.Done():
			return config.Outcome{}, result.New(result.ChangeUnknown, "%s: %w", id, errors.Join(err, context.Cause(ctx)))
		}
	}
}

func refusal(o config.Outcome) error {
	if o.Accepted {
		return nil
	}
	if o.Winner == "" {
		return result.New(result.ChangeRefused, "%s", o.Reason)
	}
	return result.New(result.ChangeRefused, "%s by change %s", o.Reason, o.Winner)
}

// NewChangeID returns an id for a change: it sorts by time.
func NewChangeID() string { return ulid.Make().String() }
