package lockstep

import (
	"time"

	"github.com/heatherrail/heatherrail/members"
	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/placing"
)

// entryReports holds the latest reports of the entries that query this agent for loads. Entries use
// the queue counts to divide the headroom of a group among themselves. The leader derives from the
// gaps between events how long passes last for callers.
type entryReports struct {
	byEntry map[string]entryReport
}

// entryReport is what one entry reports with its query for loads.
type entryReport struct {
	queued     placing.QueueCounts
	longestGap time.Duration // longest gap since the gaps were last taken; 0: none
	reportedAt time.Time
}

// entryReportTTL is how long an entry's queue counts are used: several times the interval at which
// an entry queries for loads.
const entryReportTTL = time.Second

// record stores the report of an entry.
func (e *entryReports) record(q *peers.LoadsQuery, now time.Time) {
	if _, known := e.byEntry[q.Entry]; !peers.IsName(q.Entry) || !known && len(e.byEntry) >= members.MaxMembers {
		return
	}
	if e.byEntry == nil {
		e.byEntry = make(map[string]entryReport)
	}
	report := entryReport{
		queued:     placing.QueueCounts{OnTime: int(q.QueuedOnTime), Late: int(q.QueuedLate)},
		longestGap: max(e.byEntry[q.Entry].longestGap, time.Duration(q.LongestGapMS)*time.Millisecond),
		reportedAt: now,
	}
	peers.AddLevels(report.queued.ByLevel[:], q.QueuedByLevel)
	e.byEntry[q.Entry] = report
}

// queued returns the total queue counts and removes entries whose report has expired.
func (e *entryReports) queued(now time.Time) (total placing.QueueCounts) {
	for entry, report := range e.byEntry {
		if now.Sub(report.reportedAt) > entryReportTTL {
			delete(e.byEntry, entry)
			continue
		}
		total.Add(&report.queued)
	}
	return total
}

// takeLongestGap returns the longest gap that the entries have reported since the previous call; 0:
// none. With reports of several entries it returns the second longest: all entries see each pass,
// and a single longer gap comes from an entry that was stalled itself.
func (e *entryReports) takeLongestGap() time.Duration {
	var gaps gapMerge
	for entry, report := range e.byEntry {
		gaps.add(report.longestGap)
		report.longestGap = 0
		e.byEntry[entry] = report
	}
	return gaps.result()
}

// gapMerge merges the longest gaps that several entries, or agents for their entries, have reported
// about the same passes.
type gapMerge struct {
	longest, second time.Duration
	count           int
}

// add adds a reported gap; 0: none.
func (m *gapMerge) add(gap time.Duration) {
	if gap == 0 {
		return
	}
	m.count++
	if gap > m.longest {
		m.longest, m.second = gap, m.longest
	} else {
		m.second = max(m.second, gap)
	}
}

// result returns the second longest gap, or the only one; 0: none.
func (m *gapMerge) result() time.Duration {
	if m.count > 1 {
		return m.second
	}
	return m.longest
}
