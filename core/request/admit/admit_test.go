package admit_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/request/admit"
	"verbenahaven.example/core/version/state"
)

func ExampleDecide() {
	reason, wait := admit.Decide(admit.Case{Class: state.ClassBatch, First: 3 * time.Second, Limit: time.Second})
	fmt.Println(reason, wait)
	// Output: deadline 2s
}

// A request of the first class that can meet its deadline is never rejected, a
// request that can't always is, and each rejection comes with a retry time.
func TestDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawDuration := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 10_000).Draw(t, name)) * time.Millisecond
		}
		in := admit.Case{
			Class:   rapid.SampledFrom([]state.Class{state.ClassFirst, state.ClassBatch}).Draw(t, "class"),
			First:   drawDuration("first"),
			Step:    drawDuration("step") / 100,
			Output:  rapid.IntRange(0, 500).Draw(t, "output"),
			Limit:   drawDuration("limit"),
			Left:    drawDuration("left"),
			Streams: rapid.IntRange(0, 100).Draw(t, "streams"),
			Room:    rapid.IntRange(0, 100).Draw(t, "room"),
		}
		reason, wait := admit.Decide(in)
		total := in.First + in.Step*time.Duration(max(in.Output-1, 0))
		missesDeadline := (in.Limit > 0 && in.First > in.Limit) || (in.Left > 0 && total > in.Left)
		if missesDeadline != (reason == admit.ReasonDeadline) {
			t.Fatalf("misses its deadline: %v, rejected with %q", missesDeadline, reason)
		}
		if in.Class == state.ClassFirst && reason == admit.ReasonRoom {
			t.Fatal("a request of the first class was rejected because of its own reserve")
		}
		if (reason != "") != (wait > 0) {
			t.Fatalf("rejected with %q and a retry time of %v", reason, wait)
		}
	})
}

func TestReserveIsForTheFirstClass(t *testing.T) {
	in := admit.Case{Class: state.ClassBatch, Step: 10 * time.Millisecond, Output: 100, Left: 1500 * time.Millisecond, Streams: 95, Room: 100}
	if reason, _ := admit.Decide(in); reason != admit.ReasonRoom {
		t.Fatalf("batch request, only the reserve is free: %q", reason)
	}
	in.Class = state.ClassFirst
	if reason, _ := admit.Decide(in); reason != "" {
		t.Fatalf("request of the first class, only the reserve is free: %q", reason)
	}
}
