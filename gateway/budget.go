package gateway

import (
	"time"

	"github.com/heatherrail/heatherrail/logging"
	"github.com/heatherrail/heatherrail/placing"
	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/serving"
)

// slackUpdateInterval is how often the share of the retry slack follows the membership.
const slackUpdateInterval = time.Second

// maxAloneAge is the age of the entry records up to which an entry that knows no others may rely on being the only one.
const maxAloneAge = entriesReadInterval + 2*time.Second

// retryBudget returns the retry budget of a service.
func (g *Gateway) retryBudget(service string) *placing.RetryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.retryBudgets[service]
	if b == nil {
		b = placing.NewRetryBudget(placing.RetryBounds(g.opts.RetryBudget), time.Now())
		g.retryBudgets[service] = b
	}
	return b
}

// updateSlackShare updates the share of the retry slack from the membership.
func (c *cluster) updateSlackShare() {
	now := time.Now()
	others := c.membership.Table().Others()
	statuses := make([]placing.EntryStatus, 0, len(others))
	for _, s := range others {
		statuses = append(statuses, placing.EntryStatus(s))
	}
	_, isListed := c.g.state.readOffset(serving.TopicEntries)
	if len(others) == 0 {
		isListed = isListed && c.g.state.age(serving.TopicEntries, now) <= maxAloneAge
	}
	before := c.g.slackShare.Share()
	c.g.slackShare.Update(statuses, isListed, now)
	if after := c.g.slackShare.Share(); after != before {
		c.g.opts.Log.Info("share of the retry slack changed", "share", logging.Round2(after), "others", len(others))
	}
}

// reserveRetry reserves a retry of the request in the budget of its service. It returns false if the budget is spent.
func (d *dispatch) reserveRetry() bool {
	if !d.retryReserved {
		d.retryReserved = d.g.retryBudget(d.r.service.Name).Reserve(d.g.slackShare.Share(), time.Now())
		if !d.retryReserved {
			d.g.opts.Metrics.Count("retries_denied", 1)
		}
	}
	return d.retryReserved
}

// confirmRetry checks just before a retry is sent that the budget still allows it.
func (d *dispatch) confirmRetry() *result.Error {
	if !d.retryReserved || d.g.retryBudget(d.r.service.Name).Confirm(d.g.slackShare.Share(), time.Now()) {
		return nil
	}
	d.g.opts.Metrics.Count("retries_lapsed", 1)
	return d.preferLastError(d.lastErr)
}

// recordRetryAnswered records that the target of a retry has answered, or that its connection has ended.
func (d *dispatch) recordRetryAnswered() {
	if d.retryReserved {
		d.retryReserved = false
		d.g.retryBudget(d.r.service.Name).Answered(time.Now())
	}
}

// cancelRetry gives a reserved retry back that is not sent.
func (d *dispatch) cancelRetry() {
	if d.retryReserved {
		d.retryReserved = false
		d.g.retryBudget(d.r.service.Name).Cancel()
	}
}
