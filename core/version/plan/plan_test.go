package plan

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/version/state"
)

const (
	testPrefill  = 20000.0
	testDowntime = 3 * time.Second
)

// simulation runs a policy on a pool of engines whose reports follow the demand.
type simulation struct {
	settings Settings
	policy   Policy
	now      time.Time
	engines  []Engine
	returnAt map[string]time.Time
	changes  []RoleChange
}

func newSimulation(name string, s Settings, prefill, decode int) *simulation {
	p, err := New(name, s)
	if err != nil {
		panic(err)
	}
	sim := &simulation{settings: s, policy: p, now: time.Unix(1000, 0), returnAt: make(map[string]time.Time)}
	for i := range prefill + decode {
		e := Engine{
			Name: fmt.Sprintf("engine%02d", i), Model: "spec", Role: state.RolePrefill, Phase: state.PhaseServing,
			Alive: true, PrefillRate: testPrefill, MaxBatch: 64, TPOT: 10 * time.Millisecond,
		}
		if i >= prefill {
			e.Role = state.RoleDecode
		}
		sim.engines = append(sim.engines, e)
	}
	return sim
}

// step runs one period with a demand in prompt and output tokens per second.
func (s *simulation) step(prefill, decode float64) {
	s.now = s.now.Add(s.settings.Period)
	for i := range s.engines {
		e := &s.engines[i]
		if at, ok := s.returnAt[e.Name]; ok && !s.now.Before(at) {
			delete(s.returnAt, e.Name)
			e.Phase, e.ChangedAt = state.PhaseServing, s.now
		}
		n := min(64, int(decode/float64(max(1, s.countRole(state.RoleDecode)))*0.02))
		e.Running, e.TPOT = n, 10*time.Millisecond+time.Duration(n)*200*time.Microsecond
		if e.Role == state.RolePrefill {
			e.Running, e.QueuedTokens = 1, int(prefill/float64(max(1, s.countRole(state.RolePrefill))))
		}
	}
	demand := []Demand{
		{Service: "dossier", Model: "spec", Class: state.ClassBatch, RequestRate: prefill / 20000, PrefillRate: prefill, DecodeRate: 5 * prefill / 1000},
		{Service: "letter", Model: "spec", Class: state.ClassBatch, RequestRate: decode / 500, PrefillRate: decode / 10, DecodeRate: decode},
	}
	c, ok := s.policy.Decide(s.now, Input{Engines: append([]Engine{}, s.engines...), Demand: demand})
	if !ok {
		return
	}
	s.changes = append(s.changes, c)
	for i := range s.engines {
		if s.engines[i].Name == c.Engine {
			s.engines[i].Phase, s.engines[i].Role = state.PhaseChanging, c.Role
			s.returnAt[c.Engine] = s.now.Add(testDowntime)
		}
	}
}

func (s *simulation) countRole(r state.Role) int {
	n := 0
	for _, e := range s.engines {
		if e.Role == r && usable(e) {
			n++
		}
	}
	return n
}

func settings() Settings {
	return Settings{
		ChangeCost: 0.2, MinDwell: 10 * time.Second, Horizon: 40 * time.Second,
		Period: time.Second, MaxChanging: 1, MinPerRole: 2,
	}
}

// Demand that needs 4 prefill and 8 decode engines, and the other way round.
const (
	lowPrefill, highDecode = 0.8 * 4 * testPrefill, 15000.0
	highPrefill, lowDecode = 0.8 * 8 * testPrefill, 4000.0
)

func TestStepInDemandIsFollowed(t *testing.T) {
	sim := newSimulation(NameGoodput, settings(), 4, 8)
	for range 60 {
		sim.step(lowPrefill, highDecode)
	}
	if len(sim.changes) != 0 {
		t.Fatalf("changes although the roles fit the demand: %+v", sim.changes)
	}
	for range 120 {
		sim.step(highPrefill, lowDecode)
	}
	if n := sim.countRole(state.RolePrefill); n < 7 {
		t.Fatalf("%d prefill engines after a step to a demand that needs 8: %+v", n, sim.changes)
	}
	for _, c := range sim.changes {
		if c.Observed == "" || c.Compared == "" || c.Reason == "" {
			t.Fatalf("role change without reasons: %+v", c)
		}
	}
}

// A demand that swings around a mean which fits the current roles causes at most
// one change if the swing is shorter than the horizon.
func TestSwingShorterThanHorizonIsNotFollowed(t *testing.T) {
	const meanPrefill, meanDecode = 0.65 * 6 * testPrefill, 11000.0
	rapid.Check(t, func(t *rapid.T) {
		s := settings()
		s.ChangeCost = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "change cost")
		swing := rapid.Float64Range(0.2, 1).Draw(t, "swing")
		half := rapid.IntRange(1, int(s.Horizon/time.Second)/2).Draw(t, "half")
		sim := newSimulation(NameGoodput, s, 6, 6)
		for i := range 300 {
			sign := 1.0
			if i/half%2 == 0 {
				sign = -1
			}
			sim.step(meanPrefill*(1+sign*swing), meanDecode*(1-sign*swing))
		}
		if len(sim.changes) > 1 {
			t.Fatalf("%d changes under a swing with a period of %d s", len(sim.changes), 2*half)
		}
	})
}

func TestHigherChangeCostReducesChanges(t *testing.T) {
	changes := func(changeCost float64) int {
		s := settings()
		s.ChangeCost = changeCost
		sim := newSimulation(NameGoodput, s, 4, 8)
		for i := range 600 {
			if i/150%2 == 0 {
				sim.step(lowPrefill, highDecode)
			} else {
				sim.step(highPrefill, lowDecode)
			}
		}
		return len(sim.changes)
	}
	if low, high := changes(0.1), changes(10); low <= high {
		t.Fatalf("%d changes at a low cost, %d at a high one", low, high)
	}
}

// Under random demand and losses of engines, a policy never exceeds the number of
// engines that may change at once and always leaves MinPerRole engines in each role.
func TestBoundsHoldUnderRandomDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := settings()
		s.MaxChanging = rapid.IntRange(1, 3).Draw(t, "max changing")
		s.MinPerRole = rapid.IntRange(1, 4).Draw(t, "min per role")
		s.ChangeCost = 0
		name := rapid.SampledFrom([]string{NameGoodput, NameThreshold}).Draw(t, "policy")
		sim := newSimulation(name, s, 6, 6)
		for range rapid.IntRange(1, 20).Draw(t, "phases") {
			prefill := rapid.Float64Range(0, 12*testPrefill).Draw(t, "prefill")
			decode := rapid.Float64Range(0, 30000).Draw(t, "decode")
			lost := rapid.IntRange(0, len(sim.engines)-1).Draw(t, "lost")
			sim.engines[lost].Alive = rapid.Bool().Draw(t, "alive")
			for range rapid.IntRange(1, 60).Draw(t, "seconds") {
				before := [2]int{sim.countRole(state.RolePrefill), sim.countRole(state.RoleDecode)}
				changes := len(sim.changes)
				sim.step(prefill, decode)
				if len(sim.changes) == changes {
					continue
				}
				if len(sim.returnAt) > s.MaxChanging {
					t.Fatalf("%d engines change at once, want at most the setting", len(sim.returnAt))
				}
				from := oppositeRole(sim.changes[changes].Role)
				if sim.countRole(from) < s.MinPerRole {
					t.Fatalf("%d engines left for %s, before the change %v", sim.countRole(from), from, before)
				}
			}
		}
	})
}

func TestUnknownPolicyIsRefused(t *testing.T) {
	if _, err := New("guess", settings()); err == nil {
		t.Fatal("an unknown policy was accepted")
	}
}

func ExampleNew() {
	p, err := New(NameFixed, Settings{})
	if err != nil {
		fmt.Println(err)
		return
	}
	_, change := p.Decide(time.Unix(0, 0), Input{})
	fmt.Println(change)
	// Output: false
}
