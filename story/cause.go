package story

import "fmt"

// Cause says in a sentence why a request was refused, failed or late, from its last
// line and what was known about then. It is empty if the request fared well, and
// says so if the lines do not tell.
func (s *Story) Cause() string {
	if len(s.Lines) == 0 {
		return ""
	}
	last := &s.Lines[len(s.Lines)-1]
	switch last.Event {
	case "refused":
		return "refused: " + last.Get("reason") + ": " + last.Get("detail") + s.groupThen(last)
	case "broken off":
		return "broken off: " + last.Get("reason") + ": " + last.Get("detail")
	case "answered":
		return s.lateness(last)
	case "try failed", "placed":
		return "no answer: the entry ended while the request ran at target " + last.Get("target")
	}
	return "not told by the lines"
}

// lateness tells why an answer was late.
func (s *Story) lateness(last *Line) string {
	failed := s.failedTry()
	switch last.Get("late") {
	case "first event":
		first, wait := last.Int("first_ms"), last.Int("wait_ms")
		switch {
		case failed != "":
			return fmt.Sprintf("late first event, %d ms: %s", first, failed)
		case 2*wait >= first:
			return fmt.Sprintf("late first event, %d ms: it waited %d ms for a place%s", first, wait, s.groupThen(last))
		}
		return fmt.Sprintf("late first event, %d ms: the target took %d ms of it%s", first, first-wait, s.groupThen(last))
	case "answer":
		if failed != "" {
			return fmt.Sprintf("late answer, %s ms: %s", last.Get("ms"), failed)
		}
		return fmt.Sprintf("late answer: target %s took %s ms", last.Get("target"), last.Get("ms"))
	case "pause":
		return fmt.Sprintf("a pause of %s ms between events%s%s", last.Get("gap_ms"), because(failed), s.groupThen(last))
	}
	if status := last.Get("status"); status != "" && status[0] != '2' {
		return "the target's own failure, status " + status
	}
	if failed != "" {
		return "answered after a failure: " + failed
	}
	return ""
}

func because(failed string) string {
	if failed == "" {
		return ""
	}
	return ": " + failed
}

// failedTry tells of the first try that failed.
func (s *Story) failedTry() string {
	for i := range s.Lines {
		if l := &s.Lines[i]; l.Event == "try failed" {
			return "try " + l.Get("try") + " failed: " + l.Get("reason") + ": " + l.Get("detail")
		}
	}
	return ""
}

// groupThen tells how the request's group fared while the request was there: its
// longest passes, and whether demand had moved.
func (s *Story) groupThen(last *Line) string {
	if kind := last.Get("kind"); kind != "" && kind != "stream" {
		return "" // plain services have no group
	}
	var worst *Line
	moved := false
	for i := range s.Around {
		l := &s.Around[i]
		switch l.Event {
		case "group load":
			if worst == nil || l.Float("pass_ms") > worst.Float("pass_ms") {
				worst = l
			}
		case "demand moved":
			moved = true
		}
	}
	text := ""
	if worst != nil {
		text = fmt.Sprintf("; passes of the group took %s ms, imbalance %s, %s streams, %s waiting",
			worst.Get("pass_ms"), worst.Get("imbalance"), worst.Get("running"), worst.Get("waiting"))
	} else if placed := s.placed(); placed != nil && last.Event == "answered" {
		text = fmt.Sprintf("; the target's load was %s, imbalance %s, pace %s", placed.Get("load"), placed.Get("imbalance"), placed.Get("pace"))
	}
	if moved {
		text += "; demand had moved and the map did not fit yet"
	}
	return text
}

func (s *Story) placed() *Line {
	for i := range s.Lines {
		if s.Lines[i].Event == "placed" {
			return &s.Lines[i]
		}
	}
	return nil
}
