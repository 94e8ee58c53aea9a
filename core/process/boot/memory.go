package boot

import (
	"os"
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

// heapShare is the share of the memory of a process up to which the Go runtime collects
// garbage at its usual rate. The rest is for what it doesn't count, such as sockets.
const heapShare = 0.75

// LimitMemory makes the Go runtime collect garbage sooner near the memory in bytes that the
// process may use, 0 for no limit. GOMEMLIMIT goes first.
func LimitMemory(bytes int64) {
	if bytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(heapShare * float64(bytes)))
	}
}
