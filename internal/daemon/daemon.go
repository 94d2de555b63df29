// Package daemon holds what the mains of both daemons share: the command line,
// signals and exit codes.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the daemons.
const (
	ExitOK       = 0
	ExitFail     = 1
	ExitSettings = 2
)

// Flags are the command line of a daemon.
type Flags struct {
	Settings string `long:"settings" value-name:"FILE" required:"yes" description:"static settings (INI)"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// Parse reads the command line; it exits for --help and bad usage.
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

// Service is a started daemon.
type Service interface {
	// Shutdown stops gracefully; when ctx ends it cuts off what still runs and says so.
	Shutdown(ctx context.Context) error
}

// Wait blocks until SIGTERM or SIGINT, then shuts down within grace. A second
// signal ends the grace at once. It returns the exit code.
func Wait(s Service, grace time.Duration) int {
	return WaitAndReload(s, grace, nil)
}

// WaitAndReload is Wait, and calls reload at each SIGHUP; without a function
// SIGHUP ends the process, as is usual.
func WaitAndReload(s Service, grace time.Duration, reload func()) int {
	if reload != nil {
		hangups := make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
		go func() {
			for range hangups {
				reload()
			}
		}()
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	if err := s.Shutdown(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFail
	}
	return ExitOK
}

// Incarnation returns a number that differs at each start of a process. The
// clock's nanoseconds suffice: a process can't start twice within one.
func Incarnation() uint64 { return uint64(time.Now().UnixNano()) }
