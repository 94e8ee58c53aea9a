package main

import (
	"testing"
	"time"
)

// A step of the wall clock moved the time at which an instance that leaves expects the cut.
func TestTimeUntilCutDoesNotFollowWallClock(t *testing.T) {
	at := time.Now().Add(time.Minute) // with a reading of the monotonic clock
	l := newLeaving()
	l.begin(at)
	if got := *l.cutAt.Load(); got != at { // also compares the readings
		t.Errorf("the cut is at %v, want %v", got, at)
	}
}
