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
	"verbenahaven.example/platform"
)

// serveSite runs a keeper on a platform until ctx ends. While its disk takes no
// writes it goes on as one without a disk.
func serveSite(ctx context.Context, metrics string) error {
	back := func(*slog.Logger) {}
	for {
		settings, err := platform.Load()
		if err != nil {
			return boot.Fail(boot.ExitSettings, err)
		}
		folder := settings.Folder
		if folder == "" {
			return serveOnce(ctx, settings, metrics, buildPass, back)
		}
		failed := serveOnce(ctx, settings, metrics, buildSite, back)
		if ctx.Err() != nil || !takesNoWrites(failed) {
			return failed
		}
		writable, cancel := context.WithCancel(ctx)
		go func() {
			defer cancel()
			awaitWrites(writable, folder)
		}()
		err = serveOnce(writable, settings, metrics, buildPass, func(l *slog.Logger) {
			l.Error("the disk takes no writes; operators' calls are passed on meanwhile", "folder", folder, "err", failed)
		})
		cancel()
		if ctx.Err() != nil || err != nil {
			return err
		}
		back = func(l *slog.Logger) { l.Info("the disk takes writes again", "folder", folder) }
	}
}

type builder func(*platform.Settings, metricsSetting) (*site, func(), error)

// serveOnce builds a keeper and runs it. First is given its log, which ends with
// it.
func serveOnce(ctx context.Context, s *platform.Settings, metrics string, build builder, first func(*slog.Logger)) error {
	k, cleanup, err := build(s, metricsSetting(metrics))
	if err != nil {
		return err
	}
	defer cleanup()
	first(k.log)
	return k.run(ctx)
}

// takesNoWrites tells a disk that is full or failed for a while from a folder
// that can't be used at all.
func takesNoWrites(err error) bool {
	for _, cause := range []error{disk.ErrFailed, syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, syscall.EIO} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// probeEvery is the time between two tries to write to a disk that failed: a
// member that is back within a second or two isn't replaced.
const probeEvery = 500 * time.Millisecond

// awaitWrites returns when the folder takes writes, or ctx ends.
func awaitWrites(ctx context.Context, folder string) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, probeEvery)
		if err := disk.Probe(disk.System(), folder); err == nil {
			return
		}
	}
}
