package speed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/request/speed"
)

// world plays machines of uneven speed with slowdowns into a model, as an instance
// and the leader observe them: one in four takes 0.55 of the mean time, three 1.2, and
// each takes 2.5 times as long for 15% of the time.
type world struct {
	model    *speed.Model
	random   *rand.Rand
	factors  map[string]float64
	slowLeft map[string]int
	groups   map[string]string
}

func newWorld(uneven, slowdowns bool) *world {
	w := &world{speed.New(), rand.New(rand.NewPCG(1, 2)), make(map[string]float64), nil, make(map[string]string)}
	if slowdowns {
		w.slowLeft = make(map[string]int)
	}
	for i := range 28 {
		name := fmt.Sprintf("e%02d", i)
		w.factors[name], w.groups[name] = 1, "prefill"
		if uneven {
			w.factors[name] = 1.2
			if i%4 == 0 {
				w.factors[name] = 0.55
			}
		}
		if i >= 16 {
			w.groups[name] = "decode"
		}
	}
	w.model.Keep(w.groups)
	return w
}

// run passes rounds of half a second.
func (w *world) run(rounds int) {
	for range rounds {
		for i := range 28 {
			name := fmt.Sprintf("e%02d", i)
			slow := 1.0
			if w.slowLeft != nil {
				if w.slowLeft[name]--; w.slowLeft[name] < -5 && w.random.IntN(2) == 0 {
					w.slowLeft[name] = 1
				}
				if w.slowLeft[name] >= 0 {
					slow = 2.5
				}
			}
			x := w.factors[name] * slow * (0.9 + 0.2*w.random.Float64())
			if w.groups[name] == "prefill" {
				for range 10 {
					tokens := 2 + 6*w.random.Float64()
					w.model.Observe([]proto.EngineSpeed{prefill(name, tokens, x*tokens/100)})
				}
				continue
			}
			s := proto.EngineSpeed{Engine: name, Gaps: 8, GapSeconds: 8 * 0.052 * w.factors[name]}
			if slow > 1 {
				s = proto.EngineSpeed{Engine: name, SlowGaps: 4, SlowSeconds: 4 * 0.052 * x}
			}
			w.model.Observe([]proto.EngineSpeed{s})
		}
		w.model.Keep(w.groups)
	}
}

// ratio returns how much slower one machine is believed to be than another.
func (w *world) ratio(slow, fast string) float64 {
	return w.model.Estimate(slow).Machine / w.model.Estimate(fast).Machine
}

// Guards against slowdowns that hide which machines are slow, or make alike ones
// look uneven.
func TestMachineFactorsAreToldFromSlowdowns(t *testing.T) {
	for _, slowdowns := range []bool{false, true} {
		w := newWorld(true, slowdowns)
		w.run(40)
		for _, pair := range [][2]string{{"e01", "e00"}, {"e15", "e12"}, {"e17", "e16"}, {"e27", "e24"}} {
			if r := w.ratio(pair[0], pair[1]); r < 1.6 || r > 2.9 {
				t.Errorf("slowdowns %v: %s takes %.2f times as long as %s, want about 2.2", slowdowns, pair[0], r, pair[1])
			}
		}
		w = newWorld(false, slowdowns)
		w.run(40)
		for i := 1; i < 28; i++ {
			if r := w.ratio(fmt.Sprintf("e%02d", i), "e00"); r < 0.75 || r > 1.35 {
				t.Errorf("slowdowns %v: alike machines %d and 0 are believed to differ by %.2f", slowdowns, i, r)
			}
		}
	}
}

// Guards against a role change that forgets how fast the machine is: its times in the
// new role are expected from the first request on.
func TestMachineFactorHoldsInBothRoles(t *testing.T) {
	w := newWorld(true, false)
	w.run(60)
	w.groups["e00"], w.groups["e17"] = "decode", "prefill"
	w.model.Keep(w.groups)
	fast, slow := w.model.Estimate("e00"), w.model.Estimate("e18")
	if r := float64(slow.EventGap) / float64(fast.EventGap); r < 1.5 {
		t.Errorf("gaps of %v and %v are expected at a fast and a slow machine", fast.EventGap, slow.EventGap)
	}
	if r := w.model.Estimate("e04").PrefillRate / w.model.Estimate("e17").PrefillRate; r < 1.5 {
		t.Errorf("a fast machine is expected to compute prompts %.2f times as fast as a slow one that comes from decode", r)
	}
}

// Guards against slowdowns reported too late, or never ended: the second late event shows
// one, the first event on time ends it, and a machine that stays slow isn't in one.
func TestSlowdownBeginsAndEndsWithEvents(t *testing.T) {
	g := speed.NewGaps()
	now := time.Unix(1000, 0)
	event := func(gap time.Duration) proto.PlaceEventKind {
		now = now.Add(gap)
		_, kind := g.Observe(now, "e", gap, 1)
		return kind
	}
	expect := func(want proto.PlaceEventKind, gap time.Duration) {
		t.Helper()
		if kind := event(gap); kind != want {
			t.Fatalf("event %d after a gap of %v, want %d", kind, gap, want)
		}
	}
	for range 20 {
		expect(0, 50*time.Millisecond)
	}
	expect(0, 130*time.Millisecond)
	expect(proto.PlaceSlow, 130*time.Millisecond)
	expect(0, 130*time.Millisecond)
	expect(proto.PlaceSlow, 130*time.Millisecond)
	expect(proto.PlaceRecovered, 50*time.Millisecond)
	expect(0, 130*time.Millisecond)
	expect(0, 50*time.Millisecond)
	slow := 0
	for range 100 {
		if event(130*time.Millisecond) == proto.PlaceSlow {
			slow++
		}
	}
	if slow > 15 {
		t.Fatalf("%d reports of a slowdown that doesn't end", slow)
	}
}

// Guards against engines that run more answers than others being taken for slow ones.
func TestLoadedEnginesArentSlowMachines(t *testing.T) {
	m := speed.New()
	groups := make(map[string]string)
	for i := range 8 {
		groups[fmt.Sprint(i)] = "decode"
	}
	m.Keep(groups)
	random := rand.New(rand.NewPCG(1, 2))
	for range 60 {
		for i := range 8 {
			answers := float64(2 + 3*i + random.IntN(4))
			m.Observe([]proto.EngineSpeed{{Engine: fmt.Sprint(i), Gaps: 10, GapSeconds: 10 * (0.03 + 0.002*answers), Answers: answers}})
		}
		m.Keep(groups)
	}
	idle, loaded := m.Estimate("0"), m.Estimate("7")
	if r := loaded.Machine / idle.Machine; r < 0.9 || r > 1.1 {
		t.Errorf("the factor of an engine with more answers is %.2f times as high", r)
	}
	if r := float64(loaded.EventGap) / float64(idle.EventGap); r < 0.9 || r > 1.1 {
		t.Errorf("gaps of %v and %v are expected of alike machines", loaded.EventGap, idle.EventGap)
	}
}

// The gap of a group says little of an engine that has no long answers yet.
func TestGapOfGroupIsNotThatOfNewEngine(t *testing.T) {
	w := newWorld(false, false)
	w.run(4)
	w.groups["new"] = "decode"
	w.model.Keep(w.groups)
	if v := w.model.Estimate("new"); v.EventGap == 0 || v.GapSeen {
		t.Errorf("a new engine: %+v", v)
	}
	if v := w.model.Estimate("e20"); v.EventGap == 0 || !v.GapSeen {
		t.Errorf("one with long answers: %+v", v)
	}
}
