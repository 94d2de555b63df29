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

// Exit codes of apply besides the common ones.
const (
	exitRefused = 3 // another change won
	exitUnknown = 4 // ask again with --resume
	exitBehind  = 5 // accepted, not yet in force everywhere
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
	if c.Resume != "" {
		if _, err := ulid.ParseStrict(c.Resume); err != nil {
			return &exitError{exitUsage, fmt.Errorf("--resume %s: no id of a change: %w", c.Resume, err)}
		}
		out, err = op.Resume(ctx, c.Resume)
	} else {
		out, err = c.apply(ctx, op)
	}
	if err != nil {
		return outcomeError(err)
	}
	if out.Version == 0 {
		return nil // nothing to do
	}
	fmt.Printf("accepted: version %d\n", out.Version)
	return c.inForce(ctx, client, out.Version)
}

// outcomeError gives each outcome an exit code that scripts can tell apart.
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

func (c *applyCommand) apply(ctx context.Context, op *control.Operator) (config.Outcome, error) {
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
	if empty := config.ServicesLosingTargets(old, cfg); len(empty) > 0 && !c.AllowEmpty {
		return config.Outcome{}, fmt.Errorf("nothing was sent: no target would be left for %s; --allow-empty applies it all the same", strings.Join(empty, ", "))
	}
	if len(config.Diff(old, cfg)) == 0 && c.Base < 0 {
		fmt.Printf("no difference to version %d, nothing was sent\n", base)
		return config.Outcome{}, nil
	}
	id := control.NewChangeID()
	fmt.Printf("change %s on version %d\n", id, base)
	return op.Apply(ctx, id, base, cfg)
}

func (c *applyCommand) inForce(ctx context.Context, client *control.Client, version uint64) error {
	behind, err := client.WaitInForce(ctx, version)
	if err != nil {
		return &exitError{exitBehind, fmt.Errorf("accepted; entries can't be asked: %w", err)}
	}
	if len(behind) == 0 {
		fmt.Println("in force at all listed entries")
		return nil
	}
	for _, a := range behind {
		fmt.Printf("behind: %s\n", describe(a))
	}
	return &exitError{exitBehind, fmt.Errorf("accepted, but %d entries have not reported version %d", len(behind), version)}
}

func describe(a control.Answer) string {
	if a.Err != nil {
		return a.VM.Name + ": " + a.Err.Error()
	}
	return fmt.Sprintf("%s: version %d", a.VM.Name, a.Status.Version)
}
