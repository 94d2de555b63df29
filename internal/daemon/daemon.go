// Package daemon contains the code that the main functions of the daemons share: parsing
// of the command line, signal handling and exit codes.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"golang.org/x/sys/unix"
)

// Exit codes of the daemons.
const (
	ExitOK       = 0
	ExitFail     = 1
	ExitSettings = 2 // invalid settings or command line
)

// Flags holds the command line flags of a daemon.
type Flags struct {
	Settings string `long:"settings" value-name:"FILE" required:"yes" description:"static settings (INI)"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// Parse parses the command line of a daemon. It exits the process after --help or a usage
// error.
func Parse(about string) Flags {
	var f Flags
	p := flags.NewParser(&f, flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = about
	_, err := p.Parse()
	var fe *flags.Error
	switch {
	case err == nil:
		return f
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Println(err)
		os.Exit(ExitOK)
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitSettings)
	}
	return f
}

// Service is a running daemon.
type Service interface {
	// Shutdown stops the daemon gracefully. If ctx ends first, it aborts the remaining
	// work and returns an error.
	Shutdown(ctx context.Context) error
}

// Wait blocks until SIGTERM or SIGINT and then shuts the service down within grace. A
// second signal ends the grace period at once. Wait returns the exit code, even if Shutdown
// does not return.
func Wait(s Service, grace time.Duration) int {
	return WaitAndReload(s, grace, nil)
}

// WaitAndReload works like Wait and also calls reload at each SIGHUP. If reload is nil,
// SIGHUP ends the process, which is its default action.
func WaitAndReload(s Service, grace time.Duration, reload func()) int {
	if reload != nil {
		reloads := make(chan os.Signal, 1)
		signal.Notify(reloads, syscall.SIGHUP)
		go func() {
			for range reloads {
				reload()
			}
		}()
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return shutDown(s, grace, signals)
}

// Shares of the grace period, at the end of which the platform kills the process.
const (
	shutdownShare = 0.97 // for Shutdown until its context ends
	abortShare    = 0.01 // for Shutdown to return after that; the rest is for the exit of the process
)

// shutDown shuts a service down and returns the exit code. A signal ends the context of the shutdown
// at once. shutDown does not wait for a service that ignores the end of its context, as the process
// would be killed and lose its last log lines.
func shutDown(s Service, grace time.Duration, signals <-chan os.Signal) int {
	share := func(of float64) time.Duration { return time.Duration(of * float64(grace)) }
	ctx, cancel := context.WithTimeout(context.Background(), share(shutdownShare))
	defer cancel()
	result := make(chan error, 1)
	go func() { result <- s.Shutdown(ctx) }()
	var err error
	select {
	case err = <-result:
	case <-signals:
		cancel()
		err = awaitAborted(result, share(abortShare))
	case <-ctx.Done():
		err = awaitAborted(result, share(abortShare))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFail
	}
	return ExitOK
}

var errShutdownStuck = errors.New("the shutdown continues after the end of its context")

// awaitAborted waits for the result of a shutdown whose context has ended.
func awaitAborted(result <-chan error, limit time.Duration) error {
	select {
	case err := <-result:
		return err
	case <-time.After(limit):
		return errShutdownStuck
	}
}

// defaultMaxFiles is the limit on open files if the kernel tells none.
const defaultMaxFiles = 1024

// MaxFiles returns the kernel's limit on the open files of the process.
func MaxFiles() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 {
		return defaultMaxFiles
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// Incarnation returns a number that differs at each start of a process. It uses the
// clock in nanoseconds, because a process can't start twice within one nanosecond.
func Incarnation() uint64 { return uint64(time.Now().UnixNano()) }
