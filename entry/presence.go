package entry

import (
	"context"
	"time"

	"github.com/heatherrail/heatherrail/config"
)

const (
	presenceEvery   = 2 * time.Minute
	presenceBackoff = 500 * time.Millisecond
	presenceLimit   = 2 * time.Second // for one append
)

// announce keeps a presence record of this entry on the log. The first one must
// be there before anything that must not run twice is dispatched; a later one
// that fails costs nothing, as an outage of the log trims nothing either.
func (e *Entry) announce() {
	for e.ctx.Err() == nil {
		offset, err := e.appendPresence()
		if err != nil {
			e.opts.Metrics.Count("presence_errors_total", 1)
			e.sleep(presenceBackoff)
			continue
		}
		e.out.presentAt.CompareAndSwap(0, offset+1)
		e.sleep(presenceEvery)
	}
}

func (e *Entry) appendPresence() (uint64, error) {
	raw, err := config.NewPresence(e.opts.Settings.Name, e.opts.Incarnation, time.Now())
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(e.ctx, presenceLimit)
	defer cancel()
	e.opts.Metrics.Count("log_appends_presence_total", 1)
	return e.opts.Log.Append(ctx, [][]byte{raw})
}

// registered tells whether agents can learn of this entry from the log, and
// whether the entry knows every version that was accepted before its presence.
// Without the second an entry that starts late could still dispatch under a
// version whose successor's agents have already counted the entries.
func (e *Entry) registered() bool {
	at := e.out.presentAt.Load()
	return at > 0 && e.out.foldedTo.Load() >= at
}
