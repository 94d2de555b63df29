package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/entry"
	"github.com/heatherrail/heatherrail/outside"
)

type vmList []outside.VM

func (l vmList) List(context.Context) ([]outside.VM, error) { return l, nil }

// The first entry is unreachable, the second has no record of the request and the third has a
// decision. The decision must be printed. Without a team key no entry may be queried.
func TestExplainReturnsTheFirstDecisionThatAnEntryHolds(t *testing.T) {
	g := NewWithT(t)
	queries := 0
	server := func(answer string, status int) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			queries++
			g.Expect(r.URL.Path).To(Equal("/v1/explain/R1"))
			g.Expect(r.Header.Get("Authorization")).To(Equal("Bearer secret"))
			w.WriteHeader(status)
			fmt.Fprint(w, answer)
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	unreachable := httptest.NewServer(http.NotFoundHandler())
	unreachable.Close()
	list := vmList{
		{Name: "entry-1", Role: outside.RoleEntry, Callers: strings.TrimPrefix(unreachable.URL, "http://")},
		{Name: "target-1", Role: outside.RoleTarget},
		{Name: "entry-2", Role: outside.RoleEntry, Callers: server(`{"decisions":[]}`, http.StatusNotFound)},
	}
	t.Setenv(teamKeyEnv, "")
	g.Expect(explain(t.Context(), list, "R1")).NotTo(Succeed())
	g.Expect(queries).To(BeZero())
	t.Setenv(teamKeyEnv, "secret")
	g.Expect(explain(t.Context(), list, "R1")).To(MatchError(errNoDecision))
	withDecision := server(`{"decisions":[{"chosen":"t7","candidates":[{"target":"t7"}]}]}`, http.StatusOK)
	list = append(list, outside.VM{Name: "entry-3", Role: outside.RoleEntry, Callers: withDecision})
	g.Expect(explain(t.Context(), list, "R1")).To(Succeed())
	g.Expect(queries).To(Equal(3))
}

func TestWriteDecisionsNamesTheTargetAndItsScore(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	g.Expect(writeDecisions(&out, "entry-3", []entry.DecisionView{
		{Service: "drafter", Chosen: "t7", Candidates: []entry.CandidateView{{Target: "t7", ScoreSeconds: 0.0125}, {Target: "t9", ScoreSeconds: 0.5}}},
		{Service: "drafter"},
	})).To(Succeed())
	g.Expect(out.String()).To(And(ContainSubstring("chose t7"), ContainSubstring("0.0125"), ContainSubstring("no target could take work")))
}
