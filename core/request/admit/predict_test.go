package admit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var startTime = time.Unix(1_800_000_000, 0)

func TestMarginFollowsLateFirstTokens(t *testing.T) {
	var g PredictionError
	now := startTime
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		g.Observe(now, 100*time.Millisecond, 400*time.Millisecond)
	}
	if m := g.Margin(now, 2*time.Second); m < 290*time.Millisecond || m > 330*time.Millisecond {
		t.Fatalf("margin %s for first tokens 300 ms later than predicted", m)
	}
	if m := g.Margin(now, 400*time.Millisecond); m != 200*time.Millisecond {
		t.Fatalf("margin %s, want half of the limit, 200 ms", m)
	}
	if m := g.Margin(now.Add(time.Minute), 2*time.Second); m > 5*time.Millisecond {
		t.Fatalf("margin %s a minute after the last observation", m)
	}
}

// After any observations the margin falls again within a minute, so that a
// request which an idle engine can serve is admitted.
func TestMarginDecaysWithoutObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g PredictionError
		now := startTime
		for range rapid.IntRange(1, 100).Draw(t, "tokens") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond)
			g.Observe(now, time.Duration(rapid.IntRange(0, 2000).Draw(t, "expected"))*time.Millisecond,
				time.Duration(rapid.IntRange(0, 20000).Draw(t, "actual"))*time.Millisecond)
			limit := time.Duration(rapid.IntRange(0, 5000).Draw(t, "limit")) * time.Millisecond
			if m := g.Margin(now, limit); m < 0 || m > limit/2 {
				t.Fatalf("margin %s of %s", m, limit)
			}
		}
		if m := g.Margin(now.Add(time.Minute), time.Second); m > 5*time.Millisecond {
			t.Fatalf("margin %s a minute after the last observation", m)
		}
	})
}
