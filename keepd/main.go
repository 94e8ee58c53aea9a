// Command keepd is the control plane of a deployment. Its instances replicate
// the state by consensus: configuration, leases, orders to engines and the
// records of run-once calls.
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
	"verbenahaven.example/keepd/conf"
)

func main() {
	os.Exit(execute())
}

func execute() int {
	klog.InitFlags(nil)
	path := flag.String("settings", "keepd.toml", "settings file")
	onPlatform := flag.Bool("platform", false, "take the settings from the platform and speak its protocols")
	metrics := flag.String("metrics", "", "with -platform: PORT/PATH where metrics are served")
	flag.Parse()
	defer klog.Flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	bound := exit.NewBound("keepd")
	bound.Watch(ctx)
	if *onPlatform {
		boot.KeepOnHangup()
		if err := servePlatform(ctx, *metrics, bound); err != nil {
			// The keeper's own log is closed by now, so report on standard
			// error.
			fmt.Fprintln(os.Stderr, "keepd:", err)
			return boot.ExitCode(err)
		}
		return boot.ExitOK
	}
	if err := serveStandalone(ctx, *path, bound); err != nil {
		fmt.Fprintln(os.Stderr, "keepd:", err)
		return boot.ExitCode(err)
	}
	return boot.ExitOK
}

func serveStandalone(ctx context.Context, path string, bound *exit.Bound) error {
	settings := conf.Default()
	if err := boot.Load(path, settings); err != nil {
		return err //nolint:wrapcheck // the error names the file and carries the exit code
	}
	bound.SetGrace(time.Duration(settings.Stop.Grace))
	boot.LimitMemory(settings.Group.MemoryBytes)
	for {
		diskErr := buildAndRunApp(ctx, settings, bound)
		if ctx.Err() != nil || !isWriteFailure(diskErr) {
			return diskErr
		}
		klog.Errorf("%s: the disk takes no writes: %v", settings.Folder, diskErr)
		if err := refuseUntilWritable(ctx, settings); ctx.Err() != nil || err != nil {
			return err
		}
		klog.Infof("%s: the disk takes writes again", settings.Folder)
	}
}

func buildAndRunApp(ctx context.Context, s *conf.Settings, bound *exit.Bound) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer bound.Watch(ctx)() // if the disk fails and hangs, a new process may do better
	a, cleanup, err := buildApp(ctx, s)
	if err != nil {
		return err
	}
	defer cleanup()
	return a.run(ctx, stop, operatorStopTimeout(bound))
}
