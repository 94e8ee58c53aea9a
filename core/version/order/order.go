// Package order drives the delivery of orders (changes of role, model, adapter
// or revision) from the leader to engines: it decides when to adopt, probe, send
// and close each open order. It is a state machine without I/O; each order is
// committed to the replicated log before it gets here.
package order

import (
	"fmt"
	"slices"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/version/state"
)

// Settings holds the timeouts and intervals of order delivery.
type Settings struct {
	Lease           time.Duration // longest lease of a leader
	LeaseMargin     time.Duration // least lease time left when an order is sent
	MaxNetworkDelay time.Duration // longest time that bytes stay in the network
	DrainTimeout    time.Duration // longest wait for running requests to end
	DeliveryTimeout time.Duration // time after the drain in which an order must be delivered, or it fails
	ProbeInterval   time.Duration // between probes of an engine
	ReportLag       time.Duration // longest lag of the status that an engine reports
	StartDelay      time.Duration // from the start of a term to its first order, so that leaders in quick succession don't each send orders
}

// clockDriftDivisor bounds the drift between the clocks of two instances: at
// most 1/clockDriftDivisor of a lease.
const clockDriftDivisor = 100

// Target is an open order and the state of its engine.
type Target struct {
	Order   state.Order
	URL     string
	Fenced  bool // the engine rejects orders with an older fencing token
	Drained bool // no instance sends the engine new requests or has any running there
}

// Input is the leader's current term, lease and open orders.
type Input struct {
	Term           uint64        // 0 when this member isn't the leader
	LeaseRemaining time.Duration // until the lease ends
	Open           []Target
}

// ActionKind selects what the caller does for an order.
type ActionKind uint8

// The kinds of action.
const (
	ActionAdopt ActionKind = iota + 1 // commit that this term takes over the order
	ActionProbe                       // read the engine's status
	ActionSend                        // send the order to the engine
	ActionClose                       // commit the final status of the order
)

// Action is a request to the caller, who must report its result exactly once.
// Until then no other action for the same engine is returned.
type Action struct {
	Kind       ActionKind
	Order      state.Order
	URL        string
	LastNumber uint64 // for a send: number of the engine's last order, by the last probe
	Status     string // for a close
	Reason     string // for a close
}

// Result is the outcome of an action.
type Result struct {
	Kind   ActionKind
	Number uint64 // of the order
	// Failed is set when no response came. Bytes of a failed send may still be
	// in the network.
	Failed bool
	Status engine.Status      // of a probe
	Order  engine.OrderResult // of a send
}

// delivery is the progress of one order under one leader.
type delivery struct {
	number       uint64
	lastProgress time.Duration // start of the delivery, or when a probe last found the engine changing
	quietUntil   time.Duration // until then, bytes sent earlier may still arrive
	nextProbe    time.Duration // earliest time of the next probe
	pending      bool          // an action has no result yet
	ready        bool          // the last probe found that the order can be sent
	lastNumber   uint64        // number of the engine's last order, by that probe
}

// Dispatcher delivers all open orders of one leader.
type Dispatcher struct {
	settings   Settings
	term       uint64
	termStart  time.Duration        // when this term began here
	deliveries map[string]*delivery // by engine
}

// New returns a dispatcher for a member that isn't the leader yet.
func New(s Settings) *Dispatcher {
	return &Dispatcher{settings: s, deliveries: make(map[string]*delivery)}
}

// Step returns the actions that are due. The time must not run backwards.
func (m *Dispatcher) Step(now time.Duration, in Input) []Action {
	if in.Term != m.term {
		m.term, m.termStart = in.Term, now
		clear(m.deliveries)
	}
	if in.Term == 0 {
		return nil
	}
	m.dropClosed(in.Open)
	var actions []Action
	for _, t := range in.Open {
		a, ok := m.nextAction(now, in.LeaseRemaining, t)
		if !ok {
			continue
		}
		m.deliveries[t.Order.Engine].pending = true
		actions = append(actions, a)
	}
	return actions
}

// dropClosed removes the deliveries whose order was closed.
func (m *Dispatcher) dropClosed(open []Target) {
	for name, d := range m.deliveries {
		if !slices.ContainsFunc(open, func(t Target) bool { return t.Order.Number == d.number }) {
			delete(m.deliveries, name)
		}
	}
}

// nextAction returns the action that is due for an order, if any.
func (m *Dispatcher) nextAction(now, remaining time.Duration, t Target) (Action, bool) {
	d := m.deliveries[t.Order.Engine]
	if d == nil {
		d = &delivery{number: t.Order.Number, lastProgress: now}
		m.deliveries[t.Order.Engine] = d
	}
	if d.number != t.Order.Number {
		panic(fmt.Sprintf("order: orders %d and %d are both open for engine %s, expected one", d.number, t.Order.Number, t.Order.Engine))
	}
	if d.pending {
		return Action{}, false
	}
	if t.Order.Term != m.term {
		if !t.Fenced {
			// A send by an earlier leader may still be in the network.
			d.quietUntil = m.termStart + m.takeoverDelay()
		}
		return Action{Kind: ActionAdopt, Order: t.Order}, true
	}
	drainExpired := now-d.lastProgress >= m.settings.DrainTimeout
	switch {
	case now < d.quietUntil || now < d.nextProbe || now-m.termStart < m.settings.StartDelay:
		return Action{}, false
	case !t.Drained && !drainExpired:
		return Action{}, false
	case d.ready && remaining > m.settings.LeaseMargin:
		d.ready = false
		return Action{Kind: ActionSend, Order: t.Order, URL: t.URL, LastNumber: d.lastNumber}, true
	case now-d.lastProgress >= m.settings.DrainTimeout+m.settings.DeliveryTimeout:
		return Action{Kind: ActionClose, Order: t.Order, Status: state.OrderFailed, Reason: "not delivered in time"}, true
	}
	d.nextProbe = now + m.settings.ProbeInterval
	return Action{Kind: ActionProbe, Order: t.Order, URL: t.URL}, true
}

// takeoverDelay returns how long a new leader waits before it probes or sends to
// an unfenced engine with an order of an earlier leader: the longest lease by the
// slowest clock, and the time that bytes may stay in the network after it.
func (m *Dispatcher) takeoverDelay() time.Duration {
	return m.settings.Lease + m.settings.Lease/clockDriftDivisor + m.settings.MaxNetworkDelay
}

// HandleResult records the result of an action. It returns the close action that
// follows, if any.
func (m *Dispatcher) HandleResult(now time.Duration, t Target, r Result) (Action, bool) {
	d := m.deliveries[t.Order.Engine]
	if d == nil || d.number != r.Number || !d.pending {
		return Action{}, false
	}
	d.pending = false
	switch r.Kind {
	case ActionSend:
		return m.handleSend(now, d, t, r)
	case ActionProbe:
		return m.handleProbe(now, d, t, r)
	}
	return Action{}, false
}

func (m *Dispatcher) handleSend(now time.Duration, d *delivery, t Target, r Result) (Action, bool) {
	switch {
	case r.Failed && t.Fenced:
		d.nextProbe = now + m.settings.ProbeInterval
	case r.Failed:
		d.quietUntil = now + m.settings.MaxNetworkDelay
	case r.Order.Accepted:
		d.nextProbe = now + max(m.settings.ProbeInterval, m.settings.ReportLag)
	case r.Order.Reason == engine.ReasonBusy:
		d.nextProbe = now + m.settings.ProbeInterval
	default:
		d.pending = true
		return Action{Kind: ActionClose, Order: t.Order, Status: state.OrderFailed, Reason: r.Order.Reason}, true
	}
	return Action{}, false
}

func (m *Dispatcher) handleProbe(now time.Duration, d *delivery, t Target, r Result) (Action, bool) {
	s := r.Status
	switch {
	case r.Failed:
		return Action{}, false
	case s.Changing:
		d.lastProgress = now // a running change has no time limit
		return Action{}, false
	case satisfies(s, t.Order):
		d.pending = true
		return Action{Kind: ActionClose, Order: t.Order, Status: state.OrderDone}, true
	case s.Running > 0 && now-d.lastProgress < m.settings.DrainTimeout:
		return Action{}, false
	}
	d.ready, d.nextProbe, d.lastNumber = true, now, s.LastOrder
	return Action{}, false
}

// unsetOrEqual reports whether an order's field is empty or has the value found.
func unsetOrEqual[T ~string](wanted, actual T) bool {
	return wanted == "" || wanted == actual
}

// satisfies reports whether an engine already runs what an order asks for.
// Fields that the order leaves empty may have any value.
func satisfies(s engine.Status, o state.Order) bool {
	return unsetOrEqual(o.Role, s.Role) && unsetOrEqual(o.Model, s.Model) && unsetOrEqual(o.Adapter, s.Adapter) && unsetOrEqual(o.Revision, s.Revision)
}
