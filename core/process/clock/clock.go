// Package clock gives time to drivers. State machines never read a clock;
// they get the time with each event.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells wall time, and elapsed time that also runs on while the machine
// sleeps.
type Clock interface {
	// Now is the wall time.
	Now() time.Time
	// Elapsed is the time since an arbitrary fixed start, sleep included.
	Elapsed() time.Duration
}

// System returns the clock of the machine.
func System() Clock {
	return system{}
}

type system struct{}

func (system) Now() time.Time {
	return time.Now()
}

// Elapsed reads CLOCK_BOOTTIME: unlike the monotonic clock it counts suspend,
// so a lease can't outlive its term on a machine that slept.
func (system) Elapsed() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
