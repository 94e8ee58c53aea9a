package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

func init() {
	register(&askCmd{})
}

// askCmd sends read-only queries on the state.
type askCmd struct {
	clientFlags
	file string
}

func (*askCmd) Name() string     { return "ask" }
func (*askCmd) Synopsis() string { return "ask what runs where" }
func (*askCmd) Usage() string {
	return `haven ask [flags] [TEXT]

Sends questions, which change nothing. The text comes from the arguments, from
-file, or from standard input.

Examples:
  haven ask 'ask engines where role = prefill and centre = north'
  haven ask 'ask orders where status = open show number, engine, at sort by at'
  haven ask -json 'ask services count; ask members where phase != serving'

Flags:
`
}

// SetFlags implements subcommands.Command.
func (c *askCmd) SetFlags(f *flag.FlagSet) {
	c.defineFlags(f)
	f.StringVar(&c.file, "file", "", "file with the text; - is standard input")
}

// Execute implements subcommands.Command.
func (c *askCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return reportResult(c.run(ctx, f))
}

func (c *askCmd) run(ctx context.Context, f *flag.FlagSet) error {
	text, statements, err := readStatements(f, c.file)
	if err != nil {
		return err
	}
	for _, s := range statements {
		if _, changes := s.Change(); changes {
			return usageError("line %d: %q changes the state; use haven run", s.Line(), s)
		}
	}
	return c.send(ctx, text, 0, 0)
}
