package outcomes

import (
	"fmt"
	"slices"
	"time"

	"github.com/heatherrail/heatherrail/result"
	"github.com/heatherrail/heatherrail/route"
)

// Violation is one violation of a rule.
type Violation struct {
	Rule   string
	Detail string
}

// Rules that the checker verifies.
const (
	RuleAtMostOnce     = "a key ran at most once"
	RuleNotRun         = "not run means that it did not run"
	RuleCompleteAnswer = "a whole answer is what the target produced for this caller"
	RuleDeadline       = "nothing goes on past its deadline"
	RuleTerminates     = "every request ends"
	RuleRest           = "a target that has asked for rest gets no requests"
	RuleCrash          = "a request that crashed three targets reaches no other"
)

// Limits on the calls that a resting target may get. Calls may be on their way when it asks for rest.
const (
	restReactionTime = 500 * time.Millisecond
	maxCallsInRest   = 2
)

// deadlineSlack is the time after the deadline within which a response must have
// reached the caller.
const deadlineSlack = 250 * time.Millisecond

// Check returns all rule violations in a recorded run.
func Check(h *History) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &checker{history: h}
	c.checkAtMostOnce()
	c.checkNotRun()
	c.checkCompleteAnswers()
	c.checkDeadlines()
	c.checkRests()
	c.checkCrashes()
	return c.violations
}

type checker struct {
	history    *History
	violations []Violation
}

func (c *checker) addViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) checkAtMostOnce() {
	runsByKey := make(map[string][]*Execution)
	for _, e := range c.history.Executions {
		if e.Key != "" {
			runsByKey[e.Key] = append(runsByKey[e.Key], e)
		}
	}
	for key, list := range runsByKey {
		if len(list) > 1 {
			c.addViolation(RuleAtMostOnce, "%s ran %d times: %s", key, len(list), describeRuns(list))
		}
	}
}

func describeRuns(list []*Execution) string {
	text := ""
	for _, e := range list {
		text += fmt.Sprintf(" %s@%s(%s)", e.Target, e.At.Format("05.000"), e.ID)
	}
	return text
}

func (c *checker) checkNotRun() {
	runsByID := c.history.executionCounts()
	for _, i := range c.history.Invocations {
		if i.EndedAt.IsZero() || i.Code == result.OK || i.Code.Info().Run != result.RunNot {
			continue
		}
		if runsByID[i.ID] > 0 {
			c.addViolation(RuleNotRun, "%s got %s, which means not run, but it ran", i.ID, i.Code.Info().Name)
		}
	}
}

// checkCompleteAnswers compares each successful answer with the text that the engine
// must generate. For a plain service it compares with the outputs of targets for the
// same key or request.
func (c *checker) checkCompleteAnswers() {
	outputs := make(map[string]bool)
	for _, e := range c.history.Executions {
		outputs[e.Key+"\x00"+e.Output] = true
		outputs[e.ID+"\x00"+e.Output] = true
	}
	for _, i := range c.history.Invocations {
		if i.EndedAt.IsZero() || i.Code != result.OK {
			continue
		}
		switch {
		case i.WantAnswer != "" && i.Answer != i.WantAnswer:
			c.addViolation(RuleCompleteAnswer, "%s got %q, want %q", i.ID, i.Answer, i.WantAnswer)
		case i.WantAnswer == "" && !outputs[i.Key+"\x00"+i.Answer] && !outputs[i.ID+"\x00"+i.Answer]:
			c.addViolation(RuleCompleteAnswer, "%s got %q, which no target produced for it", i.ID, i.Answer)
		}
	}
}

func (c *checker) checkRests() {
	for target, rests := range c.history.Rests {
		for _, r := range rests {
			n := 0
			for _, at := range r.Arrivals {
				if at.Sub(r.From) > restReactionTime {
					n++
				}
			}
			if n > maxCallsInRest {
				c.addViolation(RuleRest, "%s asked for %s of rest and got %d calls in it", target, r.Until.Sub(r.From), n)
			}
		}
	}
}

// crashSpreadTime is the time after the last crash that is allowed within which the request may still
// reach targets.
const crashSpreadTime = time.Second

func (c *checker) checkCrashes() {
	crashing := make(map[string]bool) // ids of the requests that crash targets
	for _, i := range c.history.Invocations {
		if i.CrashBody {
			crashing[i.ID] = true
		}
	}
	var runs []*Execution
	for _, e := range c.history.Executions {
		if crashing[e.ID] {
			runs = append(runs, e)
		}
	}
	slices.SortFunc(runs, func(a, b *Execution) int { return a.At.Compare(b.At) })
	for n, e := range runs {
		if n >= route.MaxCrashes && e.At.Sub(runs[route.MaxCrashes-1].At) > crashSpreadTime {
			c.addViolation(RuleCrash, "%s ran on %s as run %d", e.ID, e.Target, n+1)
		}
	}
}

func (c *checker) checkDeadlines() {
	for _, i := range c.history.Invocations {
		switch {
		case i.EndedAt.IsZero():
			c.addViolation(RuleTerminates, "%s never ended", i.ID)
		case i.EndedAt.After(i.Deadline.Add(deadlineSlack)):
			c.addViolation(RuleDeadline, "%s ended %s late with %s", i.ID, i.EndedAt.Sub(i.Deadline), i.Code.Info().Name)
		}
	}
}
