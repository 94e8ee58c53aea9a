package order_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/version/order"
	"verbenahaven.example/core/version/state"
)

const (
	tick         = 20 * time.Millisecond
	lease        = 400 * time.Millisecond
	networkDelay = 800 * time.Millisecond
)

func settings() order.Settings {
	return order.Settings{
		Lease: lease, LeaseMargin: 40 * time.Millisecond, MaxNetworkDelay: networkDelay,
		DrainTimeout: 200 * time.Millisecond, DeliveryTimeout: 20 * time.Second, ProbeInterval: 40 * time.Millisecond,
	}
}

// packet is an order in the network, on its way to the engine.
type packet struct {
	order   state.Order
	arrival time.Duration
}

// leader is one term's dispatcher. It may be paused, and may outlive its lease.
type leader struct {
	dispatcher  *order.Dispatcher
	term        uint64
	leaseEnd    time.Duration
	pausedUntil time.Duration // it executes nothing until then
	actions     []order.Action
}

// simulation holds a replicated state, leaders of increasing terms and one engine
// that executes every order that reaches it, unless it is fenced and the order's
// fencing token is too old.
type simulation struct {
	t           *rapid.T
	rng         *rand.Rand // uniform, unlike draws of rapid
	now         time.Duration
	state       *state.State
	index       uint64
	fenced      bool
	leaders     []*leader
	network     []packet
	engine      engine.Status
	changeEnd   time.Duration
	changeOrder state.Order // of the running or last change
	lastNumber  uint64      // number of the order that the engine took last
	closed      int         // number of closed orders
}

func (s *simulation) commit(change func()) {
	s.index++
	s.state.BeginCommand(s.index, time.Unix(0, 0).Add(s.now))
	change()
}

// deliver hands an order to the engine and fails the test if it comes after an
// order with a higher number or during another change.
func (s *simulation) deliver(o state.Order) {
	if s.fenced && o.FencingToken < s.engine.Fence {
		return
	}
	if o.Number < s.lastNumber || s.engine.Changing && o.Number != s.changeOrder.Number {
		s.t.Fatalf("order %d with fence %d conflicts with order %d (changing %v)", o.Number, o.FencingToken, s.lastNumber, s.engine.Changing)
	}
	s.engine.Fence, s.lastNumber = max(s.engine.Fence, o.FencingToken), o.Number
	if o.Role == s.engine.Role && !s.engine.Changing {
		return
	}
	s.engine.Changing, s.changeOrder, s.changeEnd = true, o, s.now+100*time.Millisecond
}

// stepLeader runs the dispatcher of a leader and queues its actions.
func (s *simulation) stepLeader(l *leader) {
	var target order.Target
	in := order.Input{Term: l.term, LeaseRemaining: l.leaseEnd - s.now}
	for _, o := range s.state.OpenOrders() {
		target = order.Target{Order: o, Fenced: s.fenced, Drained: true}
		in.Open = append(in.Open, target)
	}
	if in.LeaseRemaining <= 0 {
		in.Term = 0
	}
	l.actions = append(l.actions, l.dispatcher.Step(s.now, in)...)
}

// execute runs the queued actions of a leader. Only the newest leader can commit;
// probes and sends may fail.
func (s *simulation) execute(l *leader) {
	actions := l.actions
	l.actions = nil
	for _, a := range actions {
		target := order.Target{Order: a.Order, Fenced: s.fenced, Drained: true}
		r := order.Result{Kind: a.Kind, Number: a.Order.Number}
		isNewest := l == s.leaders[len(s.leaders)-1]
		switch a.Kind {
		case order.ActionAdopt:
			if isNewest {
				s.commit(func() { _, _ = s.state.AdoptOrder(a.Order.Number, l.term) })
			}
		case order.ActionClose:
			if isNewest {
				s.commit(func() {
					if s.state.CloseOrder(a.Order.Number, a.Status, a.Reason) == nil {
						s.closed++
					}
				})
			}
		case order.ActionProbe:
			r.Status, r.Failed = s.engine, s.rng.IntN(6) == 0
		case order.ActionSend:
			r = s.send(l, a, r)
		}
		if next, ok := l.dispatcher.HandleResult(s.now, target, r); ok {
			l.actions = append(l.actions, next)
		}
	}
}

// send writes only while the lease lasts, as guard.Writer does:
// an order arrives at most the network delay after the end of the lease.
func (s *simulation) send(l *leader, a order.Action, r order.Result) order.Result {
	if l.leaseEnd-s.now <= settings().LeaseMargin {
		r.Failed = true
		return r
	}
	switch s.rng.IntN(4) {
	case 0: // lost
		r.Failed = true
	case 1: // delivered late, and the sender gets no response
		r.Failed = true
		delay := time.Duration(s.rng.IntN(int(networkDelay - tick)))
		s.network = append(s.network, packet{a.Order, s.now + delay})
	default:
		s.deliver(a.Order)
		r.Order.Accepted = true
	}
	return r
}

// advance moves the clock one tick, delivers due packets and ends a due change.
func (s *simulation) advance() {
	s.now += tick
	var inTransit []packet
	for _, p := range s.network {
		if p.arrival <= s.now {
			s.deliver(p.order)
			continue
		}
		inTransit = append(inTransit, p)
	}
	s.network = inTransit
	if s.engine.Changing && s.now >= s.changeEnd {
		s.engine.Changing, s.engine.Role, s.engine.LastOrder = false, s.changeOrder.Role, s.changeOrder.Number
	}
}

// elect starts a new leader after the lease of the previous one has ended. The
// previous leader may not have noticed and may still have queued actions.
func (s *simulation) elect() {
	if n := len(s.leaders); n > 0 {
		s.leaders[n-1].leaseEnd = min(s.leaders[n-1].leaseEnd, s.now)
	}
	l := &leader{dispatcher: order.New(settings()), term: uint64(len(s.leaders) + 1)}
	s.leaders = append(s.leaders, l)
}

// An engine gets no conflicting orders: while leaders change, pause and lose
// messages at random, no order reaches it after one with a higher number or during
// the change of another, and each order is closed in the end.
func TestNoConflictingOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, state: state.New(), fenced: rapid.Bool().Draw(t, "fenced")}
		s.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		s.engine.Role = state.RoleMixed
		s.commit(func() {
			s.state.Update(state.Update{Operator: "ada", Number: 1, Changes: []state.Change{{
				Verb: state.VerbDeclare, Noun: state.NounEngine, Name: "e", Fields: []state.Field{{Key: "url", Value: "http://h:1"}},
			}}}, 1)
		})
		s.elect()
		steps := 500 + s.rng.IntN(6000)
		created := 0
		for i := range steps + 600 {
			s.advance()
			newest := s.leaders[len(s.leaders)-1]
			if i < steps && s.rng.IntN(60) == 0 {
				s.elect()
				continue
			}
			newest.leaseEnd = s.now + lease
			if i < steps && len(s.state.OpenOrders()) == 0 && s.rng.IntN(3) == 0 {
				created++
				role := []state.Role{state.RolePrefill, state.RoleDecode}[created%2]
				s.commit(func() { _, _ = s.state.OpenOrder(state.Order{Engine: "e", Role: role, Term: newest.term}) })
			}
			s.stepLeader(newest)
			for _, l := range s.leaders {
				if i < steps && len(l.actions) > 0 && s.rng.IntN(12) == 0 {
					l.pausedUntil = s.now + time.Duration(s.rng.IntN(int(10*lease)))
				}
				if s.now >= l.pausedUntil {
					s.execute(l)
				}
			}
		}
		if open := s.state.OpenOrders(); len(open) > 0 || s.closed != created {
			t.Fatalf("%d orders created, %d closed, open %v", created, s.closed, open)
		}
	})
}

func Example() {
	m := order.New(settings())
	o := state.Order{Number: 1, Engine: "e", Term: 2, FencingToken: 1, Role: state.RoleDecode}
	target := order.Target{Order: o, Fenced: true, Drained: true}
	in := order.Input{Term: 3, LeaseRemaining: time.Second, Open: []order.Target{target}}
	fmt.Println(m.Step(0, in)[0].Kind == order.ActionAdopt)
	// Output: true
}

// An order doesn't time out while probes find its engine changing, but fails once
// the engine stops answering.
func TestTimeoutWaitsForRunningChange(t *testing.T) {
	s := settings()
	m := order.New(s)
	o := state.Order{Number: 1, Engine: "e", Term: 1, FencingToken: 1, Role: state.RoleDecode}
	target := order.Target{Order: o, Fenced: true, Drained: true}
	in := order.Input{Term: 1, LeaseRemaining: time.Second, Open: []order.Target{target}}
	lastAnswer := s.DrainTimeout + 2*s.DeliveryTimeout
	closedAt := time.Duration(0)
	for now := time.Duration(0); now < lastAnswer+2*s.DeliveryTimeout && closedAt == 0; now += tick {
		for _, a := range m.Step(now, in) {
			r := order.Result{Kind: a.Kind, Number: 1}
			switch a.Kind {
			case order.ActionClose:
				closedAt = now
			case order.ActionSend:
				r.Order.Accepted = true
			case order.ActionProbe:
				r.Status.Changing = now > s.ProbeInterval
				r.Failed = now > lastAnswer
			}
			m.HandleResult(now, target, r)
		}
	}
	if closedAt < lastAnswer+s.DeliveryTimeout || closedAt > lastAnswer+s.DrainTimeout+s.DeliveryTimeout+time.Second {
		t.Fatalf("closed after %s, the engine last answered after %s", closedAt, lastAnswer)
	}
}
