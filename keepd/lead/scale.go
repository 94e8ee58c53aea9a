package lead

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/duty"
	"verbenahaven.example/core/conn/guard"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/scale"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
)

// scalePeriod is the time between two decisions on the number of engines.
const scalePeriod = 250 * time.Millisecond

// scaler orders engines for the pools whose number of engines may change, while this
// member leads.
type scaler struct {
	leader *Leader
	group  sync.WaitGroup // of the calls to the platform

	mutex   sync.Mutex
	term    uint64
	machine *scale.Machine // of the term
}

// runScaling decides once per period on the number of engines. Each term starts without
// history.
func (l *Leader) runScaling(ctx context.Context) {
	if l.duties == nil || l.discovery == nil || !l.settings.Duties.Autoscale {
		return
	}
	s := &scaler{leader: l}
	runEvery(ctx, scalePeriod, func() { s.step(ctx) })
	s.group.Wait()
}

// step lets the machine decide and sends its orders.
func (s *scaler) step(ctx context.Context) {
	l := s.leader
	d := l.currentDuty()
	if term := l.heldTerm(); term == 0 || d.Term != term || l.pathIsCut() {
		return // without its path to the engines the leader doesn't know which of them serve
	}
	now := l.clock.Elapsed()
	fence, w, ok := l.dutyFence(now)
	in := l.scaleInput()
	in.MayOrder = ok
	s.mutex.Lock()
	if d.Term != s.term {
		s.term = d.Term
		s.machine = scale.New(scale.Settings{ListLag: l.settings.Duties.ListLag, First: d.First})
	}
	m := s.machine
	orders := m.Step(now, in)
	for _, p := range in.Pools {
		l.meter.Set(int64(m.Needed(p.Name)), "scale", "needed", p.Name)
	}
	s.mutex.Unlock()
	for _, o := range orders {
		if !l.allowDuty() {
			l.meter.Count("scale", "rate")
			s.handleResult(m, o, scale.Retry)
			continue
		}
		s.group.Go(func() { s.send(ctx, m, w, fence, o) })
	}
}

func (s *scaler) handleResult(m *scale.Machine, o scale.Order, r scale.Outcome) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m.HandleResult(s.leader.clock.Elapsed(), o, r)
}

// send sends an order, and records it with its inputs and its outcome.
func (s *scaler) send(ctx context.Context, m *scale.Machine, w *guard.Writer, fence uint64, o scale.Order) {
	l := s.leader
	result, err := l.duties.OrderEngines(ctx, w, fence, o.Target)
	outcome, name := scaleOutcome(result, err)
	s.handleResult(m, o, outcome)
	l.meter.Count("scale", name)
	klog.InfoS("engines ordered", "pool", o.Pool, "centre", o.Centre, "reclaimable", o.Reclaimable, "engines", o.Engines, "before", o.From,
		"result", name, "fence", fence, "reason", o.Reason, "observed", o.Observed, "planned", o.Planned, "err", err)
	kind := "on-demand"
	if o.Reclaimable {
		kind = "reclaimable"
	}
	_, err = propose[state.Decision](ctx, l, store.Command{RecordDecision: &state.Decision{
		Engine: o.Pool + "/" + o.Centre, Observed: o.Observed, Considered: o.Planned,
		Chosen: fmt.Sprintf("%d %s engines in %s, %d before: %s; %s", o.Engines, kind, o.Centre, o.From, o.Reason, name),
	}})
	if err != nil {
		klog.InfoS("decision not recorded", "err", err)
	}
}

// scaleOutcome translates the result of a call, and names it for logs and metrics.
func scaleOutcome(r duty.Result, err error) (scale.Outcome, string) {
	switch {
	case errors.Is(err, guard.ErrLeaseTooShort):
		return scale.Retry, "lease"
	case err != nil:
		return scale.Unanswered, "unanswered"
	case r == duty.Accepted:
		return scale.Ordered, "ordered"
	case r == duty.Refused:
		return scale.Unavailable, "unavailable"
	case r == duty.Fenced:
		return scale.Fenced, "fenced"
	}
	return scale.Retry, "retry"
}

func (l *Leader) pathIsCut() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.path.cut
}

func (l *Leader) scaleInput() scale.Input {
	var in scale.Input
	now := l.clock.Now()
	l.readState(func(s *state.State, _ *ledger.Ledger) {
		if s.Routing() == nil {
			return
		}
		engines := s.View(0).Engines
		_ = l.withLease(func(at time.Duration, _ uint64) {
			demand := l.roster.Demand(at)
			for _, p := range s.Routing().Pools {
				if p.Autoscale != nil && p.Spec != nil {
					in.Pools = append(in.Pools, scalePool(p, demand[p.Name]))
				}
			}
			for _, e := range engines {
				in.Engines = append(in.Engines, l.scaleEngine(now, e))
			}
		})
	})
	return in
}

func scalePool(p state.Pool, d proto.Demand) scale.Pool {
	return scale.Pool{
		Name: p.Name, Bounds: *p.Autoscale, Batch: p.Spec.BatchSize,
		RequestRate: d.RequestRate, PrefillRate: d.PrefillRate, RefusalRate: d.RefusalRate,
	}
}

func (l *Leader) scaleEngine(now time.Time, e state.Engine) scale.Engine {
	v := scale.Engine{Pool: e.Pool, Centre: e.Centre, Reclaimable: e.Reclaimable, Role: e.Role, Phase: e.Phase}
	r, fresh := l.freshReport(now, e.Name)
	if fresh && r.Leaving {
		v.Phase = state.PhaseLeaving // also if an order is open
	}
	v.Alive, v.Streams, v.PrefillRate, v.PrefillDelay = fresh, r.Running+r.Waiting, r.PrefillRate, r.PrefillDelay
	return v
}
