package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/heatherrail/heatherrail/control"
	"github.com/heatherrail/heatherrail/wire"
)

type statusCommand struct {
	platformFlags
	Explain string `long:"explain" value-name:"REQUEST-ID" description:"say why a request was placed where it was; needs a team key in HEATHERRAIL_TEAM_KEY"`
	Args    struct {
		View string `positional-arg-name:"maps" description:"maps: expert maps and the last plans of each rank group"`
	} `positional-args:"yes"`
}

const statusMaps = "maps"

var errStatusArgument = errors.New("status takes no argument, or maps")

// writeMaps prints the expert map status that the owner of each group reports.
func writeMaps(w io.Writer, answers []control.Answer) error {
	found := false
	for _, a := range answers {
		if a.Err != nil || a.Status.Maps == "" {
			continue
		}
		found = true
		if _, err := fmt.Fprintf(w, "owner %s\n%s", a.VM.Name, a.Status.Maps); err != nil {
			return fmt.Errorf("write status: %w", err)
		}
	}
	if !found {
		fmt.Fprintln(w, "no plan yet: an owner makes its first one after plan-every")
	}
	return nil
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	if c.Args.View != "" && c.Args.View != statusMaps {
		return &exitError{exitUsage, errStatusArgument}
	}
	_, client, err := c.open()
	if err != nil {
		return &exitError{exitUsage, err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	if c.Explain != "" {
		return explain(ctx, client.VMs, c.Explain)
	}
	answers, err := client.Status(ctx, "", true)
	if err != nil {
		return err
	}
	if c.Args.View == statusMaps {
		return writeMaps(os.Stdout, answers)
	}
	return writeStatus(os.Stdout, answers)
}

// writeStatus prints the state of each process. It then prints the leases, targets and
// summaries that the entry with the newest configuration version reports.
func writeStatus(w io.Writer, answers []control.Answer) error {
	newest := newestStatus(answers)
	version := uint64(0)
	if newest != nil {
		version = newest.Version
		fmt.Fprintf(w, "in force: version %d, change %s, digest %016x\n\n", version, newest.Change, newest.Digest)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "PROCESS\tROLE\tDATA CENTRE\tVERSION\tLOG\tIN FLIGHT\tSTATE")
	for _, a := range answers {
		fmt.Fprintln(tw, processRow(&a, version))
	}
	if newest != nil {
		writeLeases(tw, newest.Leases)
		writeTargets(tw, newest.Targets)
		writeSummaries(tw, newest.Summaries)
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write status: %w", err)
	}
	return nil
}

// newestStatus returns the status of the entry with the newest configuration version, nil if
// no entry answered.
func newestStatus(answers []control.Answer) *wire.StatusReply {
	var best *wire.StatusReply
	for _, a := range answers {
		if a.Err == nil && a.Status.Role == wire.RoleEntry && (best == nil || a.Status.Version > best.Version) {
			best = a.Status
		}
	}
	return best
}

// processRow returns the table row of one process, with tabs between cells. version is the
// newest configuration version in force.
func processRow(a *control.Answer, version uint64) string {
	if a.Err != nil {
		return fmt.Sprintf("%s\t%s\t%s\t-\t-\t-\tno answer: %v", a.VM.Name, a.VM.Role, a.VM.DataCentre, a.Err)
	}
	s := a.Status
	var state []string
	if s.Version < version {
		state = append(state, fmt.Sprintf("behind by %d", version-s.Version))
	}
	if s.Leaving {
		state = append(state, "leaving")
	}
	if s.Stopped != "" {
		state = append(state, s.Stopped)
	}
	if len(s.Down) > 0 {
		state = append(state, "misses "+strings.Join(s.Down, " "))
	}
	age := "-"
	if s.Role == wire.RoleEntry {
		age = fmt.Sprintf("%d ms", s.LogAgeMs)
	}
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%s\t%d\t%s", s.Name, s.Role, s.DataCentre, s.Version, age, s.InFlight, strings.Join(state, "; "))
}

func writeLeases(w io.Writer, leases []wire.LeaseInfo) {
	if len(leases) == 0 {
		return
	}
	fmt.Fprintln(w, "\nRESOURCE\tHOLDER\tFENCE")
	for _, l := range leases {
		fmt.Fprintf(w, "%s\t%s\t%d\n", l.Resource, cmp.Or(l.Holder, "(released)"), l.Fence)
	}
}

func writeTargets(w io.Writer, targets []wire.Load) {
	slices.SortFunc(targets, func(a, b wire.Load) int { return cmp.Compare(a.Target, b.Target) })
	fmt.Fprintln(w, "\nTARGET\tRUNNING\tQUEUED\tENGINE\tSTATE")
	for _, t := range targets {
		engine, state := "down", "live"
		if t.EngineUp {
			engine = "up"
		}
		if t.Leaving {
			state = "leaving"
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\n", t.Target, t.Total.Requests-t.Queued, t.Queued, engine, state)
	}
}

func writeSummaries(w io.Writer, summaries []wire.Summary) {
	if len(summaries) == 0 {
		return
	}
	slices.SortFunc(summaries, func(a, b wire.Summary) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	fmt.Fprintln(w, "\nOTHER DATA CENTRE\tREGION\tENTRIES\tDOWN\tOLDEST\tNEWEST")
	for _, s := range summaries {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", s.DataCentre, s.Region, s.Entries, s.Down, s.Oldest, s.Newest)
	}
}
