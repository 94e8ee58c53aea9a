package lead

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/guard"
	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/order"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
)

const (
	orderTick    = 20 * time.Millisecond
	orderPause   = 100 * time.Millisecond // between probes of an engine
	orderLimit   = 2 * time.Minute        // after which an undeliverable order fails
	orderWait    = 2 * time.Second        // for one exchange with an engine
	orderWorkers = 16
	orderRing    = 64
	maxStatus    = 1 << 20 // bytes of an engine's status
)

// done is a finished action with its result.
type done struct {
	action order.Action
	result order.Result
}

// runOrders drives the open orders. One goroutine decides; workers do the
// exchanges with engines and the log.
func (l *Lead) runOrders(ctx context.Context) {
	work := make(chan order.Action, orderRing)
	results := make(chan done, orderRing)
	var group sync.WaitGroup
	for range orderWorkers {
		group.Go(func() { l.carry(ctx, work, results) })
	}
	l.decideOrders(ctx, work, results)
	close(work)
	group.Wait()
}

func (l *Lead) decideOrders(ctx context.Context, work chan<- order.Action, results <-chan done) {
	m := order.New(order.Settings{
		Lease:  time.Duration(l.settings.Order.Lease) + time.Duration(l.settings.Group.Election),
		Margin: time.Duration(l.settings.Order.Margin),
		Flight: time.Duration(l.settings.Order.Flight),
		Drain:  time.Duration(l.settings.Order.Drain),
		Limit:  orderLimit,
		Pause:  orderPause,
		Report: time.Duration(l.settings.Order.Report),
		Settle: time.Duration(l.settings.Order.Settle),
	})
	targets := make(map[uint64]order.Target)
	ticks := time.NewTicker(orderTick)
	defer ticks.Stop()
	for {
		var actions []order.Action
		select {
		case <-ctx.Done():
			return
		case d := <-results:
			t := targets[d.action.Order.Number]
			if a, ok := m.Done(l.clock.Elapsed(), t, d.result); ok {
				actions = append(actions, a)
			}
		case <-ticks.C:
			in := l.orderInput()
			clear(targets)
			for _, t := range in.Open {
				targets[t.Order.Number] = t
			}
			actions = m.Step(l.clock.Elapsed(), in)
		}
		for _, a := range actions {
			l.hand(m, targets, work, a)
		}
	}
}

// hand gives an action to the workers. When all are busy the machine hears
// that it failed and asks again later.
func (l *Lead) hand(m *order.Machine, targets map[uint64]order.Target, work chan<- order.Action, a order.Action) {
	select {
	case work <- a:
	default:
		l.meter.Count("order", "refused", "ring")
		m.Done(l.clock.Elapsed(), targets[a.Order.Number], order.Result{Kind: a.Kind, Number: a.Order.Number, Failed: true})
	}
}

// orderLease is for how long orders of a term may be on their way. While the
// leadership is certain this is the order lease on top of what remains of it;
// a successor waits that long before it touches the engine. Without certainty
// nothing may be written.
func (l *Lead) orderLease(term uint64) time.Duration {
	held, remaining := l.log.Lease()
	if held != term || remaining <= 0 {
		return 0
	}
	return remaining + time.Duration(l.settings.Order.Lease)
}

func (l *Lead) orderInput() order.Input {
	in := order.Input{Term: l.leading()}
	if in.Term == 0 {
		return in
	}
	in.Remaining = l.orderLease(in.Term)
	l.read(func(s *state.State, _ *ledger.Ledger) {
		open := s.Open()
		if len(open) == 0 {
			return
		}
		members := s.Members()
		for _, o := range open {
			e, found := s.Engine(o.Engine)
			if !found {
				continue
			}
			t := order.Target{Order: o, URL: e.URL, Fenced: e.Fenced}
			_ = l.hold(func(time.Duration, uint64) { t.Settled = l.roster.Settled(members, e.Name, e.Version) })
			in.Open = append(in.Open, t)
		}
	})
	return in
}

func (l *Lead) carry(ctx context.Context, work <-chan order.Action, results chan<- done) {
	for a := range work {
		r := l.carryOne(ctx, a)
		select {
		case results <- done{a, r}:
		case <-ctx.Done():
		}
	}
}

func (l *Lead) carryOne(ctx context.Context, a order.Action) order.Result {
	r := order.Result{Kind: a.Kind, Number: a.Order.Number}
	var err error
	switch a.Kind {
	case order.ActionAdopt:
		_, err = propose[state.Order](ctx, l, store.Command{Adopt: &store.Adoption{Number: a.Order.Number}})
	case order.ActionClose:
		klog.Infof("order %d on engine %s: %s %s", a.Order.Number, a.Order.Engine, a.Status, a.Reason)
		_, err = propose[any](ctx, l, store.Command{Finish: &store.Finish{Number: a.Order.Number, Status: a.Status, Reason: a.Reason}})
		l.meter.Count("order", a.Status)
	case order.ActionProbe:
		r.Status, err = l.probe(ctx, a)
	case order.ActionSend:
		r.Order, err = l.send(ctx, a)
	}
	r.Failed = err != nil
	if err != nil {
		l.meter.Count("order", "retry", kindName(a.Kind))
		klog.V(1).Infof("order %d: %v", a.Order.Number, err)
	}
	return r
}

func kindName(k order.ActionKind) string {
	switch k {
	case order.ActionAdopt:
		return "adopt"
	case order.ActionClose:
		return "close"
	case order.ActionProbe:
		return "probe"
	}
	return "send"
}

func (l *Lead) send(ctx context.Context, a order.Action) (engine.OrderResult, error) {
	term := a.Order.Term
	w := guard.New(func() time.Duration { return l.orderLease(term) }, time.Duration(l.settings.Order.Margin), orderWait)
	l.meter.Count("order", "sent")
	result, err := l.engines.Order(ctx, w, l.engineOf(a), a.Order, a.Seen)
	klog.InfoS("order sent", "order", a.Order.Number, "engine", a.Order.Engine, "role", a.Order.Role, "fence", a.Order.Fence,
		"term", a.Order.Term, "seen", a.Seen, "accepted", result.Accepted, "reason", result.Reason, "err", err)
	if err != nil {
		if errors.Is(err, guard.ErrLease) {
			l.meter.Count("order", "refused", "lease")
		}
		return result, err //nolint:wrapcheck // it names the engine
	}
	if !result.Accepted {
		l.meter.Count("order", "refused", result.Reason)
	}
	return result, nil
}

// engineOf returns the engine of an order, with the address of the action.
func (l *Lead) engineOf(a order.Action) state.Engine {
	var e state.Engine
	l.read(func(s *state.State, _ *ledger.Ledger) { e, _ = s.Engine(a.Order.Engine) })
	e.Name, e.URL = a.Order.Engine, a.URL
	return e
}

func (l *Lead) probe(ctx context.Context, a order.Action) (engine.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, orderWait)
	defer cancel()
	return l.engines.Probe(ctx, l.engineOf(a)) //nolint:wrapcheck // counted with its kind
}
