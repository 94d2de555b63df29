package route

// Wait scores by the estimated time to the first token, in seconds.
type Wait struct {
	Distance float64 // added for a target in another data centre, seconds
	// Load prices a full engine, seconds: among targets without a queue the one
	// with fewer requests generates faster.
	Load float64
}

// Speeds of an engine that has not told its own. They matter only until the
// first requests have been measured.
const (
	defaultSlots   = 64.0
	defaultTokens  = 2000.0 // generated a second by a full engine
	defaultPrefill = 8000.0 // prompt tokens a second
)

// Score implements Scorer.
func (w Wait) Score(r *Request, t *Target) float64 {
	s := EstimateWait(r, t)
	if t.DataCentre != r.DataCentre {
		s += w.Distance
	}
	return s + w.Load*fill(t)
}

// EstimateWait returns the expected time to the first token of r on t in
// seconds: the prompts before it and its own, and, if the engine is full, the
// time until enough of the requests before it have ended.
func EstimateWait(r *Request, t *Target) float64 {
	speed := orDefault(t.PrefillPerSec, defaultPrefill)
	return ownWait(r, t) + (t.Others.Prompt+t.Own.Prompt)/speed + min(slotWait(t), maxSlotWait)
}

// maxSlotWait bounds the wait for a slot in an estimate, seconds. Beyond it a
// target is full, and how long its queue is says nothing: the queue is ordered by
// shares, so most of it may be a team's that does not concern this request. If
// the length counted, the requests of all small teams would go to the targets
// where a large team has least, and crowd each other there.
const maxSlotWait = 0.05

// ownWait returns the time to the first token of r on t without other work.
func ownWait(r *Request, t *Target) float64 {
	own := max(0, r.Cost.Prompt-t.CachedTokens)
	return t.StepWait + own/orDefault(t.PrefillPerSec, defaultPrefill)
}

// A report tells about the work of others for as long as that work lasts:
// prompts are computed in a fraction of a second, answers take a few.
const (
	promptMemory  = 0.1 // seconds
	requestMemory = 1.0 // seconds
)

// Means are one entry's means over all targets of a service.
type Means struct {
	Own, Others Work
}

// Fold moves the means towards what a new report tells; n is the number of
// targets that they are the means of.
func (m *Means) Fold(own, others Work, n int) {
	step := 1 / float64(2*max(1, n))
	m.Own.towards(own, step)
	m.Others.towards(others, step)
}

func (w *Work) towards(v Work, step float64) {
	w.Requests += step * (v.Requests - w.Requests)
	w.Prompt += step * (v.Prompt - w.Prompt)
	w.Decode += step * (v.Decode - w.Decode)
}

// Aged returns what to believe of others' work after a report has aged by age
// seconds: the report when it is fresh, and the mean of all targets when it is
// old. Every entry reads the same old report, and if each made up for the whole
// of a difference they would together make up for it many times over, and the
// load would swing from target to target. So the more of the load is others',
// the faster a report is forgotten.
func (m *Means) Aged(reported Work, age float64) Work {
	entries := 1.0
	if m.Own.Requests > 0 {
		entries += m.Others.Requests / m.Own.Requests
	}
	p := 1 / (1 + age*entries/promptMemory)
	q := 1 / (1 + age*entries/requestMemory)
	return Work{
		Requests: m.Others.Requests + q*(reported.Requests-m.Others.Requests),
		Prompt:   m.Others.Prompt + p*(reported.Prompt-m.Others.Prompt),
		Decode:   m.Others.Decode + q*(reported.Decode-m.Others.Decode),
	}
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
