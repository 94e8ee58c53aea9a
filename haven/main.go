// Command haven is the operators' command-line client. It sends queries and
// commands to the instances that hold the replicated state, validates settings
// files, shows the status of instances, and issues keys and tokens.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// commands holds the subcommands; each is registered by an init function.
var commands []subcommands.Command

func register(c subcommands.Command) {
	commands = append(commands, c)
}

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range commands {
		subcommands.Register(c, "")
	}
	flag.Parse()
	return int(subcommands.Execute(ctx))
}
