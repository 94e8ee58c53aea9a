package main

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

func init() {
	register(&versionCmd{})
}

// versionCmd prints the commit and Go version of the build.
type versionCmd struct{}

func (*versionCmd) Name() string           { return "version" }
func (*versionCmd) Synopsis() string       { return "print what this program was built from" }
func (*versionCmd) SetFlags(*flag.FlagSet) {}
func (*versionCmd) Usage() string {
	return "haven version\n\nPrints the commit, its time and the Go version of the build.\n"
}

// Execute implements subcommands.Command.
func (*versionCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Println("haven, unknown build")
		return subcommands.ExitSuccess
	}
	vcs := map[string]string{"vcs.revision": "unknown", "vcs.time": "unknown", "vcs.modified": "unknown"}
	for _, s := range info.Settings {
		if _, known := vcs[s.Key]; known {
			vcs[s.Key] = s.Value
		}
	}
	fmt.Printf("haven commit %s of %s, modified %s, %s\n",
		vcs["vcs.revision"], vcs["vcs.time"], vcs["vcs.modified"], info.GoVersion)
	return subcommands.ExitSuccess
}
