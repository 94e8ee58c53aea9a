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
	reason, wait := admit.Decide(admit.Input{Class: state.ClassBatch, TTFT: 3 * time.Second, TTFTLimit: time.Second})
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
		in := admit.Input{
			Class:        rapid.SampledFrom([]state.Class{state.ClassFirst, state.ClassBatch}).Draw(t, "class"),
			TTFT:         drawDuration("ttft"),
			TPOT:         drawDuration("tpot") / 100,
			OutputTokens: rapid.IntRange(0, 500).Draw(t, "output"),
			TTFTLimit:    drawDuration("ttft limit"),
			TotalLimit:   drawDuration("total limit"),
			Streams:      rapid.IntRange(0, 100).Draw(t, "streams"),
			Capacity:     rapid.IntRange(0, 100).Draw(t, "capacity"),
		}
		reason, wait := admit.Decide(in)
		total := in.TTFT + in.TPOT*time.Duration(max(in.OutputTokens-1, 0))
		missesDeadline := (in.TTFTLimit > 0 && in.TTFT > in.TTFTLimit) || (in.TotalLimit > 0 && total > in.TotalLimit)
		if missesDeadline != (reason == admit.ReasonDeadline) {
			t.Fatalf("misses its deadline: %v, rejected with %q", missesDeadline, reason)
		}
		if in.Class == state.ClassFirst && reason == admit.ReasonNoCapacity {
			t.Fatal("a request of the first class was rejected because of its own reserve")
		}
		if (reason != "") != (wait > 0) {
			t.Fatalf("rejected with %q and a retry time of %v", reason, wait)
		}
	})
}

func TestReserveIsForTheFirstClass(t *testing.T) {
	in := admit.Input{Class: state.ClassBatch, TPOT: 10 * time.Millisecond, OutputTokens: 100, TotalLimit: 1500 * time.Millisecond, Streams: 95, Capacity: 100}
	if reason, _ := admit.Decide(in); reason != admit.ReasonNoCapacity {
		t.Fatalf("batch request, only the reserve is free: %q", reason)
	}
	in.Class = state.ClassFirst
	if reason, _ := admit.Decide(in); reason != "" {
		t.Fatalf("request of the first class, only the reserve is free: %q", reason)
	}
}
