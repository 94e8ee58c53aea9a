package strike_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/request/strike"
	"verbenahaven.example/core/version/state"
)

var start = time.Unix(1_000_000, 0)

// A request that crashes every engine costs no more engines than the limit,
// even if many instances send it in any interleaving and know the shared record
// only from the replies to their own writes. As in the choice of engines, all
// instances draw from the same two engines; a suspect goes to the one that
// wasn't lost under it, and isn't run if that one is lost too.
func TestLostEnginesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, instances = 2, 6
		var shared []string
		record := func(name string) []string {
			if !slices.Contains(shared, name) {
				shared = append(shared, name)
			}
			return shared
		}
		lost := map[string]bool{}
		tables := make([]*strike.Table, instances)
		lostUnder := make([]string, instances) // engine lost while it ran the instance's copy
		for i := range tables {
			tables[i] = strike.NewTable(limit, time.Minute)
		}
		running := map[int]string{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			if engine, ok := running[i]; ok {
				delete(running, i)
				lost[engine], lostUnder[i] = true, engine
				record(engine)
				tables[i].Add(start, "f", engine)
				continue
			}
			target := fmt.Sprint("e", rapid.IntRange(0, 1).Draw(t, "drawn"))
			switch verdict, _ := tables[i].Evaluate(start, "f", state.Strike{}, false); verdict {
			case strike.Unrestricted:
			case strike.Suspect:
				if target = "e0"; lostUnder[i] == "e0" {
					target = "e1"
				}
				tables[i].Add(start, "f", strike.Pledge(target))
				if !strike.Allowed(record(strike.Pledge(target)), limit) {
					continue
				}
			default:
				continue
			}
			if !lost[target] {
				running[i] = target
			}
		}
		for _, engine := range running {
			lost[engine] = true
		}
		if len(lost) > limit {
			t.Fatalf("lost engines %v, more than the limit", lost)
		}
	})
}

func TestVerdicts(t *testing.T) {
	until := start.Add(time.Minute)
	cases := []struct {
		engines []string
		now     time.Time
		want    strike.Verdict
	}{
		{nil, start, strike.Unrestricted},
		{[]string{"e1"}, start, strike.Suspect},
		{[]string{"e1", strike.Pledge("e2")}, start, strike.RetryLater},
		{[]string{"e1", strike.Pledge("e1")}, start, strike.Suspect},
		{[]string{"e1", strike.Pledge("e0", "e1")}, start, strike.Suspect},
		{[]string{strike.Pledge("e1"), strike.Pledge("e2")}, start, strike.RetryLater},
		{[]string{"e1", "e2"}, start, strike.Blocked},
		{[]string{"e1", strike.Pledge("e2"), "e2"}, start, strike.Blocked},
		{[]string{"e1", "e2"}, until, strike.Unrestricted},
	}
	for _, c := range cases {
		s := state.Strike{Fingerprint: "f", LostEngines: c.engines, ExpiresAt: until}
		if got := strike.Evaluate(s, true, 2, c.now); got != c.want {
			t.Errorf("%v at %v: %s, want %s", c.engines, c.now, got, c.want)
		}
		table := strike.NewTable(2, time.Minute)
		for _, e := range c.engines {
			table.Add(start, "f", e)
		}
		if got, _ := table.Evaluate(c.now, "f", state.Strike{}, false); got != c.want {
			t.Errorf("local record of %v: %s, want %s", c.engines, got, c.want)
		}
		table.Clear("f")
		if got, _ := table.Evaluate(c.now, "f", state.Strike{}, false); got != strike.Unrestricted {
			t.Errorf("after a success: %s", got)
		}
	}
}

func TestRecentSuccessesKeepTheLatest(t *testing.T) {
	const capacity = 8
	p := strike.NewRecentSuccesses(capacity)
	for i := range 100 {
		p.Add(fmt.Sprint(i))
		for j := range i + 1 {
			if has := p.Contains(fmt.Sprint(j)); (j > i-capacity && !has) || (j <= i-2*capacity && has) {
				t.Fatalf("after %d successes: contains %d: %v", i+1, j, has)
			}
		}
	}
	if p.Remove("99"); p.Contains("99") {
		t.Fatal("a removed fingerprint is still contained")
	}
}
