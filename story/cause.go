package story

import "fmt"

// Cause states in one sentence why the request was refused, failed or late. It derives
// the cause from the log lines of the request and from its context. It returns an empty
// text for a request that was answered on time without a failed attempt, and a text that
// starts with "unknown" if the log lines do not show the cause.
func (s *Story) Cause() string {
	if len(s.Lines) == 0 {
		return ""
	}
	last := &s.Lines[len(s.Lines)-1]
	switch last.Event {
	case "refused":
		return "refused: " + last.Get("reason") + ": " + last.Get("detail") + s.groupContext(last)
	case "broken off":
		return "broken off: " + last.Get("reason") + ": " + last.Get("detail")
	case "answered":
		return s.lateCause(last)
	case "try failed", "placed":
		return "no answer: the entry stopped while the request ran at target " + last.Get("target")
	}
	return "unknown: the log lines do not show it"
}

// lateCause states why a response was late, or which attempt failed before the response.
// The text is empty if the response was on time and no attempt failed.
func (s *Story) lateCause(last *Line) string {
	failed := s.firstFailedAttempt()
	switch last.Get("late") {
	case "first event":
		first, wait := last.Int("first_ms"), last.Int("wait_ms")
		switch {
		case failed != "":
			return fmt.Sprintf("late first event, %d ms: %s", first, failed)
		case 2*wait >= first:
			return fmt.Sprintf("late first event, %d ms: it waited %d ms for a place%s", first, wait, s.groupContext(last))
		}
		return fmt.Sprintf("late first event, %d ms: the target took %d ms of it%s", first, first-wait, s.groupContext(last))
	case "answer":
		if failed != "" {
			return fmt.Sprintf("late answer, %s ms: %s", last.Get("ms"), failed)
		}
		return fmt.Sprintf("late answer: target %s took %s ms", last.Get("target"), last.Get("ms"))
	case "pause":
		return fmt.Sprintf("a pause of %s ms between events%s%s", last.Get("gap_ms"), causeSuffix(failed), s.groupContext(last))
	}
	if status := last.Get("status"); status != "" && status[0] != '2' {
		return "the target's own failure, status " + status
	}
	if failed != "" {
		return "answered after a failure: " + failed
	}
	return ""
}

// causeSuffix formats the description of a failed attempt for the end of a sentence. It
// returns an empty text for an empty description.
func causeSuffix(failed string) string {
	if failed == "" {
		return ""
	}
	return ": " + failed
}

// firstFailedAttempt describes the first failed attempt; empty if there is none.
func (s *Story) firstFailedAttempt() string {
	for i := range s.Lines {
		if l := &s.Lines[i]; l.Event == "try failed" {
			return "try " + l.Get("try") + " failed: " + l.Get("reason") + ": " + l.Get("detail")
		}
	}
	return ""
}

// groupContext describes the load on the request's group of engines during the request:
// the longest pass of the group, or the target's load at placement if the log has no pass,
// and whether demand had shifted between experts.
func (s *Story) groupContext(last *Line) string {
	if kind := last.Get("kind"); kind != "" && kind != "stream" {
		return "" // plain services have no group
	}
	var longest *Line
	demandMoved := false
	for i := range s.Context {
		l := &s.Context[i]
		switch l.Event {
		case "group load", "longest pass":
			if longest == nil || l.Float("pass_ms") > longest.Float("pass_ms") {
				longest = l
			}
		case "demand moved":
			demandMoved = true
		}
	}
	text := ""
	if longest != nil {
		text = fmt.Sprintf("; passes of the group took %s ms, imbalance %s, %s streams, %s waiting",
			longest.Get("pass_ms"), longest.Get("imbalance"), longest.Get("running"), longest.Get("waiting"))
	} else if placement := s.firstPlacement(); placement != nil && last.Event == "answered" {
		text = fmt.Sprintf("; the target's load was %s, imbalance %s, pace %s", placement.Get("load"), placement.Get("imbalance"), placement.Get("pace"))
	}
	if demandMoved {
		text += "; demand had moved and the expert map was not yet adjusted"
	}
	return text
}

// firstPlacement returns the log line of the request's first placement, or nil if there
// is none.
func (s *Story) firstPlacement() *Line {
	for i := range s.Lines {
		if s.Lines[i].Event == "placed" {
			return &s.Lines[i]
		}
	}
	return nil
}
