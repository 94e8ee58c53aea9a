package picker_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/request/route"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
	"verbenahaven.example/entryd/picker"
)

// For any sequence of versions, platform lists and requests: no work goes to a
// backend server that isn't serving, the in-flight counts of these servers are
// exact, and the settled version is never above one under which a running
// request began.
func TestNoWorkForLeavingBackends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, store := picker.New("entry1", "north", route.PolicyCache), view.New()
		now := time.Unix(1_000_000, 0)
		phases, listed := map[string]state.Phase{}, map[string]bool{}
		inFlight := map[string]int{}
		var releases, ends []func()
		var begun []uint64
		names := []string{"e0", "e1", "e2", "s0", "s1"}
		for version := uint64(1); version <= 60; version++ {
			name := rapid.SampledFrom(names).Draw(t, "name")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				phases[name] = rapid.SampledFrom([]state.Phase{state.PhaseServing, state.PhaseLeaving, state.PhaseChanging}).Draw(t, "phase")
				v := state.View{Version: version, Since: store.Current().Version()}
				if name[0] == 'e' {
					v.Engines = []state.Engine{{Name: name, Model: "spec", Role: state.RoleMixed, Phase: phases[name], Version: version}}
				} else {
					v.Servers = []state.Server{{Name: name, Service: "lookup", Phase: phases[name], Version: version}}
				}
				if err := store.Apply(v); err != nil {
					t.Fatal(err)
				}
				g.SetSnapshot(store.Current())
			case 1:
				next := map[string]bool{}
				for _, n := range names {
					next[n] = n == name && rapid.Bool().Draw(t, "listed")
				}
				listed = next
				g.SetListedLeaving(next)
			case 2:
				s, end := g.BeginRequest()
				ends, begun = append(ends, end), append(begun, s.Version())
			case 3:
				request := route.Request{Model: "spec", Fingerprint: fmt.Sprint(version), PromptTokens: 10}
				l, err := g.Choose(now, &request)
				if err != nil {
					continue
				}
				used := l.Plan.Decode.Name
				if !g.Reserve(now, fmt.Sprint("a", version), &request, l, func() {}) || phases[used] != state.PhaseServing || listed[used] {
					t.Fatalf("work for %s in phase %s, listed as leaving: %v", used, phases[used], listed[used])
				}
				inFlight[used]++
				releases = append(releases, func() { l.Release(); inFlight[used]-- })
			case 4:
				s, f, err := g.ReserveServer(now, "lookup", nil)
				if errors.Is(err, picker.ErrNoServer) {
					continue
				}
				if phases[s.Name] != state.PhaseServing || listed[s.Name] {
					t.Fatalf("work for %s in phase %s, listed as leaving: %v", s.Name, phases[s.Name], listed[s.Name])
				}
				inFlight[s.Name]++
				releases = append(releases, func() { f(); inFlight[s.Name]-- })
			default:
				if len(releases) > 0 {
					releases[0]()
					releases = releases[1:]
				}
				if len(ends) > 0 {
					ends[0]()
					ends, begun = ends[1:], begun[1:]
				}
			}
			reported := g.InFlight()
			for _, n := range names {
				want := inFlight[n]
				if phases[n] == state.PhaseServing && !listed[n] {
					want = 0
				}
				if int(reported[n]) != want {
					t.Fatalf("want %d in flight at %s, got %d", want, n, reported[n])
				}
			}
			current, settled := g.Versions()
			for _, v := range begun {
				if settled > v {
					t.Fatalf("settled version %d while a request of version %d runs", settled, v)
				}
			}
			if len(begun) == 0 && settled != current {
				t.Fatalf("settled version %d, want %d with no request running", settled, current)
			}
		}
	})
}

// Streams on a leaving engine are moved after a delay, if another engine can
// take them.
func TestSweepMovesStreamsOffLeavingEngines(t *testing.T) {
	g, store := picker.New("entry1", "north", route.PolicyCache), view.New()
	now := time.Unix(1_000_000, 0)
	apply := func(version uint64, engines ...state.Engine) {
		t.Helper()
		if err := store.Apply(state.View{Version: version, Engines: engines}); err != nil {
			t.Fatal(err)
		}
		g.SetSnapshot(store.Current())
	}
	one := state.Engine{Name: "e1", Model: "spec", Role: state.RoleMixed, Phase: state.PhaseServing}
	two := one
	two.Name = "e2"
	apply(1, one)
	request := route.Request{Model: "spec", Fingerprint: "x", PromptTokens: 10}
	l, err := g.Choose(now, &request)
	if err != nil {
		t.Fatal(err)
	}
	moved := 0
	if !g.Reserve(now, "a", &request, l, func() { moved++ }) {
		t.Fatal("engine not reserved")
	}
	one.Phase = state.PhaseLeaving
	apply(2, one)
	g.Sweep(now)
	g.Sweep(now.Add(time.Minute))
	if moved != 0 {
		t.Fatal("stream moved although no other engine can take it")
	}
	apply(3, one, two)
	g.Sweep(now.Add(time.Minute))
	if moved != 1 {
		t.Fatal("stream not moved")
	}
}

// Engines that were chosen while the state was current can't be reserved once
// the instance is isolated.
func TestNoWorkGivenWhileIsolated(t *testing.T) {
	g, store := picker.New("entry1", "north", route.PolicyCache), view.New()
	if err := store.Apply(state.View{
		Version: 1,
		Engines: []state.Engine{{Name: "e1", Model: "spec", Role: state.RoleMixed, Phase: state.PhaseServing}},
		Servers: []state.Server{{Name: "s1", Service: "lookup", Phase: state.PhaseServing}},
	}); err != nil {
		t.Fatal(err)
	}
	g.SetSnapshot(store.Current())
	fresh := true
	g.SetDispatchGuard(func() bool { return fresh })
	now, request := time.Unix(1_000_000, 0), route.Request{Model: "spec", Fingerprint: "x", PromptTokens: 10}
	l, err := g.Choose(now, &request)
	if err != nil {
		t.Fatal(err)
	}
	fresh = false
	if g.Reserve(now, "a", &request, l, func() {}) {
		t.Error("engine reserved while isolated")
	}
	if _, err := g.Choose(now, &request); !errors.Is(err, picker.ErrIsolated) {
		t.Errorf("engine choice while isolated: %v", err)
	}
	if _, _, err := g.ReserveServer(now, "lookup", nil); !errors.Is(err, picker.ErrIsolated) {
		t.Errorf("server choice while isolated: %v", err)
	}
}
