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

// What can make its deadline and is of the first class is never refused, what
// can't is always, and each refusal tells when to come back.
func TestDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 10_000).Draw(t, name)) * time.Millisecond
		}
		c := admit.Case{
			Class:   rapid.SampledFrom([]state.Class{state.ClassFirst, state.ClassBatch}).Draw(t, "class"),
			First:   ms("first"),
			Step:    ms("step") / 100,
			Output:  rapid.IntRange(0, 500).Draw(t, "output"),
			Limit:   ms("limit"),
			Left:    ms("left"),
			Streams: rapid.IntRange(0, 100).Draw(t, "streams"),
			Room:    rapid.IntRange(0, 100).Draw(t, "room"),
		}
		reason, wait := admit.Decide(c)
		whole := c.First + c.Step*time.Duration(max(c.Output-1, 0))
		late := (c.Limit > 0 && c.First > c.Limit) || (c.Left > 0 && whole > c.Left)
		if late != (reason == admit.ReasonDeadline) {
			t.Fatalf("late %v, refused %q", late, reason)
		}
		if c.Class == state.ClassFirst && reason == admit.ReasonRoom {
			t.Fatal("the first class was refused for its own reserve")
		}
		if (reason != "") != (wait > 0) {
			t.Fatalf("refused %q with a wait of %v", reason, wait)
		}
	})
}

func TestReserveIsForTheFirstClass(t *testing.T) {
	c := admit.Case{Class: state.ClassBatch, Step: 10 * time.Millisecond, Output: 100, Left: 1500 * time.Millisecond, Streams: 95, Room: 100}
	if reason, _ := admit.Decide(c); reason != admit.ReasonRoom {
		t.Fatalf("batch into the reserve: %q", reason)
	}
	c.Class = state.ClassFirst
	if reason, _ := admit.Decide(c); reason != "" {
		t.Fatalf("first class into its reserve: %q", reason)
	}
}
