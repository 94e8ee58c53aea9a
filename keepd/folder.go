package main

import (
	"context"
	"errors"
	"log/slog"
	"syscall"
	"time"

	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/disk"
	"verbenahaven.example/core/process/exit"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/platform"
)

// servePlatform runs a keeper on a platform until ctx ends. While writes to its
// disk fail, it continues as a keeper without a disk, which only forwards
// operators' calls.
func servePlatform(ctx context.Context, metrics string, bound *exit.Bound) error {
	settings, err := platform.Load()
	if err != nil {
		return boot.WithExitCode(boot.ExitSettings, err)
	}
	boot.LimitMemory(settings.MemoryBytes())
	onStart := func(*slog.Logger) {}
	for {
		bound.SetGrace(settings.Bounds.Grace)
		folder := settings.DataDir
		if folder == "" {
			return buildAndRun(ctx, settings, metrics, bound, buildForwardingApp, onStart)
		}
		diskErr := buildAndRun(ctx, settings, metrics, bound, buildPlatformApp, onStart)
		if ctx.Err() != nil || !isWriteFailure(diskErr) {
			return diskErr
		}
		untilWritable, cancel := context.WithCancel(ctx)
		go func() {
			defer cancel()
			waitWritable(untilWritable, folder)
		}()
		err = buildAndRun(untilWritable, settings, metrics, bound, buildForwardingApp, func(l *slog.Logger) {
			l.Error("the disk takes no writes; operators' calls are passed on meanwhile", "folder", folder, "err", diskErr)
		})
		cancel()
		if ctx.Err() != nil || err != nil {
			return err
		}
		next, err := platform.Load()
		if err == nil {
			settings = next
		}
		onStart = func(l *slog.Logger) {
			l.Info("the disk takes writes again", "folder", folder)
			if err != nil {
				l.Warn("settings not taken", "err", err)
			}
		}
	}
}

type buildFunc func(*platform.Settings, metricsSetting, *meter.Registry, *slog.Logger) (*platformApp, func(), error)

// buildAndRun builds a keeper and runs it. It calls onStart with the log, which is closed
// after the keeper.
func buildAndRun(ctx context.Context, s *platform.Settings, metrics string, bound *exit.Bound, build buildFunc, onStart func(*slog.Logger)) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer bound.Watch(ctx)() // if the disk fails and hangs, a new process may do better
	m := meter.New()
	log, closeLog := openLog(m)
	defer closeLog()
	k, cleanup, err := build(s, metricsSetting(metrics), m, log)
	if err != nil {
		return err
	}
	defer cleanup()
	k.bound = bound
	onStart(log)
	return k.run(ctx, stop)
}

// isWriteFailure reports whether an error means that the disk is full or
// failing, which may pass, rather than that the folder can't be used at all.
func isWriteFailure(err error) bool {
	for _, cause := range []error{disk.ErrWriteFailed, syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, syscall.EIO} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// diskProbeInterval is the time between two attempts to write to a disk that
// failed. A member that is back within a second or two isn't replaced as voter.
const diskProbeInterval = 500 * time.Millisecond

// waitWritable returns when writes to the folder succeed, or ctx ends.
func waitWritable(ctx context.Context, folder string) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, diskProbeInterval)
		if err := disk.Probe(disk.System(), folder); err == nil {
			return
		}
	}
}
