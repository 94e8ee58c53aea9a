package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/request/retry"
)

// In any window the repeats of all instances stay below the ratio of the
// requests in it and the slots beside it, and the slack.
func TestSharedStaysWithinTheBudget(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "instances")
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		slack := rapid.Float64Range(0, 60).Draw(t, "slack")
		budgets := make([]*retry.Shared, n)
		for i := range budgets {
			budgets[i] = retry.NewShared(window, ratio, slack)
		}
		var requests, repeats []time.Duration
		now := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "start"))
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "wait"))
			b := budgets[rapid.IntRange(0, n-1).Draw(t, "instance")]
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				b.Request(now, "p")
				requests = append(requests, now)
				continue
			}
			if b.Spend(now, "p", n) {
				repeats = append(repeats, now)
			}
		}
		within := func(list []time.Duration, from, to time.Duration) float64 {
			c := 0
			for _, at := range list {
				if at >= from && at < to {
					c++
				}
			}
			return float64(c)
		}
		for _, from := range repeats {
			used := within(repeats, from, from+window)
			// A repeat counts requests of the window before it.
			seen := within(requests, from-window-window/20, from+window)
			if used > ratio*seen+slack+1e-6 {
				t.Fatalf("%v repeats for %v requests from %s", used, seen, from)
			}
		}
	})
}

func TestSharedForgetsAfterTheWindow(t *testing.T) {
	b := retry.NewShared(10*time.Second, 0, 2)
	spent := 0
	for range 5 {
		if b.Spend(0, "p", 1) {
			spent++
		}
	}
	if spent != 2 {
		t.Fatalf("slack of 2 was %d repeats", spent)
	}
	if b.Spend(10*time.Second, "p", 1) {
		t.Fatal("a repeat was forgotten within its window")
	}
	if !b.Spend(11*time.Second, "p", 1) {
		t.Fatal("a repeat counts after its window")
	}
	if !b.Spend(0, "other", 1) {
		t.Fatal("pools share a budget")
	}
}
