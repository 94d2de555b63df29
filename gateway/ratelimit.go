package gateway

import (
	"math"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/heatherrail/heatherrail/peers"
	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/serving"
)

// recordRateLimit records the rate limit that a target reports in a response, or that the target
// reports none. Only a success with a seal proves that the target reports none: another process at
// the target's address may omit the header.
func (g *Gateway) recordRateLimit(a *attempt) {
	answer := &a.answer
	limit := placing.RateLimit{Run: a.target.Run(), Rate: answer.RateLimit}
	switch {
	case a.resp.Status == fasthttp.StatusMisdirectedRequest:
		return
	case answer.RateLimitInvalid:
		g.opts.Metrics.Count("rate_limits_unread", 1)
		return
	case answer.RateLimit == serving.NoRateLimit && (a.resp.Status/100 != 2 || !answer.Sealed):
		return
	}
	now := time.Now()
	if g.applyRate(limit, placing.TimeBounds{Earliest: a.sentAt, Latest: now}, now).Propagate {
		g.cluster.notify()
	}
}

func (g *Gateway) applyRate(limit placing.RateLimit, bounds placing.TimeBounds, now time.Time) placing.RateLimitUpdate {
	update := g.tracker.RecordRateLimit(limit, bounds, now)
	if update.Propagate {
		g.opts.Metrics.Count("rate_limits_changed", 1)
		g.opts.Log.Info("rate limit of a target changed", "target", limit.Run.ID, "per_second", limit.Rate)
	}
	return update
}

// Limits on the number of statements of each kind in one message.
const (
	maxGossipStatements    = 16
	maxGossipOldLeavings   = 2    // statements of leaving targets that other entries should know already
	maxFullStateStatements = 2048 // limit of a message to an entry that asks for the full state
)

// rateMessages returns the known rate limits of at most limit targets, for other entries.
func (c *cluster) rateMessages(limit int) []peers.Rate {
	now := time.Now()
	var messages []peers.Rate
	for _, rate := range c.g.tracker.RateLimits(limit) {
		messages = append(messages, newRateMessage(rate, now))
	}
	return messages
}

func newRateMessage(rate placing.ReportedRateLimit, now time.Time) peers.Rate {
	return peers.Rate{Target: rate.Run.ID, StartedAtMS: rate.Run.StartedAtMS, PerSecond: rate.Rate, AgeMS: ageMS(rate.ReportedAt, now)}
}

// applyRateMessages merges rate limits from another entry. For rate limits in an ack, sent is the
// time when the probe was sent. For rate limits in a probe, sent is zero: the probe may have been
// delivered late if this process was paused. propagate means that other entries should be notified
// at once. orderUnknown means that the sender should be probed to learn which value is newer.
func (c *cluster) applyRateMessages(messages []peers.Rate, sent time.Time) (propagate, orderUnknown bool) {
	now := time.Now()
	for i := range messages {
		update := c.applyRateMessage(&messages[i], sent, now)
		propagate = propagate || update.Propagate
		orderUnknown = orderUnknown || update.OrderUnknown
	}
	return propagate, orderUnknown
}

func (c *cluster) applyRateMessage(m *peers.Rate, sent, now time.Time) placing.RateLimitUpdate {
	if !peers.IsName(m.Target) || m.AgeMS == peers.Never || math.IsNaN(m.PerSecond) {
		return placing.RateLimitUpdate{}
	}
	limit := placing.RateLimit{Run: serving.Run{ID: m.Target, StartedAtMS: m.StartedAtMS}, Rate: m.PerSecond}
	if limit.Rate < 0 {
		limit.Rate = placing.Unlimited
	}
	bounds := placing.TimeBounds{Latest: timeBefore(now, m.AgeMS)}
	if !sent.IsZero() {
		bounds.Earliest = timeBefore(sent, m.AgeMS)
	}
	return c.g.applyRate(limit, bounds, now)
}
