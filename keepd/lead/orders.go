package lead

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/guard"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/version/ledger"
	"verbenahaven.example/core/version/order"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/store"
)

const (
	orderTickPeriod      = 20 * time.Millisecond
	minProbeInterval     = 100 * time.Millisecond // of one engine
	undeliverableTimeout = 2 * time.Minute        // after which an undeliverable order fails
	exchangeTimeout      = 2 * time.Second        // of one request to an engine
	orderWorkers         = 16
	workQueueSize        = 64
	maxStatusBytes       = 1 << 20 // of an engine's status
)

// actionResult is a finished action and its result.
type actionResult struct {
	action order.Action
	result order.Result
}

// runOrders delivers the open orders. One goroutine schedules actions;
// workers exchange requests with the engines and the log.
func (l *Leader) runOrders(ctx context.Context) {
	work := make(chan order.Action, workQueueSize)
	results := make(chan actionResult, workQueueSize)
	var group sync.WaitGroup
	for range orderWorkers {
		group.Go(func() { l.runOrderWorker(ctx, work, results) })
	}
	l.scheduleOrders(ctx, work, results)
	close(work)
	group.Wait()
}

func (l *Leader) scheduleOrders(ctx context.Context, work chan<- order.Action, results <-chan actionResult) {
	m := order.New(order.Settings{
		Lease:           time.Duration(l.settings.Order.Lease) + time.Duration(l.settings.Group.Election),
		LeaseMargin:     time.Duration(l.settings.Order.Margin),
		MaxNetworkDelay: time.Duration(l.settings.Order.MaxNetworkDelay),
		DrainTimeout:    time.Duration(l.settings.Order.DrainTimeout),
		DeliveryTimeout: undeliverableTimeout,
		ProbeInterval:   minProbeInterval,
		ReportLag:       time.Duration(l.settings.Order.ReportLag),
		StartDelay:      time.Duration(l.settings.Order.StartDelay),
	})
	targets := make(map[uint64]order.Target)
	ticker := time.NewTicker(orderTickPeriod)
	defer ticker.Stop()
	for {
		var actions []order.Action
		select {
		case <-ctx.Done():
			return
		case d := <-results:
			t := targets[d.action.Order.Number]
			if a, ok := m.HandleResult(l.clock.Elapsed(), t, d.result); ok {
				actions = append(actions, a)
			}
		case <-ticker.C:
			in := l.orderInput()
			clear(targets)
			for _, t := range in.Open {
				targets[t.Order.Number] = t
			}
			actions = m.Step(l.clock.Elapsed(), in)
		}
		for _, a := range actions {
			l.dispatch(m, targets, work, a)
		}
	}
}

// dispatch queues an action for the workers. When the queue is full, the action
// counts as failed and the dispatcher retries it.
func (l *Leader) dispatch(m *order.Dispatcher, targets map[uint64]order.Target, work chan<- order.Action, a order.Action) {
	select {
	case work <- a:
	default:
		l.meter.Count("order", "refused", "ring")
		m.HandleResult(l.clock.Elapsed(), targets[a.Order.Number], order.Result{Kind: a.Kind, Number: a.Order.Number, Failed: true})
	}
}

// orderValidity returns how long orders of a term may still be in transit.
// While the leader's lease holds, this is the rest of that lease plus the order
// lease; a successor waits that long before it sends to the engine. Without the
// lease it is 0 and nothing may be sent.
func (l *Leader) orderValidity(term uint64) time.Duration {
	leaseTerm, remaining := l.log.Lease()
	if leaseTerm != term || remaining <= 0 {
		return 0
	}
	return remaining + time.Duration(l.settings.Order.Lease)
}

// guardedWriter returns a writer that sends only while orders of a term are valid.
func (l *Leader) guardedWriter(term uint64) *guard.Writer {
	return guard.New(func() time.Duration { return l.orderValidity(term) }, time.Duration(l.settings.Order.Margin), exchangeTimeout)
}

func (l *Leader) orderInput() order.Input {
	in := order.Input{Term: l.heldTerm()}
	if in.Term == 0 {
		return in
	}
	in.LeaseRemaining = l.orderValidity(in.Term)
	l.readState(func(s *state.State, _ *ledger.Ledger) {
		open := s.OpenOrders()
		if len(open) == 0 {
			return
		}
		members := s.Members()
		for _, o := range open {
			e, found := s.Engine(o.Engine)
			if !found {
				continue
			}
			t := order.Target{Order: o, URL: e.URL, Fenced: e.ChecksFencing}
			leaving := false
			_ = l.withLease(func(time.Duration, uint64) {
				t.Drained = l.roster.Drained(members, e.Name, e.Version)
				leaving = l.reportsLeaving(e.Name)
			})
			if !leaving { // else the order ends with the engine
				in.Open = append(in.Open, t)
			}
		}
	})
	return in
}

func (l *Leader) runOrderWorker(ctx context.Context, work <-chan order.Action, results chan<- actionResult) {
	for a := range work {
		r := l.executeAction(ctx, a)
		select {
		case results <- actionResult{a, r}:
		case <-ctx.Done():
		}
	}
}

func (l *Leader) executeAction(ctx context.Context, a order.Action) order.Result {
	r := order.Result{Kind: a.Kind, Number: a.Order.Number}
	var err error
	switch a.Kind {
	case order.ActionAdopt:
		_, err = propose[state.Order](ctx, l, store.Command{AdoptOrder: &store.OrderAdoption{Number: a.Order.Number}})
	case order.ActionClose:
		klog.Infof("order %d on engine %s: %s %s", a.Order.Number, a.Order.Engine, a.Status, a.Reason)
		_, err = propose[any](ctx, l, store.Command{CloseOrder: &store.OrderResult{Number: a.Order.Number, Status: a.Status, Reason: a.Reason}})
		l.meter.Count("order", a.Status)
	case order.ActionProbe:
		r.Status, err = l.probeEngine(ctx, a)
	case order.ActionSend:
		r.Order, err = l.sendOrder(ctx, a)
	}
	r.Failed = err != nil
	if err != nil {
		l.meter.Count("order", "retry", actionName(a.Kind))
		klog.V(1).Infof("order %d: %v", a.Order.Number, err)
	}
	return r
}

func actionName(k order.ActionKind) string {
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

func (l *Leader) sendOrder(ctx context.Context, a order.Action) (engine.OrderResult, error) {
	w := l.guardedWriter(a.Order.Term)
	l.meter.Count("order", "sent")
	result, err := l.engines.Order(ctx, w, l.engineOf(a), a.Order, a.LastNumber)
	klog.InfoS("order sent", "order", a.Order.Number, "engine", a.Order.Engine, "role", a.Order.Role, "fence", a.Order.FencingToken,
		"term", a.Order.Term, "seen", a.LastNumber, "accepted", result.Accepted, "reason", result.Reason, "err", err)
	if err != nil {
		if errors.Is(err, guard.ErrLeaseTooShort) {
			l.meter.Count("order", "refused", "lease")
		}
		return result, err //nolint:wrapcheck // the error names the engine
	}
	switch {
	case !result.Accepted:
		l.meter.Count("order", "refused", result.Reason)
	case l.discovery != nil:
		_ = l.withLease(func(time.Duration, uint64) { l.roster.RecordOrders(a.Order.Engine, a.LastNumber+1) })
	}
	return result, nil
}

// engineOf returns the engine of an action's order, with the action's URL.
func (l *Leader) engineOf(a order.Action) state.Engine {
	var e state.Engine
	l.readState(func(s *state.State, _ *ledger.Ledger) { e, _ = s.Engine(a.Order.Engine) })
	e.Name, e.URL = a.Order.Engine, a.URL
	return e
}

func (l *Leader) probeEngine(ctx context.Context, a order.Action) (engine.Status, error) {
	var status engine.Status
	err := l.observe(ctx, server.HostPort(a.URL), func() (err error) {
		probeCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		status, err = l.engines.Probe(probeCtx, l.engineOf(a))
		return err //nolint:wrapcheck // executeAction counts it by kind
	})
	return status, err
}
