package lockstep

import "time"

// waits are the requests that wait at the entries, by what each said last. Entries
// divide the room of a group by them.
type waits struct {
	byEntry map[string]waitSeen
}

type waitSeen struct {
	inTime, late int
	at           time.Time
}

// waitTTL is for how long an entry's word counts: several of its questions.
const waitTTL = time.Second

func (w *waits) note(entry string, inTime, late int, now time.Time) {
	if entry == "" {
		return
	}
	if w.byEntry == nil {
		w.byEntry = make(map[string]waitSeen)
	}
	w.byEntry[entry] = waitSeen{inTime: inTime, late: late, at: now}
}

// sum returns the requests that wait, and forgets entries that do not ask any more.
func (w *waits) sum(now time.Time) (inTime, late int) {
	for entry, s := range w.byEntry {
		if now.Sub(s.at) > waitTTL {
			delete(w.byEntry, entry)
			continue
		}
		inTime += s.inTime
		late += s.late
	}
	return inTime, late
}
