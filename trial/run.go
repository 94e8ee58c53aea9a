package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

func init() {
	register(&runCommand{})
}

// runCommand compares the policies under load.
type runCommand struct {
	bin   string
	out   string
	seeds int
}

// Name implements subcommands.Command.
func (*runCommand) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (*runCommand) Synopsis() string { return "compare the policies under load" }

// Usage implements subcommands.Command.
func (*runCommand) Usage() string {
	return "run -bin DIR -out DIR [-seeds N]: compare the policies under load\n"
}

// SetFlags implements subcommands.Command.
func (r *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&r.bin, "bin", "bin", "folder of the built programs")
	f.StringVar(&r.out, "out", "out", "folder for the table and the plots")
	f.IntVar(&r.seeds, "seeds", 1, "number of seeds")
}

// Execute implements subcommands.Command.
func (r *runCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return subcommands.ExitSuccess
}
