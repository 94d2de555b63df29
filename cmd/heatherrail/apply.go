package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/heatherrail/heatherrail/config"
	"github.com/heatherrail/heatherrail/control"
	"github.com/heatherrail/heatherrail/result"
)

// Exit codes of apply in addition to the common ones.
const (
	exitRefused    = 3 // the change was refused: another change was accepted first
	exitUnknown    = 4 // the outcome of the change is unknown; --resume settles it
	exitNotInForce = 5 // the change was accepted, but is not yet in force at all entries
)

type applyCommand struct {
	platformFlags
	Base       int64         `long:"base" value-name:"VERSION" default:"-1" description:"version that the files build on; default: the one in force"`
	Wait       time.Duration `long:"wait" default:"30s" description:"how long to wait for an answer and until the version is in force"`
	AllowEmpty bool          `long:"allow-empty" description:"let a service in use lose its last target"`
	Resume     string        `long:"resume" value-name:"ID" description:"settle a change whose outcome is unknown"`
	Args       struct {
		Dir string `positional-arg-name:"DIR" description:"directory of .ini files; none with --resume"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	if (c.Args.Dir == "") == (c.Resume == "") {
		return &exitError{exitUsage, errors.New("give either DIR or --resume ID")}
	}
	op, client, err := c.open()
	if err != nil {
		return &exitError{exitUsage, err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait)
	defer cancel()
	var out config.Outcome
	id := c.Resume
	if c.Resume != "" {
		if _, err := ulid.ParseStrict(c.Resume); err != nil {
			return &exitError{exitUsage, fmt.Errorf("--resume %s: not a valid change id: %w", c.Resume, err)}
		}
		out, err = op.Resume(ctx, c.Resume)
	} else {
		id = control.NewChangeID()
		out, err = c.apply(ctx, op, id)
	}
	if err != nil {
		return outcomeError(err)
	}
	if out.Version == 0 {
		return nil // no change was sent, because the files equal the version in force
	}
	fmt.Printf("accepted: version %d\n", out.Version)
	return c.waitInForce(ctx, client, id, out.Version)
}

// outcomeError wraps err with an exit code, so that scripts can distinguish a refused change, a change
// whose outcome is unknown, and any other failure.
func outcomeError(err error) error {
	switch {
	case result.From(err).Code == result.ChangeRefused:
		return &exitError{exitRefused, fmt.Errorf("refused: %w", err)}
	case result.From(err).Code == result.ChangeUnknown:
		return &exitError{exitUnknown, fmt.Errorf("unknown: %w\nsettle it with: heatherrail apply --resume ID", err)}
	default:
		return &exitError{exitFail, err}
	}
}

// apply sends the configuration in c.Args.Dir as change id to the base version. Without --base,
// apply sends nothing if the configuration equals the version in force. The outcome then has
// version 0.
func (c *applyCommand) apply(ctx context.Context, op *control.Operator, id string) (config.Outcome, error) {
	cfg, err := config.LoadDir(c.Args.Dir)
	if err != nil {
		return config.Outcome{}, err
	}
	if err := op.Sync(ctx); err != nil {
		return config.Outcome{}, fmt.Errorf("nothing was sent: %w", err)
	}
	var old *config.Config
	base := uint64(0)
	if s := op.Current(); s != nil {
		old, base = s.Config, s.Version
	}
	if c.Base >= 0 {
		base = uint64(c.Base)
	}
	if affected := config.ServicesLosingTargets(old, cfg); len(affected) > 0 && !c.AllowEmpty {
		return config.Outcome{}, fmt.Errorf("nothing was sent: no target would be left for %s; --allow-empty applies it all the same", strings.Join(affected, ", "))
	}
	if len(config.Diff(old, cfg)) == 0 && c.Base < 0 {
		fmt.Printf("no difference to version %d, nothing was sent\n", base)
		return config.Outcome{}, nil
	}
	fmt.Printf("change %s on version %d\n", id, base)
	return op.Apply(ctx, id, base, cfg)
}

// waitInForce waits until a change is in force at all entries. If ctx ends first, it prints the
// entries at which it is not, and returns an error with exitNotInForce.
func (c *applyCommand) waitInForce(ctx context.Context, client *control.Client, change string, version uint64) error {
	behind, err := client.WaitInForce(ctx, change, version)
	if err != nil {
		return &exitError{exitNotInForce, fmt.Errorf("accepted; entries could not be queried: %w", err)}
	}
	if len(behind) == 0 {
		fmt.Println("in force at all listed entries")
		return nil
	}
	for _, a := range behind {
		fmt.Printf("behind: %s\n", processState(a))
	}
	return &exitError{exitNotInForce, fmt.Errorf("accepted, but %d entries do not have version %d of change %s in force", len(behind), version, change)}
}

// processState returns the name of a process with its configuration version, or with the error of the
// status query.
func processState(a control.Answer) string {
	if a.Err != nil {
		return a.VM.Name + ": " + a.Err.Error()
	}
	return fmt.Sprintf("%s: version %d", a.VM.Name, a.Status.Version)
}
