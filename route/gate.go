package route

import "time"

// AdmissionQueue decides at one target which requests run, wait or are refused. It sits
// where all requests of the target pass, so its counts are exact: shares between
// teams hold over all entries without any of them knowing the others' demand.
// It keeps the engine's own queue empty, since nothing can be reordered there.
type AdmissionQueue struct {
	slots    int
	queue    *FairQueue
	limit    int
	running  int
	prompt   float64 // tokens not yet computed, waiting requests included
	decode   float64 // tokens still to generate, waiting requests included
	inEngine float64 // prompt tokens in the engine, not yet computed
	speed    SpeedEstimator
	fresh    float64 // tokens generated since the speed was told
	started  int
	open     []*Job           // in the engine, prompt not yet computed, in the order of start
	peers    map[string]*Work // by entry, waiting requests included
}

// Job is one request at a gate.
type Job struct {
	FairItem
	Cost     Cost
	Peer     string // entry that sent it
	UserData any    // the caller's own
	Expired  bool   // taken out of the queue since its deadline can't be met any more

	deadline time.Duration

	work *Work // of its entry

	began time.Duration // start in the engine
	ahead float64       // prompt tokens up to its own at its start
	first bool          // its first token was seen
	done  float64       // tokens generated
	left  float64       // its part of AdmissionQueue.decode
}

// Admission is what a gate says to a request.
type Admission uint8

// Admissions.
const (
	Admitted         Admission = iota // take it from Next
	RejectedWait                      // the wait is longer than the entry allows; another target may be better
	RejectedDeadline                  // the deadline can't be met
	RejectedFull                      // the queue is full
)

// AdmissionBounds bounds what a request accepts; zero means no bound.
type AdmissionBounds struct {
	TimeLeft time.Duration // until its deadline
	MaxWait  time.Duration // for its first token
}

// NewAdmissionQueue returns a gate for an engine that decodes slots requests at once, with
// room for limit waiting ones.
func NewAdmissionQueue(slots, limit int) *AdmissionQueue {
	return &AdmissionQueue{slots: slots, limit: limit, queue: NewFairQueue(), peers: make(map[string]*Work)}
}

// Running returns how many requests are in the engine.
func (g *AdmissionQueue) Running() int { return g.running }

// Queued returns how many requests wait.
func (g *AdmissionQueue) Queued() int { return g.queue.Len() }

// ExpectedWait returns the expected time until the job's first token, if it came now.
func (g *AdmissionQueue) ExpectedWait(j *Job) time.Duration {
	base, perSec := g.speed.Prefill()
	prefill := (g.inEngine + j.Cost.Prompt) / orDefault(perSec, defaultPrefill)
	return seconds(base + prefill + g.slotWait(j))
}

func (g *AdmissionQueue) slotWait(j *Job) float64 {
	if g.running < g.slots && g.queue.WouldBeNext(j.Team, j.Weight) {
		return 0
	}
	speed := orDefault(g.speed.TokensPerSec(g.slots), defaultTokens)
	rest := g.decode / float64(max(1, g.running+g.queue.Len()))
	return g.ends(j)*rest/speed + g.queue.WaitSeconds(j.Team, j.Weight, j.Priority, speed)
}

// ends returns how many running requests must end before the job may start, if
// nothing waited.
func (g *AdmissionQueue) ends(j *Job) float64 {
	if g.queue.TeamCount() < 2 || g.queue.IsUnderserved(j.Team, j.Weight) {
		return 1
	}
	free := g.slots - g.running
	return float64(max(1, g.slots/reservePart+1-free))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Offer takes a job into the queue, or says why not. Whatever it says is
// final and at once.
func (g *AdmissionQueue) Offer(now time.Duration, j *Job, o AdmissionBounds) (Admission, time.Duration) {
	wait := g.ExpectedWait(j)
	if g.idle() {
		o.MaxWait = 0 // nothing is gained by refusing, and the speed may be known wrongly
	}
	switch {
	case o.MaxWait > 0 && wait > o.MaxWait:
		return RejectedWait, wait
	case o.TimeLeft > 0 && !g.idle() && wait+g.runTime(j) > o.TimeLeft:
		return RejectedDeadline, wait
	case g.queue.Len() >= g.limit:
		return RejectedFull, wait
	}
	j.TokenCost, j.Value = j.Cost.DecodeEquivalent(), j
	if o.TimeLeft > 0 {
		j.deadline = now + o.TimeLeft
	}
	g.queue.Push(now, &j.FairItem)
	g.book(j)
	return Admitted, wait
}

func (g *AdmissionQueue) book(j *Job) {
	w := g.peers[j.Peer]
	if w == nil {
		w = new(Work)
		g.peers[j.Peer] = w
	}
	w.Requests++
	w.Prompt += j.Cost.Prompt
	w.Decode += j.Cost.Decode
	j.work, j.left = w, j.Cost.Decode
	g.prompt += j.Cost.Prompt
	g.decode += j.Cost.Decode
}

// unbook takes what is left of a job out of the books.
func (g *AdmissionQueue) unbook(j *Job) {
	g.prefilled(j)
	j.work.Requests--
	g.generated(j, j.left)
	if j.work.Requests == 0 {
		delete(g.peers, j.Peer) // rounding errors don't add up
	}
	if len(g.peers) == 0 {
		g.prompt, g.decode = 0, 0
	}
}

func (g *AdmissionQueue) prefilled(j *Job) {
	if j.first {
		return
	}
	j.first = true
	g.prompt -= j.Cost.Prompt
	j.work.Prompt -= j.Cost.Prompt
}

func (g *AdmissionQueue) generated(j *Job, n float64) {
	n = min(n, j.left)
	j.left -= n
	g.decode -= n
	j.work.Decode -= n
}

// idle tells whether the target has no work. An idle target takes every request:
// if its speed was learnt wrongly, as after a stall, refusing by it would leave it
// without the work by which it learns, and refusing for ever.
func (g *AdmissionQueue) idle() bool { return g.running == 0 && g.queue.Len() == 0 }

// runTime returns how long a job takes in a full engine.
func (g *AdmissionQueue) runTime(j *Job) time.Duration {
	perSlot := g.speed.TokensPerSec(1)
	if perSlot == 0 {
		return 0
	}
	return seconds(j.Cost.Decode / perSlot)
}

// Next takes the next job out of the queue, nil if none may start now. A job
// that is Expired is not started: its deadline can no longer be met, and running it
// would cost others theirs.
func (g *AdmissionQueue) Next(now time.Duration) *Job {
	if !g.mayStart() {
		return nil
	}
	it := g.queue.Pop(now)
	if it == nil {
		return nil
	}
	j := it.Value.(*Job)
	if j.deadline > 0 && g.running > 0 && now+g.runTime(j) > j.deadline {
		j.Expired = true
		g.queue.Charge(j.Team, j.Weight, -j.TokenCost)
		g.unbook(j)
		return j
	}
	g.tell(now)
	g.running++
	g.inEngine += j.Cost.Prompt
	j.began, j.ahead = now, g.inEngine
	g.open = append(g.open, j)
	if g.started++; g.started%forgetEvery == 0 {
		g.queue.EvictIdleTeams()
	}
	return j
}

// Two parts of the engine are kept for teams that have had less than their share.
// What is inside the engine can't be overtaken: a small team would wait for
// a slot of a large one, and behind the prompts of all that was let in.
const (
	reservePart  = 8     // one slot in so many
	promptWindow = 0.015 // seconds of prompts inside the engine
	promptFloor  = 1024  // tokens
)

// mayStart tells whether the engine has room for the next job of the queue.
func (g *AdmissionQueue) mayStart() bool {
	free := g.slots - g.running
	if free <= 0 {
		return false
	}
	if g.queue.TeamCount() < 2 || g.queue.HeadIsUnderserved() {
		return true
	}
	_, perSec := g.speed.Prefill()
	return free > g.slots/reservePart && g.inEngine < max(promptFloor, promptWindow*perSec)
}

// forgetEvery is how many starts lie between two looks for teams to forget.
const forgetEvery = 1024

// Remove takes a waiting job out; false: it does not wait.
func (g *AdmissionQueue) Remove(j *Job) bool {
	if !g.queue.Remove(&j.FairItem) {
		return false
	}
	g.unbook(j)
	return true
}

// RecordTokens takes the tokens that a running job has generated since the last call.
// streamed tells that they come as they are generated: only then does the first
// one tell how fast the engine is.
func (g *AdmissionQueue) RecordTokens(now time.Duration, j *Job, n float64, streamed bool) {
	if !j.first {
		if streamed {
			g.speed.RecordFirstToken(j.ahead, now-j.began)
		}
		g.computed(j)
	}
	j.done += n
	g.fresh += n
	g.generated(j, n)
}

// computed notes that a job's prompt has been computed, and with it those of all
// jobs that started before: engines compute prompts in the order of their start,
// and a job that is not streamed shows nothing until its end.
func (g *AdmissionQueue) computed(j *Job) {
	for i, o := range g.open {
		if o != j {
			continue
		}
		for _, earlier := range g.open[:i+1] {
			g.inEngine -= earlier.Cost.Prompt
			g.prefilled(earlier)
		}
		g.open = append(g.open[:0], g.open[i+1:]...)
		return
	}
}

// Finish takes a running job out; whole: its answer was complete.
func (g *AdmissionQueue) Finish(now time.Duration, j *Job, whole bool) {
	g.tell(now)
	g.leaveOpen(j)
	g.running--
	if g.running == 0 {
		g.inEngine = 0
	}
	g.unbook(j)
	if whole {
		g.speed.RecordAnswer(j.done)
	}
	g.queue.Charge(j.Team, j.Weight, j.done-j.Cost.Decode)
}

// leaveOpen takes a job that ends before its first token out of the prompts to
// compute.
func (g *AdmissionQueue) leaveOpen(j *Job) {
	for i, o := range g.open {
		if o == j {
			g.inEngine -= j.Cost.Prompt
			g.open = append(g.open[:i], g.open[i+1:]...)
			return
		}
	}
}

func (g *AdmissionQueue) tell(now time.Duration) {
	g.speed.RecordRunning(now, g.running, g.fresh)
	g.fresh = 0
}

// LoadReport is a gate's state for a load report.
type LoadReport struct {
	Total, FromReceiver Work // of all entries; of the one that the report is for
	Queued              int  // part of Total that waits
	Slots               int
	FirstTokenBaseSec   float64 // seconds to a first token that don't depend on prompts
	PrefillPerSec       float64
	TokensPerSec        float64
	AnswerTokens        float64 // mean length of answers
}

// LoadReport returns the state now, as told to one entry.
func (g *AdmissionQueue) LoadReport(peer string) LoadReport {
	base, perSec := g.speed.Prefill()
	a := LoadReport{
		Total:             Work{Requests: float64(g.running + g.queue.Len()), Prompt: g.prompt, Decode: g.decode},
		Queued:            g.queue.Len(),
		Slots:             g.slots,
		FirstTokenBaseSec: base,
		PrefillPerSec:     perSec,
		TokensPerSec:      g.speed.TokensPerSec(g.slots),
		AnswerTokens:      g.speed.AnswerTokens(),
	}
	if w := g.peers[peer]; w != nil {
		a.FromReceiver = *w
	}
	return a
}

// Others returns the work of other entries.
func (a *LoadReport) Others() Work {
	return Work{
		Requests: max(0, a.Total.Requests-a.FromReceiver.Requests),
		Prompt:   max(0, a.Total.Prompt-a.FromReceiver.Prompt),
		Decode:   max(0, a.Total.Decode-a.FromReceiver.Decode),
	}
}
