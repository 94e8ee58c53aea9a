// Command trial runs a whole deployment of real processes: an end-to-end demo,
// benchmarks that compare planning and routing policies, idle cost by size, and
// soak runs under random faults.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// commands holds the subcommands. The file of each subcommand registers it in
// init.
var commands []subcommands.Command

func register(c subcommands.Command) {
	commands = append(commands, c)
}

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range commands {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(subcommands.Execute(ctx))
}
