package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"

	"github.com/heatherrail/heatherrail/entry"
	"github.com/heatherrail/heatherrail/outside"
)

// teamKeyVariable holds the key of the team that owns the request: only that team
// may read why it went where it did.
const teamKeyVariable = "HEATHERRAIL_TEAM_KEY"

var errNoDecision = errors.New("no entry remembers a decision about this request; each keeps its latest few hundred")

// explain asks the entries of the VM list, one after the other, why a request was
// placed where it was.
func explain(ctx context.Context, vms outside.VMList, id string) error {
	key := os.Getenv(teamKeyVariable)
	if key == "" {
		return &exitError{exitUsage, fmt.Errorf("set %s to a key of the team that sent the request", teamKeyVariable)}
	}
	list, err := vms.List(ctx)
	if err != nil {
		return fmt.Errorf("list entries: %w", err)
	}
	var failed error
	for _, vm := range list {
		if vm.Role != outside.RoleEntry {
			continue
		}
		decisions, err := askExplain(ctx, vm.Callers, id, key)
		if err != nil {
			failed = errors.Join(failed, fmt.Errorf("%s: %w", vm.Name, err))
			continue
		}
		if len(decisions) > 0 {
			return writeDecisions(os.Stdout, vm.Name, decisions)
		}
	}
	return errors.Join(errNoDecision, failed)
}

func askExplain(ctx context.Context, addr, id, key string) ([]entry.DecisionView, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/explain/"+url.PathEscape(id), nil)
	if err != nil {
		return nil, fmt.Errorf("ask: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNotFound {
		return nil, fmt.Errorf("answered %s", resp.Status)
	}
	var body struct {
		Decisions []entry.DecisionView `json:"decisions"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	return body.Decisions, nil
}

func writeDecisions(w io.Writer, name string, decisions []entry.DecisionView) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i, d := range decisions {
		fmt.Fprintf(tw, "try %d at %s, entry %s, service %s: %s\n", i+1, d.At.Format("15:04:05.000"), name, d.Service, chosenText(d.Chosen))
		fmt.Fprintln(tw, "TARGET\tDATA CENTRE\tSCORE s\tOWN\tOTHERS\tPROMPT AHEAD\tCACHED")
		for _, c := range d.Candidates {
			fmt.Fprintf(tw, "%s\t%s\t%.4f\t%.0f\t%.1f\t%.0f\t%.0f\n", c.Target, c.DataCentre, c.Score, c.Own, c.Others, c.Prompt, c.Cached)
		}
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write explanation: %w", err)
	}
	return nil
}

func chosenText(target string) string {
	if target == "" {
		return "no target could take work"
	}
	return "chose " + target
}
