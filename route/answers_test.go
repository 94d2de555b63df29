package route

import (
	"testing"

	. "github.com/onsi/gomega"
)

// A status that targets also give after they ran a request was passed on as the promise that it did not run.
func TestOnlyAStatementCountsAsNotRun(t *testing.T) {
	for _, c := range []struct {
		status                        int
		notRun, fromOther, repeatable bool
		want                          Verdict
	}{
		{200, false, false, false, VerdictDeliver},
		{200, false, true, false, VerdictDeliver},
		{404, false, false, true, VerdictDeliver},
		{400, true, false, false, VerdictNotRun},
		{500, false, false, false, VerdictDeliver},
		{500, false, false, true, VerdictRepeat},
		{502, false, false, false, VerdictDeliver},
		{504, false, false, true, VerdictRepeat},
		{503, true, false, false, VerdictNotRun},
		{503, false, false, false, VerdictWithhold},
		{503, false, false, true, VerdictRepeat},
		{503, false, true, false, VerdictWithhold},
		{429, true, false, false, VerdictNotRun},
		{429, false, false, false, VerdictWithhold},
		{429, false, false, true, VerdictDeliver},
		{408, false, false, false, VerdictWithhold},
		{408, false, false, true, VerdictDeliver},
		{421, false, true, false, VerdictReplaced},
		{421, true, true, false, VerdictReplaced},
		{421, true, false, false, VerdictNotRun},
		{421, false, false, false, VerdictWithhold},
		{421, false, false, true, VerdictRepeat},
	} {
		NewWithT(t).Expect(JudgeResponse(c.status, c.notRun, c.fromOther, c.repeatable)).To(Equal(c.want), "%+v", c)
	}
}
