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

	"k8s.io/klog/v2"

	"verbenahaven.example/core/process/boot"
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
	if *onPlatform {
		boot.KeepOnHangup()
		if err := servePlatform(ctx, *metrics); err != nil {
			// The keeper's own log is closed by now, so report on standard
			// error.
			fmt.Fprintln(os.Stderr, "keepd:", err)
			return boot.ExitCode(err)
		}
		return boot.ExitOK
	}
	if err := serveStandalone(ctx, *path); err != nil {
		fmt.Fprintln(os.Stderr, "keepd:", err)
		return boot.ExitCode(err)
	}
	return boot.ExitOK
}

func serveStandalone(ctx context.Context, path string) error {
	settings := conf.Default()
	if err := boot.Load(path, settings); err != nil {
		return err //nolint:wrapcheck // the error names the file and carries the exit code
	}
	a, cleanup, err := buildApp(ctx, settings)
	if err != nil {
		return err
	}
	defer cleanup()
	return a.run(ctx)
}
