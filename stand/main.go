// Command stand runs simulated backend servers for tests, the demo and trials:
// engines, plain services, the platform's list of instances, the weight store and
// proxies that inject network faults.
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
	"verbenahaven.example/stand/config"
)

func main() {
	settings := flag.String("settings", "", "settings file")
	klog.InitFlags(nil)
	flag.Parse()
	code := boot.ExitUsage
	if *settings != "" && flag.NArg() == 0 {
		code = run(*settings)
	} else {
		flag.Usage()
	}
	klog.Flush()
	os.Exit(code)
}

// run serves until SIGINT or SIGTERM and returns the exit code.
func run(path string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var s config.Settings
	err := boot.Load(path, &s)
	if err == nil {
		err = serve(ctx, &s)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "stand: %v\n", err)
	}
	return boot.ExitCode(err)
}

func serve(ctx context.Context, s *config.Settings) error {
	cleanup, err := start(ctx, s)
	if err != nil {
		return err
	}
	defer cleanup()
	klog.InfoS("started", "control", s.Control.HTTP)
	<-ctx.Done()
	return nil
}
