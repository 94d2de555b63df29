package gateway

import (
	"time"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/serving"
)

// doubts returns what this entry tells others of targets that broke off connections.
func (m *mesh) doubts() []peers.Doubt {
	now := time.Now()
	var list []peers.Doubt
	for _, o := range m.g.book.Doubts(now) {
		list = append(list, peers.Doubt{
			Entry: o.Entry, Target: o.Run.ID, Born: o.Run.Born, BrokenMS: agoMS(o.Broken, now), WellMS: agoMS(o.Well, now),
		})
	}
	return list
}

// doubted takes what another entry tells of targets; it tells whether that is news.
func (m *mesh) doubted(list []peers.Doubt) bool {
	if len(list) == 0 {
		return false
	}
	now := time.Now()
	told := make([]placing.Doubt, 0, len(list))
	for i := range list {
		o := &list[i]
		told = append(told, placing.Doubt{
			Entry: o.Entry, Run: serving.Run{ID: o.Target, Born: o.Born}, Broken: before(now, o.BrokenMS), Well: before(now, o.WellMS),
		})
	}
	return m.g.book.Doubted(told, now)
}

// agoMS returns how long ago something was; peers.Never if it never was.
func agoMS(at, now time.Time) uint32 {
	if at.IsZero() {
		return peers.Never
	}
	return uint32(min(max(now.Sub(at), 0), time.Hour).Milliseconds())
}

// before is the reverse of agoMS.
func before(now time.Time, ms uint32) time.Time {
	if ms == peers.Never {
		return time.Time{}
	}
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
