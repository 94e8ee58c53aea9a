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
	"verbenahaven.example/haven/client"
	"verbenahaven.example/haven/memo"
)

func init() {
	register(&runCmd{})
}

// runCmd sends commands, which change the state, and queries.
type runCmd struct {
	clientFlags
	changeFlags
	file string
}

func (*runCmd) Name() string     { return "run" }
func (*runCmd) Synopsis() string { return "run commands that change the state" }
func (*runCmd) Usage() string {
	return `haven run [flags] [TEXT]

Sends commands and questions. The text comes from the arguments, from -file, or
from standard input. All changes of a text take effect together or not at all.
Each text with changes has a number, which is printed. When an answer is lost
(exit code 7), the same command line sends the text again under the same
number, so that it takes effect once.

Examples:
  haven run 'declare service verdict model spec class batch deadline 30s'
  haven run -expect 812 'assign engine e1 role decode'
  haven run -number 1788000000000042 'drain engine e1'
  haven run -file fleet.txt

Flags:
`
}

// SetFlags implements subcommands.Command.
func (c *runCmd) SetFlags(f *flag.FlagSet) {
	c.clientFlags.defineFlags(f)
	c.changeFlags.defineFlags(f)
	f.StringVar(&c.file, "file", "", "file with the text; - is standard input")
}

// Execute implements subcommands.Command.
func (c *runCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return reportResult(c.run(ctx, f))
}

func (c *runCmd) run(ctx context.Context, f *flag.FlagSet) error {
	text, statements, err := readStatements(f, c.file)
	if err != nil {
		return err
	}
	if !changesState(statements) {
		return c.send(ctx, text, 0, c.expect)
	}
	return c.sendChange(ctx, &c.clientFlags, text)
}

func changesState(statements []lang.Statement) bool {
	for _, s := range statements {
		if _, changes := s.Change(); changes {
			return true
		}
	}
	return false
}

// changeFlags are the flags of commands that change the state.
type changeFlags struct {
	number uint64
	expect uint64
	fresh  bool
}

func (c *changeFlags) defineFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.number, "number", 0, "number of the command, unique for the operator; 0 makes one")
	f.Uint64Var(&c.expect, "expect", 0, "version that the state must have; 0 for any")
	f.BoolVar(&c.fresh, "fresh", false, "make a new number even if an earlier copy has no answer")
}

// sendChange sends a text that changes the state and prints the reply. Unless
// -number is given, the command number is stored until a reply arrives, so that
// a retry after a lost reply takes effect once.
func (c *changeFlags) sendChange(ctx context.Context, cf *clientFlags, text string) error {
	if c.number != 0 {
		fmt.Fprintln(os.Stderr, "haven: command number", c.number)
		return cf.send(ctx, text, c.number, c.expect)
	}
	folder, err := pendingFolder()
	if err != nil {
		return err
	}
	pendingCommands, err := memo.New(folder, cf.operator, time.Now)
	if err != nil {
		return fmt.Errorf("remember commands: %w", err)
	}
	command, err := pendingCommands.Begin(text, c.expect, c.fresh)
	if err != nil {
		return fmt.Errorf("remember command: %w", err)
	}
	note := ""
	if command.Resent() {
		note = fmt.Sprintf(" again: it was sent %s ago and has no answer yet", command.Age().Round(time.Second))
	}
	fmt.Fprintf(os.Stderr, "haven: command number %d%s\n", command.Number(), note)
	err = cf.send(ctx, text, command.Number(), c.expect)
	if errors.Is(err, client.ErrUnknownOutcome) {
		return err
	}
	return errors.Join(err, command.Forget())
}
