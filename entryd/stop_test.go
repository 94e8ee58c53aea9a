package main

import (
	"io"
	"testing"
	"time"

	"verbenahaven.example/core/process/boot"
)

// The process outlived its grace period while nobody read its standard error.
func TestForcedExitDoesNotWaitForReaderOfProfile(t *testing.T) {
	r, w := io.Pipe()
	defer func() { _ = r.Close() }()
	exited := make(chan int, 1)
	go forceExit(w, func(code int) { exited <- code })
	select {
	case code := <-exited:
		if code != boot.ExitFailure {
			t.Errorf("exit code %d", code)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("still running 5 s later")
	}
}

// A step of the wall clock moved the time at which an instance that leaves expects the cut.
func TestTimeUntilCutDoesNotFollowWallClock(t *testing.T) {
	at := time.Now().Add(time.Minute) // with a reading of the monotonic clock
	l := newLeaving()
	l.begin(at)
	if got := *l.cutAt.Load(); got != at { // also compares the readings
		t.Errorf("the cut is at %v, want %v", got, at)
	}
}
