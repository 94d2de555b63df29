package main

import (
	"bytes"
	"fmt"
	"time"

	"github.com/heatherrail/heatherrail/result"
)

const resultsIntro = `# Results

Every outcome of a request has a number. Callers get it in the header ` + "`Heatherrail-Result`" + ` and, for a
refusal, in the JSON error; operators find it in the log as ` + "`code=`" + ` and in the counters
` + "`heatherrail_results_total{reason=\"…\"}` and `heatherrail_retries_total{reason=\"…\"}`" + ` by name. Numbers are
never reused.

**Run** says what is known about execution: ` + "`not-run`" + ` means that the request certainly did not run and may
be sent again; ` + "`may-have-run`" + ` means that the outcome is unknown and the request may have run: look before
you send it again. **Wait** is the least ` + "`Retry-After`" + `; none means that waiting does not help.
`

// resultGroups are the sections of the page, by range of codes.
var resultGroups = []struct {
	first, last result.Code
	title       string
}{
	{0, 199, "The request itself"},
	{200, 299, "Refused for now; it did not run"},
	{300, 399, "Outcome unknown; the request may have run"},
	{400, 499, "Between heatherrail's own processes; callers see them as a cause"},
	{500, 65535, "Others"},
}

func writeResults(b *bytes.Buffer) {
	b.WriteString(resultsIntro)
	for _, g := range resultGroups {
		var rows []result.Info
		for _, info := range result.All() {
			if info.Code >= g.first && info.Code <= g.last {
				rows = append(rows, info)
			}
		}
		if len(rows) == 0 {
			continue
		}
		fmt.Fprintf(b, "\n## %s\n\n| code | name | HTTP | run | wait | meaning | operator |\n|---|---|---|---|---|---|---|\n", g.title)
		for _, r := range rows {
			fmt.Fprintf(b, "| %d | `%s` | %d | %s | %s | %s | %s |\n", r.Code, r.Name, r.Status, r.Run, formatWait(r.RetryAfter), r.Meaning, r.Operator)
		}
	}
}

// formatWait formats a delay. It returns an empty text for zero.
func formatWait(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}
