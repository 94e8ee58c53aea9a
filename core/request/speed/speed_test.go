package speed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/request/speed"
)

func prefill(engine string, tokens, seconds float64) proto.EngineSpeed {
	return proto.EngineSpeed{Engine: engine, Prefills: 1, Tokens: tokens, Seconds: seconds, TokensSquared: tokens * tokens, TokensSeconds: tokens * seconds}
}

func ExampleModel() {
	m := speed.New()
	m.Keep(map[string]string{"a": "prefill", "b": "prefill"})
	for i := range 20 {
		tokens := float64(1 + i%10)
		m.Observe([]proto.EngineSpeed{prefill("a", tokens, 0.1+tokens/50)})
	}
	e := m.Estimate("b")
	fmt.Println(e.PrefillRate, e.PrefillDelay)
	// Output: 50000 100ms
}

// The delay and the rate are found for engines a hundred times slower and
// faster than others, from times that vary by a fifth.
func TestEstimateFollowsAnySpeed(t *testing.T) {
	for _, rate := range []float64{3_000, 62_400, 307_000, 1_500_000} {
		for _, delay := range []time.Duration{0, 5 * time.Millisecond, 120 * time.Millisecond} {
			random := rand.New(rand.NewPCG(1, 2))
			m := speed.New()
			groups := make(map[string]string)
			for i := range 5 {
				groups[fmt.Sprint(i)] = "g"
			}
			m.Keep(groups)
			for range 400 {
				tokens := 0.5 + 12*random.Float64()
				seconds := (delay.Seconds() + tokens*1000/rate) * (0.8 + 0.4*random.Float64())
				m.Observe([]proto.EngineSpeed{prefill(fmt.Sprint(random.IntN(5)), tokens, seconds)})
			}
			e := m.Estimate("0")
			got := e.PrefillDelay.Seconds() + 8000/e.PrefillRate
			want := delay.Seconds() + 8000/rate
			if got < 0.8*want || got > 1.25*want {
				t.Errorf("rate %v, delay %v: 8,000 tokens are expected to take %.4f s, not %.4f s", rate, delay, got, want)
			}
		}
	}
}

// An engine that turns slow is told from the others within a few requests, and
// is trusted again within a few after it recovers.
func TestSlowEngineIsToldFromOthers(t *testing.T) {
	m := speed.New()
	m.Keep(map[string]string{"slow": "g", "other": "g"})
	run := func(slowdown float64, n int) {
		for i := range n {
			tokens := 2 + float64(i%8)
			m.Observe([]proto.EngineSpeed{prefill("slow", tokens, slowdown*tokens/60), prefill("other", tokens, tokens/60)})
		}
	}
	run(1, 50)
	normal := m.Estimate("slow").PrefillRate
	run(6, 8)
	if r := m.Estimate("slow").PrefillRate; r > normal/2 {
		t.Errorf("after eight slow requests: rate %v, %v before", r, normal)
	}
	if r := m.Estimate("other").PrefillRate; r < normal/1.9 {
		t.Errorf("the other engine: rate %v, %v before", r, normal)
	}
	run(1, 60)
	if r := m.Estimate("slow").PrefillRate; r < normal/1.5 {
		t.Errorf("after it recovered: rate %v, %v before", r, normal)
	}
}

// An engine in a new role isn't expected to have the speed of its old one.
func TestChangedGroupStartsAnew(t *testing.T) {
	m := speed.New()
	m.Keep(map[string]string{"a": "prefill"})
	m.Observe([]proto.EngineSpeed{prefill("a", 5, 0.1)})
	m.Keep(map[string]string{"a": "decode"})
	if e := m.Estimate("a"); e != (speed.Estimate{}) {
		t.Fatalf("%+v is expected in a role without observations", e)
	}
}

// Whatever instances send, estimates are finite and not negative.
func TestEstimatesStayInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := speed.New()
		m.Keep(map[string]string{"a": "g", "b": "g"})
		for range rapid.IntRange(0, 50).Draw(t, "observations") {
			v := make([]float64, 12)
			for i := range v {
				v[i] = rapid.Float64().Draw(t, "value")
			}
			m.Observe([]proto.EngineSpeed{{
				Engine: rapid.SampledFrom([]string{"a", "b", "unknown"}).Draw(t, "engine"), Prefills: v[0], Tokens: v[1], Seconds: v[2],
				TokensSquared: v[3], TokensSeconds: v[4], Starts: v[5], StartSeconds: v[6],
				Gaps: v[7], GapSeconds: v[8], SlowGaps: v[9], SlowSeconds: v[10], Answers: v[11],
			}})
			m.Keep(map[string]string{"a": rapid.SampledFrom([]string{"g", "h"}).Draw(t, "group"), "b": "g"})
		}
		e := m.Estimate("a")
		if !(e.PrefillRate >= 0 && e.PrefillRate < 1e300) || e.PrefillDelay < 0 || e.PrefillTime < 0 || e.StartTime < 0 ||
			e.EventGap < 0 || e.SlowGap < e.EventGap || !(e.Machine >= 0 && e.Machine < 1e3) {
			t.Fatalf("estimate %+v", e)
		}
	})
}

// Estimates that were asked for meanwhile must not change later ones.
func TestEstimatesFollowAllObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		asked, other := speed.New(), speed.New()
		names := []string{"a", "b", "c", "d"}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.IntRange(0, 4).Draw(t, "keep") == 0 {
				groups := make(map[string]string)
				for i, group := range rapid.SliceOfN(rapid.IntRange(0, 2), 4, 4).Draw(t, "groups") {
					if group > 0 {
						groups[names[i]] = fmt.Sprint(group)
					}
				}
				asked.Keep(groups)
				other.Keep(groups)
			}
			tokens := float64(rapid.IntRange(1, 9).Draw(t, "tokens"))
			s := []proto.EngineSpeed{{
				Engine: rapid.SampledFrom(names).Draw(t, "engine"), Prefills: 1, Tokens: tokens, Seconds: tokens / 4,
				TokensSquared: tokens * tokens, TokensSeconds: tokens * tokens / 4, Starts: 1, StartSeconds: 0.01, Gaps: 20, GapSeconds: 1,
			}}
			asked.Observe(s)
			other.Observe(s)
			for _, name := range names {
				asked.Estimate(name)
			}
		}
		for _, name := range names {
			if got, want := asked.Estimate(name), other.Estimate(name); got != want {
				t.Fatalf("%s: %+v, without questions meanwhile %+v", name, got, want)
			}
		}
	})
}

// BenchmarkEstimates asks for the estimates of all engines after an observation, as the planner
// does. The time for each engine shouldn't grow with their number.
func BenchmarkEstimates(b *testing.B) {
	for _, n := range []int{300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m, groups := speed.New(), make(map[string]string)
			for i := range n {
				groups[fmt.Sprint("engine", i)] = fmt.Sprint(i % 2)
			}
			m.Keep(groups)
			for b.Loop() {
				m.Observe([]proto.EngineSpeed{{Engine: "engine1", Prefills: 1, Tokens: 1, Seconds: 1, TokensSquared: 1, TokensSeconds: 1}})
				for name := range groups {
					m.Estimate(name)
				}
			}
		})
	}
}
