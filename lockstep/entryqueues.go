package lockstep

import "time"

// entryQueues holds the latest queue counts of the entries that query this agent for loads. Entries
// use these counts to divide the headroom of a group among themselves.
type entryQueues struct {
	byEntry map[string]queueReport
}

// queueReport is the queue count of one entry.
type queueReport struct {
	onTime, late int // numbers of queued requests: onTime can still be on time, late can no longer be
	reportedAt   time.Time
}

// queueReportTTL is how long an entry's counts are used: several times the interval at which an
// entry queries for loads.
const queueReportTTL = time.Second

// record sets the queue counts of an entry.
func (q *entryQueues) record(entry string, onTime, late int, now time.Time) {
	if entry == "" {
		return
	}
	if q.byEntry == nil {
		q.byEntry = make(map[string]queueReport)
	}
	q.byEntry[entry] = queueReport{onTime: onTime, late: late, reportedAt: now}
}

// sum returns the total counts and removes entries whose report has expired.
func (q *entryQueues) sum(now time.Time) (onTime, late int) {
	for entry, report := range q.byEntry {
		if now.Sub(report.reportedAt) > queueReportTTL {
			delete(q.byEntry, entry)
			continue
		}
		onTime += report.onTime
		late += report.late
	}
	return onTime, late
}
