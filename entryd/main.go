// Command entryd runs an entry instance: it accepts callers' requests and routes
// them to engines and plain services.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/process/exit"
	"verbenahaven.example/entryd/setup"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	flags := flag.NewFlagSet("entryd", flag.ContinueOnError)
	klog.InitFlags(flags)
	path := flags.String("settings", "entryd.toml", "settings file")
	onPlatform := flags.Bool("platform", false, "take the settings from the platform and speak its protocols")
	metrics := flags.String("metrics", "", "with -platform: PORT/PATH where metrics are served")
	if err := flags.Parse(args); err != nil {
		return boot.ExitUsage
	}
	defer klog.Flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	bound := exit.NewBound("entryd")
	bound.Watch(ctx)
	if *onPlatform {
		boot.KeepOnHangup()
		if err := serveSite(ctx, *metrics, bound); err != nil {
			// The log has been closed by now.
			fmt.Fprintln(os.Stderr, "entryd:", err)
			return boot.ExitCode(err)
		}
		return boot.ExitOK
	}
	s := setup.Defaults()
	if err := boot.Load(*path, s); err != nil {
		klog.ErrorS(err, "start")
		return boot.ExitCode(err)
	}
	bound.SetGrace(time.Duration(s.Stop.Grace))
	boot.LimitMemory(s.Memory.Bytes)
	a, cleanup, err := build(s, bound)
	if err != nil {
		klog.ErrorS(err, "start")
		return boot.ExitCode(err)
	}
	defer cleanup()
	if err := a.run(ctx); err != nil {
		klog.ErrorS(err, "run")
		return boot.ExitCode(err)
	}
	return boot.ExitOK
}
