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

// One entry is gone, one does not know the request, the third does: its answer
// counts. Without the team's key nobody is asked.
func TestExplainAsksEntryAfterEntry(t *testing.T) {
	g := NewWithT(t)
	asked := 0
	server := func(answer string, status int) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked++
			g.Expect(r.URL.Path).To(Equal("/v1/explain/R1"))
			g.Expect(r.Header.Get("Authorization")).To(Equal("Bearer secret"))
			w.WriteHeader(status)
			fmt.Fprint(w, answer)
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	list := vmList{
		{Name: "entry-1", Role: outside.RoleEntry, Callers: strings.TrimPrefix(gone.URL, "http://")},
		{Name: "target-1", Role: outside.RoleTarget},
		{Name: "entry-2", Role: outside.RoleEntry, Callers: server(`{"decisions":[]}`, http.StatusNotFound)},
	}
	t.Setenv(teamKeyVariable, "")
	g.Expect(explain(t.Context(), list, "R1")).NotTo(Succeed())
	g.Expect(asked).To(BeZero())
	t.Setenv(teamKeyVariable, "secret")
	g.Expect(explain(t.Context(), list, "R1")).To(MatchError(errNoDecision))
	known := server(`{"decisions":[{"chosen":"t7","candidates":[{"target":"t7"}]}]}`, http.StatusOK)
	list = append(list, outside.VM{Name: "entry-3", Role: outside.RoleEntry, Callers: known})
	g.Expect(explain(t.Context(), list, "R1")).To(Succeed())
	g.Expect(asked).To(Equal(3))
}

func TestWriteDecisions(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	g.Expect(writeDecisions(&out, "entry-3", []entry.DecisionView{
		{Service: "drafter", Chosen: "t7", Candidates: []entry.CandidateView{{Target: "t7", Score: 0.0125}, {Target: "t9", Score: 0.5}}},
		{Service: "drafter"},
	})).To(Succeed())
	g.Expect(out.String()).To(And(ContainSubstring("chose t7"), ContainSubstring("0.0125"), ContainSubstring("no target could take work")))
}
