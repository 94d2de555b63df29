package soak_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/heatherrail/heatherrail/soak"
)

func buildGateway(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "heatherrail-gateway")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/heatherrail-gateway").CombinedOutput()
	NewWithT(t).Expect(err).NotTo(HaveOccurred(), string(out))
	return program
}

func options(program string, seed uint64, out *strings.Builder) soak.Options {
	return soak.Options{Program: program, Seed: seed, Duration: 16 * time.Second, Entries: 3, Targets: 3, Callers: 12, Out: out}
}

// Entries are killed, the store fails and targets drop responses. No non-idempotent request may run
// twice, no refused request may run, responses must be correct and complete, and service must recover.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	r, err := soak.Run(context.Background(), options(buildGateway(t), 1, &out))
	g.Expect(err).NotTo(HaveOccurred(), out.String())
	g.Expect(r.Succeeded).To(BeNumerically(">", 300))
	t.Log(out.String())
}

// Every 50th record has the body of another request, as if an entry had mixed up
// responses. The checker must report the violation.
func TestCheckerDetectsWrongBodies(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	o := options(buildGateway(t), 2, &out)
	o.Duration = 5 * time.Second
	n := 0
	o.Corrupt = func(r soak.Record) soak.Record {
		if n++; n%50 == 0 {
			r.Body = "body of another request"
		}
		return r
	}
	_, err := soak.Run(context.Background(), o)
	g.Expect(err).To(MatchError(soak.ErrViolation), out.String())
}
