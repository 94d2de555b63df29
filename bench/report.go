// Package bench contains the benchmarks of heatherrail. Each benchmark compares its subjects
// within one run and reports rows of named figures.
package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
)

// Report holds the results of one benchmark run.
type Report struct {
	Bench   string  `json:"bench"`
	Seed    uint64  `json:"seed"`
	Machine Machine `json:"machine"`
	Rows    []Row   `json:"rows"`
}

// Machine describes the machine that a report was made on.
type Machine struct {
	OS    string `json:"os"`
	Arch  string `json:"arch"`
	Cores int    `json:"cores"`
	Go    string `json:"go"`
}

// Row is one figure. Case distinguishes rows of the same name, for example by the number of
// streams or the policy.
type Row struct {
	Case  string  `json:"case"`
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
}

// NewReport returns an empty report for the current machine.
func NewReport(name string, seed uint64) *Report {
	return &Report{
		Bench: name,
		Seed:  seed,
		Machine: Machine{
			OS:    runtime.GOOS,
			Arch:  runtime.GOARCH,
			Cores: runtime.NumCPU(),
			Go:    runtime.Version(),
		},
	}
}

// Add appends a row.
func (r *Report) Add(caseName, name, unit string, value float64) {
	r.Rows = append(r.Rows, Row{Case: caseName, Name: name, Unit: unit, Value: value})
}

// Output formats of a report.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Write writes the report to w: as JSON if format is FormatJSON, otherwise as a table.
func (r *Report) Write(w io.Writer, format string) error {
	if format == FormatJSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		if err := enc.Encode(r); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
		return nil
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range r.Rows {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%.6g\t%s\n", r.Bench, row.Case, row.Name, row.Value, row.Unit)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
