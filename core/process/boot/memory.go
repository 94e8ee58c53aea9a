package boot

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"
)

// MachineMemory returns the memory of this machine in bytes, 0 if it is unknown.
func MachineMemory() int64 {
	var i unix.Sysinfo_t
	if err := unix.Sysinfo(&i); err != nil {
		return 0
	}
	return int64(i.Totalram) * int64(i.Unit)
}

// memoryLimitShare is the part of a process's memory from which the Go runtime collects garbage
// more often than it would by the growth of the heap.
const memoryLimitShare = 0.75

// LimitMemory tells the Go runtime of a limit on the memory of this process in bytes, 0 for
// none. What exceeds it isn't prevented, only garbage doesn't accumulate.
func LimitMemory(limit int64) {
	if limit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(limit)))
	}
}

// Descriptors returns the number of descriptors that this process may open, 0 if it is unknown.
func Descriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
