package gateway

import (
	"math"
	"strconv"
	"time"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/serving"
)

// noteRate records the rate that a target names in an answer, or that it names none any
// more. Only a whole success proves the latter: what else answers at its address may leave the
// field out.
func (g *Gateway) noteRate(x *exchange) {
	p := &g.opts.Headers
	h := &x.resp.Header
	value := string(h.Peek(p.RateLimit))
	said := placing.RateLimit{Run: x.target.Run(), Rate: placing.Unlimited}
	switch rate, ok := parseRate(value); {
	case x.resp.Status == statusMisdirected:
		return
	case ok:
		said.Rate = rate
	case value != "":
		g.opts.Metrics.Count("rate_limits_unread", 1)
		return
	case x.resp.Status/100 != 2 || len(h.Peek(p.Seal)) == 0:
		return
	}
	now := time.Now()
	if g.rateSaid(said, placing.TimeBounds{Earliest: x.sentAt, Latest: now}, now).Propagate {
		g.mesh.tell()
	}
}

// parseRate reads a number of requests a second.
func parseRate(value string) (float64, bool) {
	rate, err := strconv.ParseFloat(value, 64)
	if err != nil || rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		return 0, false
	}
	return rate, true
}

func (g *Gateway) rateSaid(said placing.RateLimit, at placing.TimeBounds, now time.Time) placing.RateLimitUpdate {
	taken := g.book.RecordRateLimit(said, at, now)
	if taken.Propagate {
		g.opts.Metrics.Count("rate_limits_changed", 1)
		g.opts.Log.Info("rate limit of a target changed", "target", said.Run.ID, "per_second", said.Rate)
	}
	return taken
}

// Bounds of what one message tells of rates.
const (
	maxRates = 16
	ratesAll = 2048 // to an entry that asks for all
)

// rates returns what this entry tells others of the rates that targets name.
func (m *mesh) rates(most int) []peers.Rate {
	now := time.Now()
	var list []peers.Rate
	for _, o := range m.g.book.RateLimits(most) {
		list = append(list, rateMessage(o, now))
	}
	return list
}

func rateMessage(o placing.ReportedRateLimit, now time.Time) peers.Rate {
	return peers.Rate{Target: o.Run.ID, StartedAtMS: o.Run.StartedAtMS, PerSecond: o.Rate, AgeMS: agoMS(o.ReportedAt, now)}
}

// ratesTold takes what another entry tells of rates, in the answer to a question that was sent
// at a time, or in a question of its own, with a zero time: that may have waited for as long as
// this process stood still. tell has others hear of it at once; unsure has the other one asked.
func (m *mesh) ratesTold(list []peers.Rate, sent time.Time) (tell, unsure bool) {
	now := time.Now()
	for i := range list {
		taken := m.rateTold(&list[i], sent, now)
		tell = tell || taken.Propagate
		unsure = unsure || taken.OrderUnknown
	}
	return tell, unsure
}

func (m *mesh) rateTold(o *peers.Rate, sent, now time.Time) placing.RateLimitUpdate {
	if o.Target == "" || o.AgeMS == peers.Never || math.IsNaN(o.PerSecond) {
		return placing.RateLimitUpdate{}
	}
	said := placing.RateLimit{Run: serving.Run{ID: o.Target, StartedAtMS: o.StartedAtMS}, Rate: o.PerSecond}
	if said.Rate < 0 {
		said.Rate = placing.Unlimited
	}
	at := placing.TimeBounds{Latest: before(now, o.AgeMS)}
	if !sent.IsZero() {
		at.Earliest = before(sent, o.AgeMS)
	}
	return m.g.rateSaid(said, at, now)
}
