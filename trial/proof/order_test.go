package proof_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"verbenahaven.example/core/conn/stand"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/fleet"
)

// both are an engine that checks fencing numbers and one that obeys anything.
var both = []string{"fenced", "open"}

func orderGroup(t *testing.T, links, wires bool) *group {
	return startGroup(t, fleet.Options{
		Engines: []fleet.Engine{quickEngine("fenced", true), quickEngine("open", false)},
		Declare: "declare service counter model spec", Links: links, Wires: wires,
	})
}

// P1, P3: the leader is stopped at a random moment after the intent of an
// order is in the log, its successor carries the order out and issues another;
// then the old leader wakes up.
func TestOrderLeaderStoppedAfterIntent(t *testing.T) {
	g := orderGroup(t, false, false)
	random := rand.New(rand.NewPCG(1, 0))
	roles := []state.Role{state.RoleDecode, state.RolePrefill}
	for round := range 3 {
		old := g.leader()
		for _, e := range both {
			g.runAt(old, "assign engine %s role %s", e, roles[0])
		}
		pause := time.Duration(random.IntN(int(150 * time.Millisecond)))
		time.Sleep(pause)
		old.Pause()
		next := g.leader(old)
		for _, e := range both {
			g.idle(next, e, roles[0])
			g.runAt(next, "assign engine %s role %s", e, roles[1])
		}
		old.Resume()
		for _, e := range both {
			g.idle(next, e, roles[1])
		}
		time.Sleep(flight)
		for _, e := range both {
			g.noConflict(e, 2*(round+1))
		}
	}
}

// P1, P3: the leader is cut off from the others, both ways or one way, while
// its orders are open. It still reaches the engines, the other two elect a
// successor.
func TestOrderLeaderCutOff(t *testing.T) {
	g := orderGroup(t, true, false)
	roles := []state.Role{state.RoleDecode, state.RolePrefill}
	for round, kind := range []stand.Kind{stand.Cut, stand.CutDown, stand.CutUp} {
		old := g.leader()
		for _, e := range both {
			g.runAt(old, "assign engine %s role %s", e, roles[round%2])
		}
		if err := g.Cut(t.Context(), old.Name(), string(kind)); err != nil {
			t.Fatal(err)
		}
		next := g.leader(old)
		for _, e := range both {
			g.idle(next, e, roles[round%2])
			g.runAt(next, "assign engine %s role mixed", e)
			g.idle(next, e, state.RoleMixed)
		}
		if err := g.Cut(t.Context(), old.Name(), string(stand.Heal)); err != nil {
			t.Fatal(err)
		}
		g.wait("the old leader to follow", func() error {
			_, err := g.status(old)
			return err
		})
		for _, e := range both {
			g.noConflict(e, 2*(round+1))
		}
	}
}

// P1: an engine crashes in the middle of a change and comes back as it was
// before; the order is carried out then, once.
func TestOrderEngineCrashesInChange(t *testing.T) {
	g := orderGroup(t, false, false)
	for _, e := range both {
		g.runAt(g.leader(), "assign engine %s role decode", e)
	}
	time.Sleep(80 * time.Millisecond)
	for _, e := range both {
		g.fault(e, stand.Crash)
	}
	time.Sleep(300 * time.Millisecond)
	for _, e := range both {
		g.fault(e, stand.Revive)
	}
	for _, e := range both {
		g.idle(g.leader(), e, state.RoleDecode)
		g.noConflict(e, 1)
	}
}

// P1: leaders are killed one after the other while orders are open.
func TestOrderLeaderKilled(t *testing.T) {
	g := orderGroup(t, false, false)
	roles := []state.Role{state.RoleDecode, state.RolePrefill, state.RoleMixed}
	for round, role := range roles {
		old := g.leader()
		for _, e := range both {
			g.runAt(old, "assign engine %s role %s", e, role)
		}
		time.Sleep(time.Duration(round) * 30 * time.Millisecond)
		old.Kill()
		next := g.leader(old)
		for _, e := range both {
			g.idle(next, e, role)
		}
		if err := old.Start(); err != nil {
			t.Fatal(err)
		}
	}
	for _, e := range both {
		g.noConflict(e, len(roles))
	}
}
