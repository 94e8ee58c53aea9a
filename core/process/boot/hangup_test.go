package boot_test

import (
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"

	"verbenahaven.example/core/process/boot"
)

// The signal came before the settings were watched, or after, and ended the process.
func TestHangupBeforeAndAfterItIsWatchedEndsNothing(t *testing.T) {
	if os.Getenv("HANGUP_TEST") == "" {
		c := exec.CommandContext(t.Context(), os.Args[0], "-test.run", t.Name()) //nolint:gosec // this test itself
		c.Env = append(os.Environ(), "HANGUP_TEST=1")
		if out, err := c.CombinedOutput(); err != nil {
			t.Fatalf("%v\n%s", err, out)
		}
		return
	}
	boot.KeepOnHangup()
	hangUp := func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	hangUp()
	watched := make(chan os.Signal, 2)
	signal.Notify(watched, syscall.SIGHUP)
	hangUp()
	<-watched
	signal.Stop(watched)
	hangUp()
	hangUp()
}
