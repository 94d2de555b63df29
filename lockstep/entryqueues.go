package lockstep

import "time"

// entryQueues are the queue counts that the entries reported last. Entries divide the capacity of a
// group by them.
type entryQueues struct {
	byEntry map[string]queueReport
}

// queueReport is the queue count of one entry.
type queueReport struct {
	inTime, late int // requests that can and that cannot meet their deadline
	reportedAt   time.Time
}

// queueReportTTL covers several queries of an entry.
const queueReportTTL = time.Second

// record sets the queue counts of an entry.
func (q *entryQueues) record(entry string, inTime, late int, now time.Time) {
	if entry == "" {
		return
	}
	if q.byEntry == nil {
		q.byEntry = make(map[string]queueReport)
	}
	q.byEntry[entry] = queueReport{inTime: inTime, late: late, reportedAt: now}
}

// sum returns the total counts and removes entries whose report has expired.
func (q *entryQueues) sum(now time.Time) (inTime, late int) {
	for entry, report := range q.byEntry {
		if now.Sub(report.reportedAt) > queueReportTTL {
			delete(q.byEntry, entry)
			continue
		}
		inTime += report.inTime
		late += report.late
	}
	return inTime, late
}
