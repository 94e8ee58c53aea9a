// Command haven is the operators' command line: it sends texts of the query
// and command language to the instances that keep the state, checks settings,
// shows the status of instances, and makes keys.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// commands holds the subcommands. Each file of one registers it at start.
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
