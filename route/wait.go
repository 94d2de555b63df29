package route

// WaitScorer scores a target by the estimated time to the first token in seconds, plus
// penalties.
type WaitScorer struct {
	RemotePenaltySec float64 // penalty for a target in another data centre
	// LoadPenaltySec is the penalty for a full engine. A partly occupied engine gets
	// the occupied part of it, because among targets without a queue the target with
	// fewer requests generates faster.
	LoadPenaltySec float64
}

// Assumed speeds of an engine that has not reported its own. They matter only until the
// speeds have been measured with the first requests.
const (
	defaultSlots         = 64.0
	defaultTokensPerSec  = 2000.0 // decode speed of a full engine in tokens a second
	defaultPrefillPerSec = 8000.0 // prefill speed in prompt tokens a second
)

// Score implements Scorer.
func (w WaitScorer) Score(r *Request, t *Target) float64 {
	s := EstimateWait(r, t)
	if t.DataCentre != r.DataCentre {
		s += w.RemotePenaltySec
	}
	return s + w.LoadPenaltySec*occupancy(t)
}

// EstimateWait estimates the time to the first token of r at t in seconds: the prefill time
// of the prompts queued before r and of its own prompt and, if the engine is full, the time
// until enough of the earlier requests have ended.
func EstimateWait(r *Request, t *Target) float64 {
	speed := orDefault(t.PrefillPerSec, defaultPrefillPerSec)
	queue := (t.Others.Prompt+t.Own.Prompt)/speed + slotWaitSeconds(t)
	return ownWaitSeconds(r, t) + queue/(1+queue/maxQueueWaitSeconds)
}

// maxQueueWaitSeconds bounds the part of an estimate that is due to other requests. The
// longer a queue is, the less its length says about the wait: the queue is ordered by
// shares, so most of it may belong to another team and not delay this request. If the
// length counted in full, the requests of all small teams would go to the few targets where
// a large team has the least work, and overload these targets.
const maxQueueWaitSeconds = 0.2

// ownWaitSeconds returns the time to the first token of r at t if t had no other work.
func ownWaitSeconds(r *Request, t *Target) float64 {
	own := max(0, r.Cost.Prompt-t.CachedTokens)
	return t.FirstTokenBaseSec + own/orDefault(t.PrefillPerSec, defaultPrefillPerSec)
}

// reportHalfLifeSeconds is the age at which a load report has half its weight, if there is
// only one entry.
const reportHalfLifeSeconds = 1.0

// LoadMeans are one entry's moving averages over all targets of a service.
type LoadMeans struct {
	Own, Others Work

	firstTokenBaseSec, prefillPerSec, tokensPerSec float64 // mean speeds of the targets that have reported speeds
}

// RecordSpeeds moves the mean speeds towards the speeds that a target has reported. n
// is the number of targets of the service.
func (m *LoadMeans) RecordSpeeds(t *Target, n int) {
	if t.PrefillPerSec <= 0 || t.TokensPerSec <= 0 {
		return
	}
	if m.prefillPerSec == 0 {
		m.firstTokenBaseSec, m.prefillPerSec, m.tokensPerSec = t.FirstTokenBaseSec, t.PrefillPerSec, t.TokensPerSec
		return
	}
	step := 1 / float64(2*max(1, n))
	m.firstTokenBaseSec += step * (t.FirstTokenBaseSec - m.firstTokenBaseSec)
	m.prefillPerSec += step * (t.PrefillPerSec - m.prefillPerSec)
	m.tokensPerSec += step * (t.TokensPerSec - m.tokensPerSec)
}

// FillSpeeds sets the speeds of a target that has reported none to the mean speeds. With
// fixed speeds such a target would look slower than all others and get no requests, or
// faster and get all of them.
func (m *LoadMeans) FillSpeeds(t *Target) {
	if t.PrefillPerSec <= 0 || t.TokensPerSec <= 0 {
		t.FirstTokenBaseSec, t.PrefillPerSec, t.TokensPerSec = m.firstTokenBaseSec, m.prefillPerSec, m.tokensPerSec
	}
}

// RecordLoad moves the mean loads towards the loads of a new report. n is the number of
// targets of the service.
func (m *LoadMeans) RecordLoad(own, others Work, n int) {
	step := 1 / float64(2*max(1, n))
	m.Own.moveToward(own, step)
	m.Others.moveToward(others, step)
}

// moveToward moves w towards v by a part of the difference.
func (w *Work) moveToward(v Work, step float64) {
	w.Requests += step * (v.Requests - w.Requests)
	w.Prompt += step * (v.Prompt - w.Prompt)
	w.Decode += step * (v.Decode - w.Decode)
}

// DiscountStale returns the estimated work of other entries at a target, from a load report
// that is age seconds old.
//
// The part of a difference from the mean that the target could have worked off since the
// report gets a low weight. All entries read the same old report. If each entry compensated
// for the whole difference, they would together overcompensate many times, and the load
// would oscillate between targets. So the weight is lower the more of the load belongs to
// other entries. The rest of the difference keeps its full weight: a target that was empty
// while all others had long queues is still the better one.
func (m *LoadMeans) DiscountStale(reported Work, age float64) Work {
	entries := 1.0
	if m.Own.Requests > 0 {
		entries += m.Others.Requests / m.Own.Requests
	}
	weight := 1 / (1 + age*entries/reportHalfLifeSeconds)
	requests, decode := 0.0, age*orDefault(m.tokensPerSec, defaultTokensPerSec)
	if m.Others.Decode > 0 {
		requests = decode * m.Others.Requests / m.Others.Decode
	}
	return Work{
		Requests: shrinkToMean(reported.Requests, m.Others.Requests, requests, weight),
		Prompt:   shrinkToMean(reported.Prompt, m.Others.Prompt, age*orDefault(m.prefillPerSec, defaultPrefillPerSec), weight),
		Decode:   shrinkToMean(reported.Decode, m.Others.Decode, decode, weight),
	}
}

// shrinkToMean moves a reported value towards the mean. The part of the difference up to
// maxChange is multiplied by weight, the rest counts in full.
func shrinkToMean(reported, mean, maxChange, weight float64) float64 {
	d := reported - mean
	within := max(-maxChange, min(maxChange, d))
	return mean + weight*within + (d - within)
}

// slotWaitSeconds estimates the time until a slot is free for one more request. All
// requests of the target share its decode speed, so k of them end in the time that it takes
// to generate k times their mean remaining tokens.
func slotWaitSeconds(t *Target) float64 {
	requests := t.Others.Requests + t.Own.Requests
	excess := requests + 1 - slotCount(t)
	if excess <= 0 {
		return 0
	}
	meanDecode := (t.Others.Decode + t.Own.Decode) / requests
	return excess * meanDecode / orDefault(t.TokensPerSec, defaultTokensPerSec)
}

// occupancy returns the occupied part of the engine's slots, at most 1.
func occupancy(t *Target) float64 {
	return min(1, (t.Others.Requests+t.Own.Requests)/slotCount(t))
}

func slotCount(t *Target) float64 {
	if t.Slots <= 0 {
		return defaultSlots
	}
	return float64(t.Slots)
}

func orDefault(v, d float64) float64 {
	if v <= 0 {
		return d
	}
	return v
}
