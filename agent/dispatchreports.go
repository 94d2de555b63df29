package agent

import (
	"slices"
	"sync"
	"time"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/outside"
	"github.com/heatherrail/heatherrail/wire"
)

const (
	// dispatchSlack is how much longer than the deduplication window an entry remembers a
	// dispatch, because the run may begin that much later.
	dispatchSlack = 2 * time.Minute
	// presenceSlack is how much longer than the deduplication window an entry counts after its
	// latest presence record. It covers the refresh interval of presence records and clock
	// differences.
	presenceSlack = 6 * time.Minute
	// dispatchReportWait is how long a request waits for missing dispatch reports.
	dispatchReportWait = time.Second
	dispatchReportPoll = 10 * time.Millisecond
)

// dispatchChecker decides whether a request may run whose key is not in the deduplication
// table.
//
// The home of a key is the target that runs all requests with the key. If the agent
// restarts, or the home of the key moves here with a new configuration, a caller may repeat
// a request that has already run. Running it again would, for example, start an oven twice.
// Three rules prevent that:
//   - Each entry records a dispatch before it sends the request.
//   - The agent appends its presence to the log before it reads there which entries exist.
//     An entry that the agent does not find therefore finds the agent, and sends to no
//     older agent.
//   - A request with the key runs only after each entry found has reported that it
//     dispatched the key nowhere else and will not do so under an older version.
type dispatchChecker struct {
	target      string
	incarnation uint64
	log         outside.Log // log service with the presence records of entries; nil: only connected entries are known
	now         func() time.Time

	mu              sync.Mutex
	reportedVersion map[uint64]uint64    // entry incarnation -> newest version reported
	unresponsive    map[uint64]bool      // entries that sent no dispatch report in time
	uncertainKeys   map[uint64]time.Time // key hash -> time of the latest report of a dispatch elsewhere
	nextSweep       time.Time
	homeHistory     []homeTargets // declared targets by range of configuration versions; contiguous ranges, oldest first
	ambiguousTo     uint64        // versions up to this one may stand for two configurations; see recordHomes
	skipCheck       bool          // run requests with unknown keys at once; for tests that must detect the missing safeguard

	entries        map[uint64]time.Time // entry incarnation -> time of the last presence, without entries that have gone
	entriesVersion uint64               // configuration version for which the entry list was read
	entriesRead    bool                 // the entry list has been read
	announced      bool                 // this agent's presence is on the log

	recoveries     uint64 // losses of the log that entries have reported; see wire.AgentConfig
	readRecoveries uint64 // recoveries when the entry list was last read

	readToken  chan struct{}   // holds a token while the log is read
	newVersion chan struct{}   // signalled when the entry list is out of date
	readTo     config.Position // position in the log to read from
}

// homeTargets holds the declared targets of the fleet over a range of configuration versions.
type homeTargets struct {
	from, to uint64
	names    []string
	since    time.Time
}

func newDispatchChecker(target string, incarnation uint64, log outside.Log) *dispatchChecker {
	return &dispatchChecker{
		target:          target,
		incarnation:     incarnation,
		log:             log,
		now:             time.Now,
		reportedVersion: make(map[uint64]uint64),
		readToken:       make(chan struct{}, 1),
		newVersion:      make(chan struct{}, 1),
		unresponsive:    make(map[uint64]bool),
		uncertainKeys:   make(map[uint64]time.Time),
		entries:         make(map[uint64]time.Time),
	}
}

// recordDispatchReport records an entry's dispatch report.
func (c *dispatchChecker) recordDispatchReport(entry uint64, report *wire.DispatchReport) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportedVersion[entry] = max(c.reportedVersion[entry], report.Version)
	if report.Version > c.entriesVersion {
		select {
		case c.newVersion <- struct{}{}:
		default:
		}
	}
	delete(c.unresponsive, entry)
	c.pruneUncertainKeys(now)
	for _, k := range report.Keys {
		c.uncertainKeys[k] = now
	}
	c.recordHomes(report, now)
}

// recordRecoveries records that the log has lost records, perhaps the presence of this agent or of
// entries among them.
func (c *dispatchChecker) recordRecoveries(recoveries uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if recoveries <= c.recoveries {
		return
	}
	c.recoveries = recoveries
	select {
	case c.newVersion <- struct{}{}:
	default:
	}
}

const (
	// maxDedupWindow is the longest dedup-window that a policy may have.
	maxDedupWindow = 24 * time.Hour
	// uncertainKeySweepInterval is the interval at which uncertain keys outside every
	// deduplication window are dropped.
	uncertainKeySweepInterval = time.Minute
)

// pruneUncertainKeys bounds the number of uncertain keys (those that another agent may have
// run): it drops keys that are outside every deduplication window. mu is held.
func (c *dispatchChecker) pruneUncertainKeys(now time.Time) {
	if now.Before(c.nextSweep) {
		return
	}
	c.nextSweep = now.Add(uncertainKeySweepInterval)
	for k, at := range c.uncertainKeys {
		if now.Sub(at) > maxDedupWindow+dispatchSlack {
			delete(c.uncertainKeys, k)
		}
	}
}

// newestVersion returns the newest version that an entry has reported, 0 if there is none.
func (c *dispatchChecker) newestVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.homeHistory) == 0 {
		return 0
	}
	return c.homeHistory[len(c.homeHistory)-1].to
}

// recordHomes extends the history of target lists. A missed version clears the history,
// because the home may have been elsewhere meanwhile. If entries report different lists for one
// version, the log has lost a version and given its number to another: no home is certain until
// a later version holds both.
func (c *dispatchChecker) recordHomes(report *wire.DispatchReport, now time.Time) {
	next := homeTargets{from: report.Version, to: report.Version, names: report.Targets, since: now}
	last := len(c.homeHistory) - 1
	if i := slices.IndexFunc(c.homeHistory, func(h homeTargets) bool { return h.from <= report.Version && report.Version <= h.to }); i >= 0 {
		if !slices.Equal(c.homeHistory[i].names, report.Targets) {
			c.ambiguousTo = max(c.ambiguousTo, c.homeHistory[last].to)
		}
		return
	}
	switch {
	case last < 0 || report.Version > c.homeHistory[last].to+1:
		c.homeHistory = []homeTargets{next}
	case report.Version <= c.homeHistory[last].to:
		return
	case slices.Equal(c.homeHistory[last].names, report.Targets):
		c.homeHistory[last].to = report.Version
		return
	default:
		c.homeHistory = append(c.homeHistory, next)
	}
}
