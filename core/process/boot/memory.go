package boot

import "golang.org/x/sys/unix"

// MachineMemory returns the memory of this machine in bytes, 0 if it is unknown.
func MachineMemory() int64 {
	var i unix.Sysinfo_t
	if err := unix.Sysinfo(&i); err != nil {
		return 0
	}
	return int64(i.Totalram) * int64(i.Unit)
}
