package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/request/retry"
)

// In any window, all instances together make no more retries than the ratio
// allows for the requests of the window and the adjacent buckets, plus the
// slack.
func TestSharedBudgetBoundsRetriesOfAllInstances(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "instances")
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		slack := rapid.Float64Range(0, 60).Draw(t, "slack")
		budgets := make([]*retry.SharedBudget, n)
		for i := range budgets {
			budgets[i] = retry.NewSharedBudget(window, ratio, slack)
		}
		var requests, retries []time.Duration
		now := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "start"))
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "wait"))
			b := budgets[rapid.IntRange(0, n-1).Draw(t, "instance")]
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				b.RecordRequest(now, "p")
				requests = append(requests, now)
				continue
			}
			if b.TryRetry(now, "p", n) {
				retries = append(retries, now)
			}
		}
		countBetween := func(times []time.Duration, from, to time.Duration) float64 {
			count := 0
			for _, at := range times {
				if at >= from && at < to {
					count++
				}
			}
			return float64(count)
		}
		for _, from := range retries {
			retried := countBetween(retries, from, from+window)
			// A retry's budget counts the requests of the window before it.
			requested := countBetween(requests, from-window-window/20, from+window)
			if retried > ratio*requested+slack+1e-6 {
				t.Fatalf("%v retries for %v requests from %s", retried, requested, from)
			}
		}
	})
}

func TestSharedBudgetDropsRetriesAfterTheWindow(t *testing.T) {
	b := retry.NewSharedBudget(10*time.Second, 0, 2)
	retried := 0
	for range 5 {
		if b.TryRetry(0, "p", 1) {
			retried++
		}
	}
	if retried != 2 {
		t.Fatalf("%d retries with a slack of 2", retried)
	}
	if b.TryRetry(10*time.Second, "p", 1) {
		t.Fatal("a retry left the count within its window")
	}
	if !b.TryRetry(11*time.Second, "p", 1) {
		t.Fatal("a retry still counts after its window")
	}
	if !b.TryRetry(0, "other", 1) {
		t.Fatal("pools share a budget")
	}
}
