package gateway

import (
	"math"
	"strconv"
	"time"

	"github.com/heatherrail/heatherrail/placing"
)

// noteRate takes note of the rate that a target names in an answer, or that it names none any
// more. Only a whole success proves the latter: what else answers at its address may leave the
// field out.
func (g *Gateway) noteRate(x *exchange) {
	p := &g.opts.Protocol
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
	if !g.book.RateSaid(said, placing.Said{Earliest: x.sentAt, Latest: time.Now()}) {
		return
	}
	g.opts.Metrics.Count("rate_limits_changed", 1)
	g.opts.Log.Info("rate limit of a target changed", "target", said.Run.ID, "per_second", said.Rate, "request", x.tries.r.id)
}

// parseRate reads a number of requests a second.
func parseRate(value string) (float64, bool) {
	rate, err := strconv.ParseFloat(value, 64)
	if err != nil || rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
		return 0, false
	}
	return rate, true
}
