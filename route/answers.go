package route

// Verdict is what an entry does with the response of a target, by its head.
type Verdict uint8

// Verdicts on responses.
const (
	VerdictDeliver  Verdict = iota // the response is delivered as it is
	VerdictNotRun                  // the target did not run the request
	VerdictReplaced                // another target has the address and did not run the request
	VerdictRepeat                  // the request is sent to another target; if none can take it, the response is delivered
	VerdictWithhold                // the request may have run, but the status would tell the caller that it did not
)

// Statuses that promise a caller that its request did not run and never will.
const (
	statusRequestTimeout  = 408
	statusMisdirected     = 421
	statusTooManyRequests = 429
	statusUnavailable     = 503
)

// PromisesNotRun reports whether callers take a status for the promise that their request did not run.
func PromisesNotRun(status int) bool {
	switch status {
	case statusRequestTimeout, statusMisdirected, statusTooManyRequests, statusUnavailable:
		return true
	}
	return false
}

// JudgeResponse decides on a response by its status and by what it states: notRun, that the target did not
// run the request; fromOther, that it comes from another target than the one that the request was meant
// for. A status alone states nothing: a target may fail with any status after it has run the request.
func JudgeResponse(status int, notRun, fromOther, repeatable bool) Verdict {
	switch {
	case status == statusMisdirected && fromOther:
		return VerdictReplaced
	case notRun:
		return VerdictNotRun
	case PromisesNotRun(status) && !repeatable:
		return VerdictWithhold
	case repeatable && (status/100 == 5 || status == statusMisdirected):
		return VerdictRepeat
	}
	return VerdictDeliver
}
