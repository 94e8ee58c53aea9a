// Command stand runs stand-in backend servers for tests, the demo and trials:
// engines, plain services, the platform's list, the weight store and proxies
// that break on demand.
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

// run serves until a signal asks to stop and returns the exit code.
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
	return boot.Code(err)
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
