package lead_test

import (
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/boot"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/keepd/conf"
)

// An entry may name a service that no routing table has: its engines get no orders.
func TestEnginesOfUnknownServiceGetNoOrders(t *testing.T) {
	for _, pool := range []string{"known", "odd"} {
		f := newFakeFleet(8)
		for i := range f.engines {
			f.engines[i].Pool = pool
		}
		b := newDiscoveringLeader(t, func(s *conf.Settings) {
			s.Plan.Policy, s.Plan.Period, s.Plan.MinDwell, s.Plan.Horizon = "follow", boot.Duration(100*time.Millisecond), boot.Duration(time.Second), boot.Duration(25*time.Second)
			s.Plan.MaxChanging, s.Plan.Reserve = 3, 1
		}, f)
		table := state.RoutingTable{Number: 1, Pools: []state.Pool{{Name: "known", Spec: &state.EngineSpec{BatchSize: 8}}}}
		if _, err := b.PublishRouting(t.Context(), "keep1", proto.PublishRequest{Routing: table}); err != nil {
			t.Fatal(err)
		}
		if ordered := b.runFor(10*time.Second, func() bool { return f.sentOrders() > 0 }); ordered != (pool == "known") {
			t.Errorf("service %s: ordered %v", pool, ordered)
		}
	}
}

// An engine that is listed without its role must not serve, nor count as another build.
func TestEngineWithoutRoleIsNoServer(t *testing.T) {
	f := newFakeFleet(1)
	f.servers = []state.Server{{Name: "odd", Service: "llm", Phase: state.PhaseServing}, {Name: "s", Service: "app", Phase: state.PhaseServing}}
	b := newDiscoveringLeader(t, nil, f)
	table := state.RoutingTable{Number: 1, Pools: []state.Pool{{Name: "llm", Spec: &state.EngineSpec{BatchSize: 8}}, {Name: "app"}}}
	if _, err := b.PublishRouting(t.Context(), "keep1", proto.PublishRequest{Routing: table}); err != nil {
		t.Fatal(err)
	}
	b.waitFor(t, "a fleet without the odd entry", func() bool {
		list := b.store.View(0).Servers
		return len(list) == 1 && list[0].Name == "s"
	})
}
