package demo_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/demo"
	"github.com/heatherrail/heatherrail/examples"
)

// startFleet starts the fleet of an example with three entries and waits until it is ready.
func startFleet(t *testing.T) (*demo.Fleet, context.Context) {
	t.Helper()
	g := NewWithT(t)
	files, err := examples.Files(examples.Clarach)
	g.Expect(err).NotTo(HaveOccurred())
	cfg, err := config.Load(files)
	g.Expect(err).NotTo(HaveOccurred())
	f, err := demo.Start(demo.Options{
		Config:       cfg,
		Entries:      3,
		StepTime:     time.Millisecond,
		DirectoryTTL: time.Second,
		Logger:       logr.Discard(),
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	g.Expect(f.WaitReady(ctx)).To(Succeed())
	return f, ctx
}

func TestRunShowsADraftAndExactlyOneLogEntry(t *testing.T) {
	g := NewWithT(t)
	f, ctx := startFleet(t)
	var out strings.Builder
	g.Expect(demo.Run(ctx, f, &out)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("entries written in all: 1"))
}

// The description that --keep prints must list every address and key. Requests to the control
// address in it must change the running system.
func TestDescriptionListsAllAddressesAndControlChangesTheSystem(t *testing.T) {
	g := NewWithT(t)
	f, ctx := startFleet(t)
	var out strings.Builder
	g.Expect(f.Describe().Write(&out)).To(Succeed())
	g.Expect(strings.Count(out.String(), "\n")).To(Equal(1))
	var d demo.Description
	g.Expect(json.Unmarshal([]byte(out.String()), &d)).To(Succeed())
	g.Expect(d.Entries).To(HaveLen(3))
	g.Expect(d.Agents).To(HaveLen(15))
	g.Expect(d.Teams).To(HaveLen(10))
	g.Expect(d.Standins.Targets["logbook-01"].Kind).To(Equal("plain"))

	control := func(path string) int {
		resp, err := http.Post("http://"+d.Standins.Control+path, "", nil)
		g.Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	before := f.Agent("drafter-01")
	g.Expect(control("/agents/drafter-01/restart")).To(Equal(http.StatusOK))
	g.Expect(f.Agent("drafter-01")).NotTo(BeIdenticalTo(before))
	g.Expect(control("/targets/drafter-02/kill")).To(Equal(http.StatusOK))
	g.Expect(control("/log?delay=never")).To(Equal(http.StatusBadRequest))
	g.Expect(control("/targets/none/kill")).To(Equal(http.StatusBadRequest))
	g.Expect(f.WaitReady(ctx)).To(Succeed())
}
