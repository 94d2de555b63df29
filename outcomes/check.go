package outcomes

import (
	"fmt"
	"time"

	"github.com/heatherrail/heatherrail/result"
)

// Violation is one broken promise.
type Violation struct {
	Rule   string
	Detail string
}

// Rules of the checker.
const (
	RuleAtMostOnce     = "a key ran at most once"
	RuleNotRun         = "not run means that it did not run"
	RuleCompleteAnswer = "a whole answer is what the target produced for this caller"
	RuleDeadline       = "nothing goes on past its deadline"
	RuleTerminates     = "every request ends"
)

// deadlineSlack is what an answer may take past the deadline to reach the caller.
const deadlineSlack = 250 * time.Millisecond

// Check returns every promise that the recorded run broke.
func Check(h *History) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &checker{history: h}
	c.once()
	c.notRun()
	c.whole()
	c.deadlines()
	return c.found
}

type checker struct {
	history *History
	found   []Violation
}

func (c *checker) fail(rule, format string, args ...any) {
	c.found = append(c.found, Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) once() {
	ran := make(map[string][]*Execution)
	for _, e := range c.history.Executions {
		if e.Key != "" {
			ran[e.Key] = append(ran[e.Key], e)
		}
	}
	for key, list := range ran {
		if len(list) > 1 {
			c.fail(RuleAtMostOnce, "%s ran %d times: %s", key, len(list), places(list))
		}
	}
}

func places(list []*Execution) string {
	text := ""
	for _, e := range list {
		text += fmt.Sprintf(" %s@%s(%s)", e.Target, e.At.Format("05.000"), e.ID)
	}
	return text
}

func (c *checker) notRun() {
	ran := c.history.executionsOf()
	for _, i := range c.history.Invocations {
		if i.EndedAt.IsZero() || i.Code == result.OK || i.Code.Info().Run != result.RunNot {
			continue
		}
		if ran[i.ID] > 0 {
			c.fail(RuleNotRun, "%s was told %s, and ran", i.ID, i.Code.Info().Name)
		}
	}
}

// whole compares with the text that an engine must generate, or, for a plain
// service, with what some target produced for this key or request.
func (c *checker) whole() {
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
			c.fail(RuleCompleteAnswer, "%s got %q, want %q", i.ID, i.Answer, i.WantAnswer)
		case i.WantAnswer == "" && !outputs[i.Key+"\x00"+i.Answer] && !outputs[i.ID+"\x00"+i.Answer]:
			c.fail(RuleCompleteAnswer, "%s got %q, which no target produced for it", i.ID, i.Answer)
		}
	}
}

func (c *checker) deadlines() {
	for _, i := range c.history.Invocations {
		switch {
		case i.EndedAt.IsZero():
			c.fail(RuleTerminates, "%s never ended", i.ID)
		case i.EndedAt.After(i.Deadline.Add(deadlineSlack)):
			c.fail(RuleDeadline, "%s ended %s late with %s", i.ID, i.EndedAt.Sub(i.Deadline), i.Code.Info().Name)
		}
	}
}
