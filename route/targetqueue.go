package route

import "time"

// TargetQueue decides for one target which requests run, wait or are refused. It runs
// in the agent of the target, through which all requests of the target pass. So its counts
// are exact, and shares between teams hold over all entries although no entry knows the
// demand at the others. It keeps the engine's own queue empty, because requests in the
// engine can't be reordered.
type TargetQueue struct {
	slots              int
	queue              *FairQueue
	maxQueued          int
	running            int
	promptTokens       float64 // prompt tokens not yet computed, queued requests included
	decodeTokens       float64 // tokens still to generate, queued requests included
	enginePromptTokens float64 // prompt tokens in the engine, not yet computed
	speed              SpeedEstimator
	unrecordedTokens   float64          // tokens generated since the last call of recordRunning
	started            int              // jobs started so far
	prefilling         []*Job           // jobs in the engine whose prompt is not yet computed, in start order
	workByEntry        map[string]*Work // outstanding work by entry, queued requests included
}

// Job is one request in a TargetQueue.
type Job struct {
	FairItem
	Cost     Cost
	Peer     string // entry that sent the request
	UserData any    // not used by the queue
	Expired  bool   // the job was removed from the queue because its deadline can't be met any more

	deadline time.Duration // deadline of the job, in the time base of now; 0: none

	work *Work // work of the entry that sent the request

	startedAt         time.Duration // time when the job started in the engine
	promptTokensAhead float64       // prompt tokens in the engine when the job started, the job's own included
	prefilled         bool          // the prompt has been computed
	generatedTokens   float64
	remainingDecode   float64 // the job's part of TargetQueue.decodeTokens
}

// Admission is the result of TargetQueue.Offer.
type Admission uint8

// Results of TargetQueue.Offer.
const (
	Admitted         Admission = iota // queued; Next returns the job when it may start
	RejectedWait                      // the expected wait is longer than MaxWait; another target may be better
	RejectedDeadline                  // the deadline can't be met
	RejectedFull                      // the queue is full
)

// AdmissionBounds are the time limits of a request; zero means no limit.
type AdmissionBounds struct {
	TimeLeft time.Duration // time until the deadline
	MaxWait  time.Duration // maximum wait for the first token
}

// NewTargetQueue returns a queue with room for maxQueued requests, for an engine that
// decodes slots requests at once.
func NewTargetQueue(slots, maxQueued int) *TargetQueue {
	return &TargetQueue{slots: slots, maxQueued: maxQueued, queue: NewFairQueue(), workByEntry: make(map[string]*Work)}
}

// Running returns the number of requests in the engine.
func (q *TargetQueue) Running() int { return q.running }

// Queued returns the number of queued requests.
func (q *TargetQueue) Queued() int { return q.queue.Len() }

// ExpectedWait estimates the time until the first token of a job that is offered now.
func (q *TargetQueue) ExpectedWait(j *Job) time.Duration {
	base, perSec := q.speed.Prefill()
	prefill := (q.enginePromptTokens + j.Cost.Prompt) / orDefault(perSec, defaultPrefillPerSec)
	return seconds(base + prefill + q.slotWaitSeconds(j))
}

// slotWaitSeconds estimates how long a job would be queued for a slot.
func (q *TargetQueue) slotWaitSeconds(j *Job) float64 {
	if q.running < q.slots && q.queue.WouldBeNext(j.Team, j.Weight) {
		return 0
	}
	speed := orDefault(q.speed.TokensPerSec(q.slots), defaultTokensPerSec)
	meanDecode := q.decodeTokens / float64(max(1, q.running+q.queue.Len()))
	return q.completionsNeeded(j)*meanDecode/speed + q.queue.WaitSeconds(j.Team, j.Weight, j.Priority, speed)
}

// completionsNeeded returns how many running requests must end before the job may start.
// Jobs that are queued before it are not counted.
func (q *TargetQueue) completionsNeeded(j *Job) float64 {
	if q.queue.TeamCount() < 2 || q.queue.IsUnderserved(j.Team, j.Weight) {
		return 1
	}
	free := q.slots - q.running
	return float64(max(1, q.slots/slotsPerReserved+1-free))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Offer queues a job or rejects it, and returns the expected wait for its first token. The
// decision is immediate and final.
func (q *TargetQueue) Offer(now time.Duration, j *Job, bounds AdmissionBounds) (Admission, time.Duration) {
	wait := q.ExpectedWait(j)
	if q.isIdle() {
		bounds.MaxWait = 0 // no other target is better, and the speed estimate may be wrong
	}
	switch {
	case bounds.MaxWait > 0 && wait > bounds.MaxWait:
		return RejectedWait, wait
	case bounds.TimeLeft > 0 && !q.isIdle() && wait+q.runTime(j) > bounds.TimeLeft:
		return RejectedDeadline, wait
	case q.queue.Len() >= q.maxQueued:
		return RejectedFull, wait
	}
	j.TokenCost, j.Value = j.Cost.DecodeEquivalent(), j
	if bounds.TimeLeft > 0 {
		j.deadline = now + bounds.TimeLeft
	}
	q.queue.Push(now, &j.FairItem)
	q.addWork(j)
	return Admitted, wait
}

// addWork adds a job to the counts of outstanding work.
func (q *TargetQueue) addWork(j *Job) {
	w := q.workByEntry[j.Peer]
	if w == nil {
		w = new(Work)
		q.workByEntry[j.Peer] = w
	}
	w.Requests++
	w.Prompt += j.Cost.Prompt
	w.Decode += j.Cost.Decode
	j.work, j.remainingDecode = w, j.Cost.Decode
	q.promptTokens += j.Cost.Prompt
	q.decodeTokens += j.Cost.Decode
}

// removeWork removes what remains of a job from the counts of outstanding work.
func (q *TargetQueue) removeWork(j *Job) {
	q.removePromptWork(j)
	j.work.Requests--
	q.removeDecodeWork(j, j.remainingDecode)
	if j.work.Requests == 0 {
		delete(q.workByEntry, j.Peer) // so that rounding errors don't accumulate
	}
	if len(q.workByEntry) == 0 {
		q.promptTokens, q.decodeTokens = 0, 0
	}
}

func (q *TargetQueue) removePromptWork(j *Job) {
	if j.prefilled {
		return
	}
	j.prefilled = true
	q.promptTokens -= j.Cost.Prompt
	j.work.Prompt -= j.Cost.Prompt
}

func (q *TargetQueue) removeDecodeWork(j *Job, n float64) {
	n = min(n, j.remainingDecode)
	j.remainingDecode -= n
	q.decodeTokens -= n
	j.work.Decode -= n
}

// isIdle reports whether the target has no work. An idle target accepts every request.
// If its speed estimate is wrong, as after a stall, refusing requests because of the
// estimate would leave the target without the work that corrects the estimate, and the
// target would refuse for ever.
func (q *TargetQueue) isIdle() bool { return q.running == 0 && q.queue.Len() == 0 }

// runTime estimates how long the decode of a job takes in a full engine; 0: unknown.
func (q *TargetQueue) runTime(j *Job) time.Duration {
	perSlot := q.speed.TokensPerSec(1)
	if perSlot == 0 {
		return 0
	}
	return seconds(j.Cost.Decode / perSlot)
}

// Next removes and returns the next job, nil if none may start now. The caller must not
// start a job that is Expired: its deadline can no longer be met, and running it would
// make other jobs miss theirs.
func (q *TargetQueue) Next(now time.Duration) *Job {
	if !q.canStart() {
		return nil
	}
	it := q.queue.Pop(now)
	if it == nil {
		return nil
	}
	j := it.Value.(*Job)
	if j.deadline > 0 && q.running > 0 && now+q.runTime(j) > j.deadline {
		j.Expired = true
		q.queue.Charge(j.Team, j.Weight, -j.TokenCost)
		q.removeWork(j)
		return j
	}
	q.recordRunning(now)
	q.running++
	q.enginePromptTokens += j.Cost.Prompt
	j.startedAt, j.promptTokensAhead = now, q.enginePromptTokens
	q.prefilling = append(q.prefilling, j)
	if q.started++; q.started%startsPerEviction == 0 {
		q.queue.EvictIdleTeams()
	}
	return j
}

// Some slots and some prefill capacity are reserved for teams that have received less than
// their share. Requests in the engine can't be reordered, so without the reserve a small
// team would wait until a request of a large team ends, and behind all prompts in the
// engine.
const (
	slotsPerReserved    = 8     // one slot in this many is reserved
	promptWindowSeconds = 0.015 // prefill time of the prompts in the engine from which only underserved teams start jobs
	minPromptTokens     = 1024  // prompt tokens in the engine that never hold back a team
)

// canStart reports whether the engine has room for the next queued job.
func (q *TargetQueue) canStart() bool {
	free := q.slots - q.running
	if free <= 0 {
		return false
	}
	if q.queue.TeamCount() < 2 || q.queue.HeadIsUnderserved() {
		return true
	}
	_, perSec := q.speed.Prefill()
	return free > q.slots/slotsPerReserved && q.enginePromptTokens < max(minPromptTokens, promptWindowSeconds*perSec)
}

// startsPerEviction is the number of job starts between two evictions of idle teams.
const startsPerEviction = 1024

// Remove removes a queued job. It returns false if the job is not queued.
func (q *TargetQueue) Remove(j *Job) bool {
	if !q.queue.Remove(&j.FairItem) {
		return false
	}
	q.removeWork(j)
	return true
}

// RecordTokens records the n tokens that a running job has generated since the last call.
// streamed reports whether the answer is streamed: only then does the arrival of the first
// token measure the prefill speed.
func (q *TargetQueue) RecordTokens(now time.Duration, j *Job, n float64, streamed bool) {
	if !j.prefilled {
		if streamed {
			q.speed.RecordFirstToken(j.promptTokensAhead, now-j.startedAt)
		}
		q.markPrefilled(j)
	}
	j.generatedTokens += n
	q.unrecordedTokens += n
	q.removeDecodeWork(j, n)
}

// markPrefilled records that the prompt of a job has been computed, and with it the prompts
// of all jobs that started earlier: engines compute prompts in start order, and a job
// whose answer is not streamed shows no progress until its end.
func (q *TargetQueue) markPrefilled(j *Job) {
	for i, other := range q.prefilling {
		if other != j {
			continue
		}
		for _, earlier := range q.prefilling[:i+1] {
			q.enginePromptTokens -= earlier.Cost.Prompt
			q.removePromptWork(earlier)
		}
		q.prefilling = append(q.prefilling[:0], q.prefilling[i+1:]...)
		return
	}
}

// Finish removes a running job. completed reports whether its answer was complete.
func (q *TargetQueue) Finish(now time.Duration, j *Job, completed bool) {
	q.recordRunning(now)
	q.removePrefilling(j)
	q.running--
	if q.running == 0 {
		q.enginePromptTokens = 0
	}
	q.removeWork(j)
	if completed {
		q.speed.RecordAnswer(j.generatedTokens)
	}
	q.queue.Charge(j.Team, j.Weight, j.generatedTokens-j.Cost.Decode)
}

// removePrefilling removes the prompt of a job that ends before its first token.
func (q *TargetQueue) removePrefilling(j *Job) {
	for i, other := range q.prefilling {
		if other == j {
			q.enginePromptTokens -= j.Cost.Prompt
			q.prefilling = append(q.prefilling[:i], q.prefilling[i+1:]...)
			return
		}
	}
}

// recordRunning passes the number of running jobs and the tokens generated since the last
// call to the speed estimator.
func (q *TargetQueue) recordRunning(now time.Duration) {
	q.speed.RecordRunning(now, q.running, q.unrecordedTokens)
	q.unrecordedTokens = 0
}

// LoadReport is the load of a target as reported to one entry.
type LoadReport struct {
	Total, FromReceiver Work // Total is the work of all entries, FromReceiver that of the entry that receives the report
	Queued              int  // requests of Total that are queued
	Slots               int
	FirstTokenBaseSec   float64 // part of the time to a first token that doesn't depend on prompts
	PrefillPerSec       float64
	TokensPerSec        float64
	AnswerTokens        float64 // mean length of answers
}

// LoadReport returns the present load for a report to one entry.
func (q *TargetQueue) LoadReport(entry string) LoadReport {
	base, perSec := q.speed.Prefill()
	report := LoadReport{
		Total:             Work{Requests: float64(q.running + q.queue.Len()), Prompt: q.promptTokens, Decode: q.decodeTokens},
		Queued:            q.queue.Len(),
		Slots:             q.slots,
		FirstTokenBaseSec: base,
		PrefillPerSec:     perSec,
		TokensPerSec:      q.speed.TokensPerSec(q.slots),
		AnswerTokens:      q.speed.AnswerTokens(),
	}
	if w := q.workByEntry[entry]; w != nil {
		report.FromReceiver = *w
	}
	return report
}

// Others returns the work of the entries other than the receiver.
func (report *LoadReport) Others() Work {
	return Work{
		Requests: max(0, report.Total.Requests-report.FromReceiver.Requests),
		Prompt:   max(0, report.Total.Prompt-report.FromReceiver.Prompt),
		Decode:   max(0, report.Total.Decode-report.FromReceiver.Decode),
	}
}
