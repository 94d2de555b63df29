package route

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A request was passed on that could not be answered before the end of the process.
func TestStoppingEntryTakesOnlyWhatItCanAnswer(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		grace, left, at, budget time.Duration
		takes                   bool
	}{
		{8 * time.Second, 7600 * time.Millisecond, 0, 60 * time.Second, true},
		{8 * time.Second, 7600 * time.Millisecond, 2799 * time.Millisecond, 8 * time.Second, true},
		{8 * time.Second, 7600 * time.Millisecond, 2800 * time.Millisecond, 8 * time.Second, false},
		{8 * time.Second, 7600 * time.Millisecond, 3050 * time.Millisecond, 8 * time.Second, false},
		{8 * time.Second, 7600 * time.Millisecond, 3400 * time.Millisecond, 4 * time.Second, true},
		{8 * time.Second, 7600 * time.Millisecond, 3401 * time.Millisecond, 4 * time.Second, false},
		{8 * time.Second, 7600 * time.Millisecond, 7 * time.Second, 400 * time.Millisecond, true},
		{8 * time.Second, 7600 * time.Millisecond, 7500 * time.Millisecond, 10 * time.Millisecond, false},
		{2 * time.Second, 1900 * time.Millisecond, 600 * time.Millisecond, 8 * time.Second, true},
		{2 * time.Second, 1900 * time.Millisecond, 700 * time.Millisecond, 8 * time.Second, false},
		{2 * time.Second, 1900 * time.Millisecond, 700 * time.Millisecond, time.Second, true},
		{60 * time.Second, 57 * time.Second, 2800 * time.Millisecond, 60 * time.Second, false},
		{60 * time.Second, 57 * time.Second, 40 * time.Second, 8 * time.Second, true},
		{100 * time.Millisecond, 95 * time.Millisecond, 34 * time.Millisecond, 8 * time.Second, true},
		{100 * time.Millisecond, 95 * time.Millisecond, 35 * time.Millisecond, 10 * time.Millisecond, false},
	} {
		w := NewStopWindow(start, c.grace, c.left)
		now := start.Add(c.at)
		NewWithT(t).Expect(w.Takes(now, now.Add(c.budget))).To(Equal(c.takes), "%+v", c)
	}
}
