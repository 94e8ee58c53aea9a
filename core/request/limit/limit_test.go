package limit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/request/limit"
	"verbenahaven.example/core/version/state"
)

var start = time.Unix(1_000_000, 0)

// Over any run of requests, grants and cuts an instance spends no more than
// its grants, or the floor after them, plus one burst and one overdraft.
func TestSpendsNoMoreThanItsSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limit.New(start)
		l.Instances(4)
		a := state.Account{Name: "desk", Tokens: 1000}
		const granted, term = 500.0, 3 * time.Second
		now, spent, largest := start, 0.0, 0.0
		l.Take(now, a, 0)
		l.Grant(now, "desk", granted, 0, term)
		end := rapid.IntRange(1, 400).Draw(t, "steps")
		for range end {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(1, 800).Draw(t, "tokens")
			if ok, wait := l.Take(now, a, n); ok {
				spent += float64(n)
				largest = max(largest, float64(n))
			} else if wait <= 0 {
				t.Fatal("refused without a time to come back")
			}
		}
		leased := min(now.Sub(start), term).Seconds()
		floor := max(now.Sub(start)-term, 0).Seconds()
		bound := granted*(leased+2) + 250*floor + largest
		if spent > bound {
			t.Fatalf("spent %.0f of %.0f", spent, bound)
		}
	})
}

func TestFloorIsNeverAboveTheLastGrant(t *testing.T) {
	l := limit.New(start)
	l.Instances(2)
	a := state.Account{Name: "desk", Requests: 100}
	l.Take(start, a, 0)
	l.Grant(start, "desk", 0, 5, time.Second)
	n := 0
	for i := range 1000 {
		if ok, _ := l.Take(start.Add(2*time.Second+time.Duration(i)*10*time.Millisecond), a, 0); ok {
			n++
		}
	}
	if n > 65 {
		t.Fatalf("%d requests in 10 s after a grant of 5 a second ran out", n)
	}
}

func TestWantsAreTheUse(t *testing.T) {
	l := limit.New(start)
	a := state.Account{Name: "desk", Tokens: 1000}
	l.Take(start, a, 300)
	l.Take(start, a, 100)
	got := l.Wants(start.Add(2 * time.Second))
	if len(got) != 1 || got[0].Tokens != 200 || got[0].Requests != 1 {
		t.Fatalf("wants %+v", got)
	}
}
