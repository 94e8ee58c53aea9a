package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"verbenahaven.example/core/version/lang"
	"verbenahaven.example/core/version/state"
)

func init() {
	register(&drainCmd{})
}

var errStillPresent = errors.New("still there")

// drainPollInterval is the time between two queries on a draining object.
const drainPollInterval = 500 * time.Millisecond

// drainCmd stops new work for an object and optionally waits until it has
// drained.
type drainCmd struct {
	clientFlags
	changeFlags
	wait     time.Duration
	withdraw bool
}

func (*drainCmd) Name() string     { return "drain" }
func (*drainCmd) Synopsis() string { return "drain an engine, server or member and wait" }
func (*drainCmd) Usage() string {
	return `haven drain [flags] engine|server|member NAME

Marks the object as leaving, so that it gets no new work. With -withdraw it is
also removed from the state: an engine or server once nothing runs on it, a
member once its process has stopped. With -wait the command waits for that. The
command "declare" takes a drain back.

Examples:
  haven drain engine e1
  haven drain -withdraw -wait 2m engine e1

Flags:
`
}

// SetFlags implements subcommands.Command.
func (c *drainCmd) SetFlags(f *flag.FlagSet) {
	c.clientFlags.defineFlags(f)
	c.changeFlags.defineFlags(f)
	f.DurationVar(&c.wait, "wait", 0, "longest time to wait; 0 doesn't wait")
	f.BoolVar(&c.withdraw, "withdraw", false, "remove the object once nothing runs on it")
}

// Execute implements subcommands.Command.
func (c *drainCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return reportResult(c.run(ctx, f))
}

func (c *drainCmd) run(ctx context.Context, f *flag.FlagSet) error {
	if f.NArg() != len([]string{"noun", "name"}) {
		return usageError("a noun and a name are needed")
	}
	verb := state.VerbDrain
	if c.withdraw {
		verb = state.VerbWithdraw
	}
	s, err := lang.ParseOne(string(verb) + " " + f.Arg(0) + " " + f.Arg(1))
	if err != nil {
		return usageError("%v", err)
	}
	if err := c.sendChange(ctx, &c.clientFlags, s.String()); err != nil {
		return err
	}
	if c.wait == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	return c.waitDrained(ctx, s)
}

// waitDrained polls the object's phase until it has drained or ctx ends.
func (c *drainCmd) waitDrained(ctx context.Context, s lang.Statement) error {
	lastPhase := ""
	for {
		phase, err := c.queryPhase(ctx, s)
		if err != nil && ctx.Err() != nil {
			return fmt.Errorf("%s %s: %w: %s", s.Noun(), s.Name(), errStillPresent, lastPhase)
		}
		if err != nil {
			return err
		}
		if phase != lastPhase {
			fmt.Fprintf(os.Stderr, "haven: %s %s is %s\n", s.Noun(), s.Name(), phase)
			lastPhase = phase
		}
		if c.isDrained(state.Phase(phase)) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s %s: %w: %s", s.Noun(), s.Name(), errStillPresent, phase)
		case <-time.After(drainPollInterval):
		}
	}
}

func (c *drainCmd) isDrained(p state.Phase) bool {
	return p == state.PhaseGone || p == state.PhaseLeaving && !c.withdraw
}

func (c *drainCmd) queryPhase(ctx context.Context, s lang.Statement) (string, error) {
	text := fmt.Sprintf("ask %ss where name = %s show phase", s.Noun(), s.Name())
	reply, err := c.query(ctx, text, 0, 0)
	if err != nil {
		return "", err
	}
	if len(reply.Tables) != 1 || len(reply.Tables[0].Rows) == 0 {
		return string(state.PhaseGone), nil
	}
	return reply.Tables[0].Rows[0][0], nil
}
