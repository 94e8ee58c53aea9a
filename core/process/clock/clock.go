// Package clock provides the wall clock and a clock that counts suspend. Only
// drivers read them: state machines get the time with each event, so that they
// are deterministic.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the wall time and an elapsed time that includes suspend.
type Clock interface {
	// Now returns the wall time.
	Now() time.Time
	// Elapsed returns the time since a fixed arbitrary start, including the
	// time that the machine was suspended.
	Elapsed() time.Duration
}

// System returns the clock of the operating system.
func System() Clock {
	return systemClock{}
}

type systemClock struct{}

func (systemClock) Now() time.Time {
	return time.Now()
}

// Elapsed reads CLOCK_BOOTTIME: unlike CLOCK_MONOTONIC it counts suspend, so a
// machine that wakes up can't take an expired lease for a valid one.
func (systemClock) Elapsed() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
