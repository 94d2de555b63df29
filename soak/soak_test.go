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
	return soak.Options{Program: program, Seed: seed, For: 12 * time.Second, Entries: 3, Targets: 3, Callers: 12, Out: out}
}

// Real processes under signals, a store that misbehaves and targets that drop
// answers: no request that may run once runs twice, no refused one has run, no
// answer is another's or a part, and after the last fault requests are served.
func TestPromisesHoldUnderFaults(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	r, err := soak.Run(context.Background(), options(buildGateway(t), 1, &out))
	g.Expect(err).NotTo(HaveOccurred(), out.String())
	g.Expect(r.Whole).To(BeNumerically(">", 300))
	t.Log(out.String())
}

// The checker must convict: callers whose record of an answer is spoilt, as if an
// entry had mixed up or cut answers, fail the soak.
func TestTheCheckerConvicts(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	o := options(buildGateway(t), 2, &out)
	o.For = 5 * time.Second
	n := 0
	o.Corrupt = func(r soak.Record) soak.Record {
		if n++; n%50 == 0 {
			r.Body = "of another request"
		}
		return r
	}
	_, err := soak.Run(context.Background(), o)
	g.Expect(err).To(MatchError(soak.ErrBroken), out.String())
}
