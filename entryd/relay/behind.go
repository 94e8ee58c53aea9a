package relay

import (
	"context"
	"time"

	"verbenahaven.example/core/conn/server"
)

const (
	// catchUpShare is the share of a call's time, and maxCatchUp the longest, that an
	// instance waits until its state is as new as the one under which another instance
	// accepted the call.
	catchUpShare = 0.1
	maxCatchUp   = 200 * time.Millisecond
)

// awaitState waits until the state is at least as new as the one under which another
// instance accepted the call, and reports whether it is. An instance that was cut off or
// stood still would otherwise handle the call by an older routing table than its caller
// has seen in force.
func (f *Fleet) awaitState(ctx context.Context, c *server.Call) bool {
	limit := maxCatchUp
	if c.TimeLeft > 0 {
		limit = min(limit, time.Duration(catchUpShare*float64(c.TimeLeft)))
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		version, changed := f.stateVersion()
		if version >= c.State {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// stateVersion returns the version of the state, and a channel that is closed when a newer
// one becomes current.
func (f *Fleet) stateVersion() (uint64, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.snapshot.Version(), f.newSnapshot
}
