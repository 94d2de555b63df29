package entry_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/demo"
	"github.com/heatherrail/heatherrail/entry"
	"github.com/heatherrail/heatherrail/result"
)

const rivalKey = "demo-key-of-the-rival"

// placementConfig has three engines and two teams; the rival team may send one request a second.
var placementConfig = map[string]string{"place.ini": `
[fleet drafter]
kind = engine
[target drafter-01]
fleet = drafter
data-centre = hall-a
[target drafter-02]
fleet = drafter
data-centre = hall-b
[target drafter-03]
fleet = drafter
data-centre = hall-c
[service drafter]
fleet = drafter
model = draft
[team kitchens]
key-hash = ` + config.HashKey(testKey) + `
services = drafter
[team rival]
key-hash = ` + config.HashKey(rivalKey) + `
services = drafter
requests-per-second = 1
`}

// startPlacementFleet starts a fleet with placementConfig and returns it with the address of its entry.
func startPlacementFleet(t *testing.T) (*demo.Fleet, string) {
	t.Helper()
	g := NewWithT(t)
	cfg, err := config.Load(placementConfig)
	g.Expect(err).NotTo(HaveOccurred())
	f, err := demo.Start(demo.Options{Config: cfg, Entries: 1, StepTime: time.Millisecond, DirectoryTTL: time.Second, Logger: logr.Discard()})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	g.Expect(f.WaitReady(ctx)).To(Succeed())
	return f, f.Entries[0].Addr()
}

// do sends a request and reads the whole answer.
func do(t *testing.T, req *http.Request) (*http.Response, []byte) {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, body
}

// A team reads the placement decisions of its request. Another team that knows the id of the
// request must not get them.
func TestExplainAnswersOnlyTheOwningTeam(t *testing.T) {
	g := NewWithT(t)
	_, addr := startPlacementFleet(t)
	resp, _ := do(t, newRequest(t, "POST", addr, "/v1/completions", draft("check the fridge", 3)))
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	id := resp.Header.Get(entry.HeaderRequestID)
	resp, body := do(t, newRequest(t, "GET", addr, "/v1/explain/"+id, ""))
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	var got struct {
		Decisions []entry.DecisionView `json:"decisions"`
	}
	g.Expect(json.Unmarshal(body, &got)).To(Succeed())
	g.Expect(got.Decisions).NotTo(BeEmpty())
	g.Expect(got.Decisions[0].Chosen).To(HavePrefix("drafter-0"))
	g.Expect(len(got.Decisions[0].Candidates)).To(BeNumerically(">", 1))
	resp, body = do(t, newRequest(t, "GET", addr, "/v1/explain/"+id, "", "Authorization", "Bearer "+rivalKey))
	g.Expect(resp.StatusCode).To(Equal(http.StatusNotFound))
	g.Expect(string(body)).NotTo(ContainSubstring("drafter-0"))
}

// A team sends more than its limit. It must be rejected at once with "not run" and a Retry-After
// header, and the other team must be served as before.
func TestTeamLimitRejectsWithRetryAfter(t *testing.T) {
	g := NewWithT(t)
	f, addr := startPlacementFleet(t)
	rejected := 0
	for range 20 {
		resp, _ := do(t, newRequest(t, "POST", addr, "/v1/completions", draft("rival", 1), "Authorization", "Bearer "+rivalKey))
		if resp.StatusCode == http.StatusTooManyRequests {
			rejected++
			g.Expect(resp.Header.Get(entry.HeaderRun)).To(Equal(result.RunNot.String()))
			g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		}
	}
	g.Expect(rejected).To(BeNumerically(">", 0))
	runs := 0
	for _, e := range f.Engines {
		runs += len(e.Runs())
	}
	g.Expect(runs).To(Equal(20-rejected), "rejected requests did not run")
	resp, _ := do(t, newRequest(t, "POST", addr, "/v1/completions", draft("kitchen", 1)))
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}
