package lead

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/plan"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
)

// runPlanner lets the policy decide once per period while this member leads.
// Each term starts with a new policy, without history.
func (l *Leader) runPlanner(ctx context.Context) {
	var term uint64
	policy, err := l.newPolicy()
	if err != nil {
		klog.Errorf("planner not started: %v", err)
		return
	}
	runEvery(ctx, time.Duration(l.settings.Plan.Period), func() {
		held := l.heldTerm()
		if held == 0 {
			return
		}
		if held != term {
			term = held
			policy, _ = l.newPolicy() // the settings were valid above
		}
		c, ok := policy.Decide(l.clock.Now(), l.planInput())
		if ok && l.mayChangeRole(c) {
			l.openOrder(ctx, c)
		}
	})
}

func (l *Leader) newPolicy() (plan.Policy, error) {
	s := l.settings.Plan
	p, err := plan.New(s.Policy, plan.Settings{
		ChangeCost:  s.ChangeCost,
		MinDwell:    time.Duration(s.MinDwell),
		Horizon:     time.Duration(s.Horizon),
		Period:      time.Duration(s.Period),
		MaxChanging: s.MaxChanging,
		MinPerRole:  s.Reserve,
	})
	if err != nil {
		return nil, fmt.Errorf("create policy: %w", err)
	}
	return p, nil
}

// openOrder opens the order for the role change that the policy chose.
func (l *Leader) openOrder(ctx context.Context, c plan.RoleChange) {
	var phase state.Phase
	l.readState(func(s *state.State, _ *ledger.Ledger) { phase, _ = s.Phase(state.NounEngine, c.Engine) })
	if phase != state.PhaseServing {
		l.meter.Count("plan", "outdated") // the engine leaves since the input was read
		return
	}
	l.meter.Count("plan", "chosen")
	o, err := propose[state.Order](ctx, l, store.Command{OpenOrder: &store.OrderRequest{
		Engine: c.Engine, Role: c.Role,
		Decision: state.Decision{Engine: c.Engine, Observed: c.Observed, Considered: c.Compared, Chosen: string(c.Role) + ": " + c.Reason},
	}})
	if err != nil {
		l.meter.Count("plan", "refused")
		klog.Warningf("role %s for engine %s: %v", c.Role, c.Engine, err)
		return
	}
	klog.Infof("order %d: engine %s becomes %s", o.Number, o.Engine, o.Role)
}

func (l *Leader) planInput() plan.Input {
	var in plan.Input
	now := l.clock.Now()
	l.readState(func(s *state.State, _ *ledger.Ledger) {
		v := s.View(0)
		_ = l.withLease(func(at time.Duration, _ uint64) {
			for _, e := range v.Engines {
				if isPlanned(e, s.Routing()) {
					in.Engines = append(in.Engines, l.planEngine(now, e, s.LastOrderClosed(e.Name), s.Routing()))
				}
			}
			demand := l.roster.Demand(at)
			for _, sv := range v.Services {
				if sv.Kind != state.KindModel {
					continue
				}
				d := demand[sv.Name]
				in.Demand = append(in.Demand, plan.Demand{
					Service: sv.Name, Model: sv.Model, Class: sv.Class, FirstTokenDeadline: sv.FirstTokenDeadline,
					RequestRate: d.RequestRate, PrefillRate: d.PrefillRate, DecodeRate: d.DecodeRate, RefusalRate: d.RefusalRate,
				})
			}
			in.Demand = append(in.Demand, poolDemand(s.Routing(), demand)...)
		})
	})
	return in
}

// poolDemand returns the demand for the pools of a routing table. Their engines
// are planned separately from those of services.
func poolDemand(r *state.RoutingTable, demand map[string]proto.Demand) []plan.Demand {
	if r == nil {
		return nil
	}
	var demands []plan.Demand
	for _, p := range r.Pools {
		if p.Spec == nil {
			continue
		}
		d := demand[p.Name]
		demands = append(demands, plan.Demand{
			Service: p.Name, Model: p.Name, Class: state.ClassFirst,
			RequestRate: d.RequestRate, PrefillRate: d.PrefillRate, DecodeRate: d.DecodeRate, RefusalRate: d.RefusalRate,
			GapTarget: r.GapTarget(p.Name),
		})
	}
	return demands
}

// isPlanned reports whether an engine may be ordered: a platform's list may name engines of
// pools that the routing table doesn't have.
func isPlanned(e state.Engine, r *state.RoutingTable) bool {
	if r == nil || e.Pool == "" {
		return true
	}
	p, found := r.Pool(e.Pool)
	return found && p.Spec != nil
}

func (l *Leader) planEngine(now time.Time, e state.Engine, changed time.Time, routing *state.RoutingTable) plan.Engine {
	p := plan.Engine{Name: e.Name, Centre: e.Centre, Model: cmp.Or(e.Pool, e.Model), Role: e.Role, Phase: e.Phase, ChangedAt: changed, Reclaimable: e.Reclaimable}
	r, heard := l.roster.Report(e.Name)
	if !heard {
		return p
	}
	if l.reportsLeaving(e.Name) {
		p.Phase = state.PhaseLeaving // also if an order is open
	}
	p.Alive, p.Running, p.Waiting, p.QueuedTokens = r.Alive, r.Running, r.Waiting, r.PrefillQueueTokens
	if silent, found := l.silentFor(e.Name, now); found && silent < maxSilence {
		p.Alive = true
	}
	p.KVUsage, p.TPOT, p.ReportAge = r.KVUsage, r.TPOT, now.Sub(r.At)
	p.PrefillRate, p.MaxBatch = r.PrefillRate, r.MaxBatch
	learned := l.roster.Speed(e.Name)
	p.Machine, p.SlowGap, p.LongStreams = learned.Machine, learned.SlowGap, l.roster.Load(e.Name).LongStreams
	if routing != nil {
		if pool, found := routing.Pool(e.Pool); found && pool.Spec != nil {
			p.MaxBatch = pool.Spec.BatchSize
		}
	}
	return p
}
