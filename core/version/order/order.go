// Package order decides what the leader does about open orders to engines:
// when to adopt, probe, send and close them. It is a pure state machine; the
// intent of each order is in the replicated log before it gets here.
package order

import (
	"fmt"
	"slices"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/version/state"
)

// Settings are the time bounds of orders.
type Settings struct {
	Lease  time.Duration // longest lease of a leader
	Margin time.Duration // of the lease that must remain when an order is sent
	Flight time.Duration // longest time that bytes stay in the network
	Drain  time.Duration // longest wait for requests that still run
	Limit  time.Duration // time after which an order that can't be delivered fails
	Pause  time.Duration // between probes of an engine
	Report time.Duration // by which the engine's own account may lag
	Settle time.Duration // from the start of a term to its first order, so that leaders don't take turns
}

// clockRate is the share by which the clocks of two instances may drift apart
// while a lease runs: one part in rateParts.
const rateParts = 100

// Target is an open order with what the leader knows of its engine.
type Target struct {
	Order   state.Order
	URL     string
	Fenced  bool
	Settled bool // no instance sends it new requests or has any running there
}

// Input is what the leader sees now.
type Input struct {
	Term      uint64        // 0 when this member doesn't lead
	Remaining time.Duration // of the lease
	Open      []Target
}

// ActionKind tells what to do.
type ActionKind uint8

// Kinds of action.
const (
	ActionAdopt ActionKind = iota + 1
	ActionProbe
	ActionSend
	ActionClose
)

// Action is one thing to do. Each is answered by one call of Done for its
// order; until then the machine asks nothing else about that engine.
type Action struct {
	Kind   ActionKind
	Order  state.Order
	URL    string
	Seen   uint64 // of a send: the engine's count of orders, as the last probe found it
	Status string // of a close
	Reason string // of a close
}

// Result is how an action ended.
type Result struct {
	Kind   ActionKind
	Number uint64
	// Failed tells that no answer came. Bytes of a failed send may still be
	// in the network.
	Failed bool
	Status engine.Status      // of a probe
	Order  engine.OrderResult // of a send
}

// task is the progress of one order under one leader.
type task struct {
	number  uint64
	since   time.Duration // start of the task, or when the engine was last seen changing
	quiet   time.Duration // before it, bytes sent earlier may still arrive
	next    time.Duration // earliest next probe
	waiting bool          // an action is being carried out
	ready   bool          // the last probe found the engine fit for the order
	seen    uint64        // the engine's count of orders at that probe
}

// Machine drives all open orders of one leader.
type Machine struct {
	settings Settings
	term     uint64
	led      time.Duration // when this term began here
	tasks    map[string]*task
}

// New returns a machine of a member that doesn't lead.
func New(s Settings) *Machine {
	return &Machine{settings: s, tasks: make(map[string]*task)}
}

// Step returns what to do now. The time must not run backwards.
func (m *Machine) Step(now time.Duration, in Input) []Action {
	if in.Term != m.term {
		m.term, m.led = in.Term, now
		clear(m.tasks)
	}
	if in.Term == 0 {
		return nil
	}
	m.forget(in.Open)
	var actions []Action
	for _, t := range in.Open {
		a, ok := m.step(now, in.Remaining, t)
		if !ok {
			continue
		}
		m.tasks[t.Order.Engine].waiting = true
		actions = append(actions, a)
	}
	return actions
}

// forget drops the tasks whose order was closed.
func (m *Machine) forget(open []Target) {
	for name, k := range m.tasks {
		if !slices.ContainsFunc(open, func(t Target) bool { return t.Order.Number == k.number }) {
			delete(m.tasks, name)
		}
	}
}

func (m *Machine) step(now, remaining time.Duration, t Target) (Action, bool) {
	k := m.tasks[t.Order.Engine]
	if k == nil {
		k = &task{number: t.Order.Number, since: now}
		m.tasks[t.Order.Engine] = k
	}
	if k.number != t.Order.Number {
		panic(fmt.Sprintf("order: orders %d and %d are open on engine %s", k.number, t.Order.Number, t.Order.Engine))
	}
	if k.waiting {
		return Action{}, false
	}
	if t.Order.Term != m.term {
		if !t.Fenced {
			// The order of an earlier leader may still be under way.
			k.quiet = m.led + m.takeover()
		}
		return Action{Kind: ActionAdopt, Order: t.Order}, true
	}
	late := now-k.since >= m.settings.Drain
	switch {
	case now < k.quiet || now < k.next || now-m.led < m.settings.Settle:
		return Action{}, false
	case !t.Settled && !late:
		return Action{}, false
	case k.ready && remaining > m.settings.Margin:
		k.ready = false
		return Action{Kind: ActionSend, Order: t.Order, URL: t.URL, Seen: k.seen}, true
	case now-k.since >= m.settings.Drain+m.settings.Limit:
		return Action{Kind: ActionClose, Order: t.Order, Status: state.OrderFailed, Reason: "not delivered in time"}, true
	}
	k.next = now + m.settings.Pause
	return Action{Kind: ActionProbe, Order: t.Order, URL: t.URL}, true
}

// takeover is how long a new leader waits before it touches an engine with an
// order of an earlier leader: the longest lease on the slowest clock, and the
// time that bytes may stay in the network after it.
func (m *Machine) takeover() time.Duration {
	return m.settings.Lease + m.settings.Lease/rateParts + m.settings.Flight
}

// Done takes the result of an action. It returns the close that follows, if
// any.
func (m *Machine) Done(now time.Duration, t Target, r Result) (Action, bool) {
	k := m.tasks[t.Order.Engine]
	if k == nil || k.number != r.Number || !k.waiting {
		return Action{}, false
	}
	k.waiting = false
	switch r.Kind {
	case ActionSend:
		return m.answered(now, k, t, r)
	case ActionProbe:
		return m.probed(now, k, t, r)
	}
	return Action{}, false
}

func (m *Machine) answered(now time.Duration, k *task, t Target, r Result) (Action, bool) {
	switch {
	case r.Failed && t.Fenced:
		k.next = now + m.settings.Pause
	case r.Failed:
		k.quiet = now + m.settings.Flight
	case r.Order.Accepted:
		k.next = now + max(m.settings.Pause, m.settings.Report)
	case r.Order.Reason == engine.ReasonBusy:
		k.next = now + m.settings.Pause
	default:
		k.waiting = true
		return Action{Kind: ActionClose, Order: t.Order, Status: state.OrderFailed, Reason: r.Order.Reason}, true
	}
	return Action{}, false
}

func (m *Machine) probed(now time.Duration, k *task, t Target, r Result) (Action, bool) {
	s := r.Status
	switch {
	case r.Failed:
		return Action{}, false
	case s.Changing:
		k.since = now // however long that takes
		return Action{}, false
	case fulfils(s, t.Order):
		k.waiting = true
		return Action{Kind: ActionClose, Order: t.Order, Status: state.OrderDone}, true
	case s.Running > 0 && now-k.since < m.settings.Drain:
		return Action{}, false
	}
	k.ready, k.next, k.seen = true, now, s.Number
	return Action{}, false
}

func matches[T ~string](wanted, found T) bool {
	return wanted == "" || wanted == found
}

// fulfils tells whether an engine runs what an order asks for. What an order
// leaves out stays as it is.
func fulfils(s engine.Status, o state.Order) bool {
	return matches(o.Role, s.Role) && matches(o.Model, s.Model) && matches(o.Adapter, s.Adapter) && matches(o.Revision, s.Revision)
}
