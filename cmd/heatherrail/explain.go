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

// teamKeyEnv is the environment variable with an API key of the team that sent the request.
// Entries show the placement decisions for a request to that team alone.
const teamKeyEnv = "HEATHERRAIL_TEAM_KEY"

var errNoDecision = errors.New("no entry has a placement decision for this request; each entry keeps its latest few hundred")

// explain queries the entries of the VM list one after the other, and prints the placement
// decisions of the first entry that has any for the request.
func explain(ctx context.Context, vms outside.VMList, id string) error {
	key := os.Getenv(teamKeyEnv)
	if key == "" {
		return &exitError{exitUsage, fmt.Errorf("set %s to a key of the team that sent the request", teamKeyEnv)}
	}
	list, err := vms.List(ctx)
	if err != nil {
		return fmt.Errorf("list entries: %w", err)
	}
	var queryErrs error
	for _, vm := range list {
		if vm.Role != outside.RoleEntry {
			continue
		}
		decisions, err := queryExplain(ctx, vm.Callers, id, key)
		if err != nil {
			queryErrs = errors.Join(queryErrs, fmt.Errorf("%s: %w", vm.Name, err))
			continue
		}
		if len(decisions) > 0 {
			return writeDecisions(os.Stdout, vm.Name, decisions)
		}
	}
	return errors.Join(errNoDecision, queryErrs)
}

// queryExplain returns the placement decisions of one entry for a request. It returns none if the
// entry has no record of the request.
func queryExplain(ctx context.Context, addr, id, key string) ([]entry.DecisionView, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/explain/"+url.PathEscape(id), nil)
	if err != nil {
		return nil, fmt.Errorf("query entry: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("query entry: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNotFound {
		return nil, fmt.Errorf("unexpected HTTP status %s", resp.Status)
	}
	var body struct {
		Decisions []entry.DecisionView `json:"decisions"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return nil, fmt.Errorf("decode response: %w", err)
	}
	return body.Decisions, nil
}

func writeDecisions(w io.Writer, name string, decisions []entry.DecisionView) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i, d := range decisions {
		fmt.Fprintf(tw, "attempt %d at %s, entry %s, service %s: %s\n", i+1, d.At.Format("15:04:05.000"), name, d.Service, choiceText(d.Chosen))
		fmt.Fprintln(tw, "TARGET\tDATA CENTRE\tSCORE s\tOWN\tOTHERS\tPROMPT AHEAD\tCACHED")
		for _, c := range d.Candidates {
			fmt.Fprintf(tw, "%s\t%s\t%.4f\t%.0f\t%.1f\t%.0f\t%.0f\n", c.Target, c.DataCentre, c.ScoreSeconds, c.OwnRequests, c.OthersRequests, c.PromptTokensAhead, c.CachedTokens)
		}
	}
	if err := tw.Flush(); err != nil {
		return fmt.Errorf("write explanation: %w", err)
	}
	return nil
}

func choiceText(target string) string {
	if target == "" {
		return "no target could take work"
	}
	return "chose " + target
}
