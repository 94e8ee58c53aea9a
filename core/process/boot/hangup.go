package boot

import (
	"os"
	"os/signal"
	"syscall"
)

// KeepOnHangup keeps SIGHUP from ending the process. A program that reloads its settings on
// SIGHUP calls it first: the signal may also come before it watches them, and after.
func KeepOnHangup() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
}
