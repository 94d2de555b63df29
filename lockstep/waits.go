package lockstep

import "time"

// waits are the requests that wait at the entries, by what each said last. Entries
// divide the room of a group by them.
type waits struct {
	byEntry map[string]waitSeen
}

type waitSeen struct {
	requests int
	at       time.Time
}

// waitLife is for how long an entry's word counts: several of its questions.
const waitLife = time.Second

func (w *waits) note(entry string, requests int, now time.Time) {
	if entry == "" {
		return
	}
	if w.byEntry == nil {
		w.byEntry = make(map[string]waitSeen)
	}
	w.byEntry[entry] = waitSeen{requests: requests, at: now}
}

// sum returns the requests that wait, and forgets entries that do not ask any more.
func (w *waits) sum(now time.Time) int {
	total := 0
	for entry, s := range w.byEntry {
		if now.Sub(s.at) > waitLife {
			delete(w.byEntry, entry)
			continue
		}
		total += s.requests
	}
	return total
}
