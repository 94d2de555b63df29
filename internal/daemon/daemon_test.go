package daemon

import (
	"context"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// stuckService is a service whose shutdown waits for something that never happens, whatever the
// state of the context.
type stuckService struct{ release chan struct{} }

func (s stuckService) Shutdown(context.Context) error {
	<-s.release
	return nil
}

// patientService shuts down at the end of the context.
type patientService struct{}

func (patientService) Shutdown(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// A task of a service does not end. The process must exit before the end of the grace period: the
// platform would kill it, and its last log lines would be lost.
func TestStuckServiceExitsWithinGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := stuckService{release: make(chan struct{})}
		defer close(s.release)
		start := time.Now()
		g.Expect(shutDown(s, 8*time.Second, make(chan os.Signal))).To(Equal(ExitFail))
		g.Expect(time.Since(start)).To(BeNumerically("<", 7900*time.Millisecond))
	})
}

// A service may use its whole time. Its shutdown must not be taken for a stuck one.
func TestServiceMayShutDownUntilEndOfContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		start := time.Now()
		g.Expect(shutDown(patientService{}, 8*time.Second, make(chan os.Signal))).To(Equal(ExitOK))
		g.Expect(time.Since(start)).To(BeNumerically(">", 7500*time.Millisecond))
	})
}

// An operator sends a second signal to end a slow shutdown. It must take effect at once.
func TestSecondSignalEndsGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		signals := make(chan os.Signal, 1)
		signals <- syscall.SIGTERM
		start := time.Now()
		g.Expect(shutDown(patientService{}, 8*time.Second, signals)).To(Equal(ExitOK))
		g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	})
}
