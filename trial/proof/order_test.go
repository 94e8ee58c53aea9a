package proof_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/fleet"
)

// orderEngines names an engine that checks fencing tokens and one that accepts
// any order.
var orderEngines = []string{"fenced", "open"}

func startOrderGroup(t *testing.T, proxyLinks, proxyBackends bool) *keeperGroup {
	return startKeeperGroup(t, fleet.Options{
		Engines:  []fleet.Engine{fastEngine("fenced", true), fastEngine("open", false)},
		Commands: "declare service counter model spec", ProxyLinks: proxyLinks, ProxyBackends: proxyBackends,
	})
}

// TestOrderLeaderPausedWithOpenOrder pauses the leader at a random moment after
// an order is in the log. Its successor completes the order and issues another;
// then the old leader resumes. No engine may get conflicting orders.
func TestOrderLeaderPausedWithOpenOrder(t *testing.T) {
	g := startOrderGroup(t, false, false)
	random := rand.New(rand.NewPCG(1, 0))
	roles := []state.Role{state.RoleDecode, state.RolePrefill}
	for round := range 3 {
		old := g.leader()
		for _, e := range orderEngines {
			g.runAt(old, "assign engine %s role %s", e, roles[0])
		}
		pause := time.Duration(random.IntN(int(150 * time.Millisecond)))
		time.Sleep(pause)
		old.Pause()
		next := g.leader(old)
		for _, e := range orderEngines {
			g.waitRole(next, e, roles[0])
			g.runAt(next, "assign engine %s role %s", e, roles[1])
		}
		old.Resume()
		for _, e := range orderEngines {
			g.waitRole(next, e, roles[1])
		}
		time.Sleep(orderFlight)
		for _, e := range orderEngines {
			g.checkOrders(e, 2*(round+1))
		}
	}
}

// TestOrderLeaderPartitioned partitions the leader from the other keepers, in
// both directions or one, while its orders are open. It still reaches the engines
// while the others elect a successor. No engine may get conflicting orders.
func TestOrderLeaderPartitioned(t *testing.T) {
	g := startOrderGroup(t, true, false)
	roles := []state.Role{state.RoleDecode, state.RolePrefill}
	for round, kind := range []inject.FaultKind{inject.Partition, inject.PartitionDown, inject.PartitionUp} {
		old := g.leader()
		for _, e := range orderEngines {
			g.runAt(old, "assign engine %s role %s", e, roles[round%2])
		}
		if err := g.SetPartition(t.Context(), old.Name(), string(kind)); err != nil {
			t.Fatal(err)
		}
		next := g.leader(old)
		for _, e := range orderEngines {
			g.waitRole(next, e, roles[round%2])
			g.runAt(next, "assign engine %s role mixed", e)
			g.waitRole(next, e, state.RoleMixed)
		}
		if err := g.SetPartition(t.Context(), old.Name(), string(inject.ClearFaults)); err != nil {
			t.Fatal(err)
		}
		g.waitFor("the old leader to follow", func() error {
			_, err := g.status(old)
			return err
		})
		for _, e := range orderEngines {
			g.checkOrders(e, 2*(round+1))
		}
	}
}

// TestOrderEngineCrashesInChange crashes engines during a role change. They
// restart in their old role, and the order is then carried out exactly once.
func TestOrderEngineCrashesInChange(t *testing.T) {
	g := startOrderGroup(t, false, false)
	for _, e := range orderEngines {
		g.runAt(g.leader(), "assign engine %s role decode", e)
	}
	time.Sleep(80 * time.Millisecond)
	for _, e := range orderEngines {
		g.injectFault(e, inject.Crash)
	}
	time.Sleep(300 * time.Millisecond)
	for _, e := range orderEngines {
		g.injectFault(e, inject.Restart)
	}
	for _, e := range orderEngines {
		g.waitRole(g.leader(), e, state.RoleDecode)
		g.checkOrders(e, 1)
	}
}

// TestOrderLeaderKilled kills one leader after the other while orders are open.
// Each order is carried out, and no engine gets conflicting orders.
func TestOrderLeaderKilled(t *testing.T) {
	g := startOrderGroup(t, false, false)
	roles := []state.Role{state.RoleDecode, state.RolePrefill, state.RoleMixed}
	for round, role := range roles {
		old := g.leader()
		for _, e := range orderEngines {
			g.runAt(old, "assign engine %s role %s", e, role)
		}
		time.Sleep(time.Duration(round) * 30 * time.Millisecond)
		old.Kill()
		next := g.leader(old)
		for _, e := range orderEngines {
			g.waitRole(next, e, role)
		}
		if err := old.Start(); err != nil {
			t.Fatal(err)
		}
	}
	for _, e := range orderEngines {
		g.checkOrders(e, len(roles))
	}
}
