package route

// WaitScorer scores by the estimated time to the first token, in seconds.
type WaitScorer struct {
	RemotePenaltySec float64 // added for a target in another data centre, seconds
	// LoadPenaltySec prices a full engine, seconds: among targets without a queue the one
	// with fewer requests generates faster.
	LoadPenaltySec float64
}

// Speeds of an engine that has not told its own. They matter only until the
// first requests have been measured.
const (
	defaultSlots   = 64.0
	defaultTokens  = 2000.0 // generated a second by a full engine
	defaultPrefill = 8000.0 // prompt tokens a second
)

// Score implements Scorer.
func (w WaitScorer) Score(r *Request, t *Target) float64 {
	s := EstimateWait(r, t)
	if t.DataCentre != r.DataCentre {
		s += w.RemotePenaltySec
	}
	return s + w.LoadPenaltySec*fill(t)
}

// EstimateWait returns the expected time to the first token of r on t in
// seconds: the prompts before it and its own, and, if the engine is full, the
// time until enough of the requests before it have ended.
func EstimateWait(r *Request, t *Target) float64 {
	speed := orDefault(t.PrefillPerSec, defaultPrefill)
	queue := (t.Others.Prompt+t.Own.Prompt)/speed + slotWait(t)
	return ownWait(r, t) + queue/(1+queue/maxQueueWait)
}

// maxQueueWait bounds the part of an estimate that other work makes, seconds. The
// longer a queue is the less its length says: it is ordered by shares, so most of
// it may be a team's that does not concern this request. If the length counted in
// full, the requests of all small teams would go to the targets where a large team
// has least, and crowd each other there.
const maxQueueWait = 0.2

// ownWait returns the time to the first token of r on t without other work.
func ownWait(r *Request, t *Target) float64 {
	own := max(0, r.Cost.Prompt-t.CachedTokens)
	return t.FirstTokenBaseSec + own/orDefault(t.PrefillPerSec, defaultPrefill)
}

// reportMemory is the age in seconds at which half of a report is believed, for
// an entry that is alone.
const reportMemory = 1.0

// LoadMeans are one entry's means over all targets of a service.
type LoadMeans struct {
	Own, Others Work

	stepWait, prefill, tokens float64 // speeds of the targets that have told theirs
}

// RecordSpeeds moves the mean speeds towards what a target told.
func (m *LoadMeans) RecordSpeeds(t *Target, n int) {
	if t.PrefillPerSec <= 0 || t.TokensPerSec <= 0 {
		return
	}
	if m.prefill == 0 {
		m.stepWait, m.prefill, m.tokens = t.FirstTokenBaseSec, t.PrefillPerSec, t.TokensPerSec
		return
	}
	step := 1 / float64(2*max(1, n))
	m.stepWait += step * (t.FirstTokenBaseSec - m.stepWait)
	m.prefill += step * (t.PrefillPerSec - m.prefill)
	m.tokens += step * (t.TokensPerSec - m.tokens)
}

// FillSpeeds gives a target that has not told its speeds those of the others: with
// fixed ones it would look slower than all that have, or faster, and get no work
// or all.
func (m *LoadMeans) FillSpeeds(t *Target) {
	if t.PrefillPerSec <= 0 || t.TokensPerSec <= 0 {
		t.FirstTokenBaseSec, t.PrefillPerSec, t.TokensPerSec = m.stepWait, m.prefill, m.tokens
	}
}

// RecordLoad moves the means towards what a new report tells; n is the number of
// targets that they are the means of.
func (m *LoadMeans) RecordLoad(own, others Work, n int) {
	step := 1 / float64(2*max(1, n))
	m.Own.towards(own, step)
	m.Others.towards(others, step)
}

func (w *Work) towards(v Work, step float64) {
	w.Requests += step * (v.Requests - w.Requests)
	w.Prompt += step * (v.Prompt - w.Prompt)
	w.Decode += step * (v.Decode - w.Decode)
}

// DiscountStale returns what to believe of others' work when a report is age seconds old.
//
// A difference from the mean that the targets could have worked off since then is
// hardly believed: every entry reads the same old report, and if each made up for
// the whole of a difference they would together make up for it many times over,
// and the load would swing from target to target. So the more of the load is
// others', the less is believed. What goes beyond is believed whole: a target that
// was empty while all others had long queues is still the better one.
func (m *LoadMeans) DiscountStale(reported Work, age float64) Work {
	entries := 1.0
	if m.Own.Requests > 0 {
		entries += m.Others.Requests / m.Own.Requests
	}
	belief := 1 / (1 + age*entries/reportMemory)
	requests, decode := 0.0, age*orDefault(m.tokens, defaultTokens)
	if m.Others.Decode > 0 {
		requests = decode * m.Others.Requests / m.Others.Decode
	}
	return Work{
		Requests: believe(reported.Requests, m.Others.Requests, requests, belief),
		Prompt:   believe(reported.Prompt, m.Others.Prompt, age*orDefault(m.prefill, defaultPrefill), belief),
		Decode:   believe(reported.Decode, m.Others.Decode, decode, belief),
	}
}

// believe returns the mean, a part of the difference up to change, and all of the
// difference beyond.
func believe(reported, mean, change, belief float64) float64 {
	d := reported - mean
	within := max(-change, min(change, d))
	return mean + belief*within + (d - within)
}

// slotWait returns the time until a slot is free for one more request. All
// requests of the target share its speed, so the time for k of them to end is
// the time to generate k times their mean rest.
func slotWait(t *Target) float64 {
	held := t.Others.Requests + t.Own.Requests
	over := held + 1 - slots(t)
	if over <= 0 {
		return 0
	}
	rest := (t.Others.Decode + t.Own.Decode) / held
	return over * rest / orDefault(t.TokensPerSec, defaultTokens)
}

// fill returns how full the engine is, at most 1.
func fill(t *Target) float64 {
	return min(1, (t.Others.Requests+t.Own.Requests)/slots(t))
}

func slots(t *Target) float64 {
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
