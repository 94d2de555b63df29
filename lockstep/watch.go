package lockstep

import (
	"time"

	"github.com/heatherrail/heatherrail/peers"
)

// watch looks after a group from a rank that does not lead it.
//
// Failure: the agent of rank 0 dies or freezes between the hold and the release.
// Symptom: no pass begins any more, and every stream of the group stalls. Any
// other agent sees that passes stand still and brings the group on; the ranks
// begin at different times, so that mostly one does it.
type watch struct {
	a     *Agent
	group *group
	step  uint64
	epoch uint64
	since time.Time
}

// Patience with a group that stands still: far longer than any pass, plus a part
// for each rank.
const (
	stillAfter   = 700 * time.Millisecond
	stillPerRank = 50 * time.Millisecond
)

func newWatch(a *Agent) *watch { return &watch{a: a, group: newGroup(a)} }

func (w *watch) look(s peers.RankState) {
	now := time.Now()
	busy := s.Open && s.Running+s.Waiting > 0
	if !busy || s.Step != w.step || s.Epoch != w.epoch {
		w.step, w.epoch, w.since = s.Step, s.Epoch, now
		return
	}
	if now.Sub(w.since) < stillAfter+time.Duration(s.Rank)*stillPerRank {
		return
	}
	w.since = now
	w.group.reread()
	ranks, _ := w.group.collect(s.Group, false, "")
	for _, r := range ranks {
		if r.state.Held != 0 {
			w.a.opts.Log.Info("group stands still", "group", s.Group, "step", s.Step, "held", r.state.Held, "at_rank", r.state.Rank)
			resolve(w.a, w.group, r.member, s.Group)
			return
		}
	}
}
