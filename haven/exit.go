package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/haven/client"
)

var errUsage = errors.New("bad arguments")

func usageError(format string, args ...any) error {
	return boot.WithExitCode(boot.ExitUsage, fmt.Errorf("%w: %s", errUsage, fmt.Sprintf(format, args...)))
}

// reportResult prints err to standard error and returns the exit status of the
// command.
func reportResult(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, "haven:", err)
	return subcommands.ExitStatus(exitCode(err))
}

func exitCode(err error) int {
	var refused *client.RefusedError
	switch {
	case errors.Is(err, client.ErrUnknownOutcome):
		return boot.ExitUnknown
	case errors.As(err, &refused), errors.Is(err, client.ErrNotAccepted):
		return boot.ExitRefused
	default:
		return boot.ExitCode(err)
	}
}
