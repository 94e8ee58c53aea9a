package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/request/retry"
)

func TestRetriesStayARatioOfSuccesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		b := retry.NewBudgets(retry.NewPolicy(ratio, time.Millisecond))
		successes, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "success") {
				successes++
				b.RecordSuccess("e1")
				continue
			}
			if b.TryRetry("e1", false) {
				retries++
			}
			if b.TryRetry("e1", true) {
				t.Fatal("a retry was retried")
			}
		}
		if float64(retries) > 3+ratio*float64(successes)+1e-6 {
			t.Fatalf("%d retries after %d successes with a ratio of %f", retries, successes, ratio)
		}
	})
}

func TestBackoffGrowsWithinBounds(t *testing.T) {
	p := retry.NewPolicy(0.1, 10*time.Millisecond)
	for retryNumber := 1; retryNumber < 20; retryNumber++ {
		low, high := p.Backoff(retryNumber, 0), p.Backoff(retryNumber, 0.999)
		full := 10 * time.Millisecond << min(retryNumber-1, 8)
		if low != full/2 || high > full || high < low {
			t.Fatalf("backoff of retry %d is between %v and %v", retryNumber, low, high)
		}
	}
}
