package limit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/request/limit"
	"verbenahaven.example/core/version/state"
)

var start = time.Unix(1_000_000, 0)

// Over any run of requests an instance uses no more than its lease, then no
// more than the fallback rate, plus one burst and one overdraft.
func TestUsageStaysWithinTheLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limit.New(start)
		l.SetInstances(4)
		account := state.Account{Name: "desk", TokensPerSecond: 1000}
		const granted, term = 500.0, 3 * time.Second
		now, used, largest := start, 0.0, 0.0
		l.Take(now, account, 0)
		l.ApplyGrant(now, "desk", granted, 0, term)
		steps := rapid.IntRange(1, 400).Draw(t, "steps")
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			tokens := rapid.IntRange(1, 800).Draw(t, "tokens")
			if ok, wait := l.Take(now, account, tokens); ok {
				used += float64(tokens)
				largest = max(largest, float64(tokens))
			} else if wait <= 0 {
				t.Fatal("rejected without a retry time")
			}
		}
		leased := min(now.Sub(start), term).Seconds()
		fallback := max(now.Sub(start)-term, 0).Seconds()
		bound := granted*(leased+2) + 250*fallback + largest
		if used > bound {
			t.Fatalf("%.0f tokens used, at most %.0f allowed", used, bound)
		}
	})
}

func TestFallbackRateIsAtMostTheLastGrant(t *testing.T) {
	l := limit.New(start)
	l.SetInstances(2)
	account := state.Account{Name: "desk", RequestsPerSecond: 100}
	l.Take(start, account, 0)
	l.ApplyGrant(start, "desk", 0, 5, time.Second)
	accepted := 0
	for i := range 1000 {
		if ok, _ := l.Take(start.Add(2*time.Second+time.Duration(i)*10*time.Millisecond), account, 0); ok {
			accepted++
		}
	}
	if accepted > 65 {
		t.Fatalf("%d requests in 10 s after a lease of 5 per second expired", accepted)
	}
}

func TestDemandIsPerSecondSinceTheLastCall(t *testing.T) {
	l := limit.New(start)
	account := state.Account{Name: "desk", TokensPerSecond: 1000}
	l.Take(start, account, 300)
	l.Take(start, account, 100)
	got := l.TakeDemand(start.Add(2 * time.Second))
	if len(got) != 1 || got[0].TokenRate != 200 || got[0].RequestRate != 1 {
		t.Fatalf("demand %+v, want 200 tokens and 1 request per second", got)
	}
}
