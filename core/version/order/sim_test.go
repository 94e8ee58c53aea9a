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
	tick   = 20 * time.Millisecond
	lease  = 400 * time.Millisecond
	flight = 800 * time.Millisecond
)

func settings() order.Settings {
	return order.Settings{
		Lease: lease, Margin: 40 * time.Millisecond, Flight: flight,
		Drain: 200 * time.Millisecond, Limit: 20 * time.Second, Pause: 40 * time.Millisecond,
	}
}

// packet is an order on its way to the engine.
type packet struct {
	order state.Order
	at    time.Duration
}

// leader is one member's machine, which may be cut off or paused.
type leader struct {
	machine *order.Machine
	term    uint64
	until   time.Duration // end of its lease
	paused  time.Duration // it does nothing until then
	actions []order.Action
}

// world is a replicated state, leaders of rising terms and one engine that
// obeys whatever arrives.
type world struct {
	t       *rapid.T
	random  *rand.Rand // unbiased, unlike draws of rapid
	now     time.Duration
	state   *state.State
	index   uint64
	fenced  bool
	leaders []*leader
	wire    []packet
	engine  engine.Status
	ready   time.Duration // end of the running change
	target  state.Order
	highest uint64 // order the engine took last
	done    int
}

func (w *world) commit(f func()) {
	w.index++
	w.state.Advance(w.index, time.Unix(0, 0).Add(w.now))
	f()
}

// deliver lets the engine take an order and checks it against the others.
func (w *world) deliver(o state.Order) {
	if w.fenced && o.Fence < w.engine.Fence {
		return
	}
	if o.Number < w.highest || w.engine.Changing && o.Number != w.target.Number {
		w.t.Fatalf("order %d fence %d arrives after order %d (changing %v)", o.Number, o.Fence, w.highest, w.engine.Changing)
	}
	w.engine.Fence, w.highest = max(w.engine.Fence, o.Fence), o.Number
	if o.Role == w.engine.Role && !w.engine.Changing {
		return
	}
	w.engine.Changing, w.target, w.ready = true, o, w.now+100*time.Millisecond
}

func (w *world) step(l *leader) {
	var target order.Target
	in := order.Input{Term: l.term, Remaining: l.until - w.now}
	for _, o := range w.state.Open() {
		target = order.Target{Order: o, Fenced: w.fenced, Settled: true}
		in.Open = append(in.Open, target)
	}
	if in.Remaining <= 0 {
		in.Term = 0
	}
	l.actions = append(l.actions, l.machine.Step(w.now, in)...)
}

// act carries out the actions of a leader; each may be late or lost.
func (w *world) act(l *leader) {
	actions := l.actions
	l.actions = nil
	for _, a := range actions {
		target := order.Target{Order: a.Order, Fenced: w.fenced, Settled: true}
		r := order.Result{Kind: a.Kind, Number: a.Order.Number}
		current := l == w.leaders[len(w.leaders)-1]
		switch a.Kind {
		case order.ActionAdopt:
			if current {
				w.commit(func() { _, _ = w.state.Adopt(a.Order.Number, l.term) })
			}
		case order.ActionClose:
			if current {
				w.commit(func() {
					if w.state.Finish(a.Order.Number, a.Status, a.Reason) == nil {
						w.done++
					}
				})
			}
		case order.ActionProbe:
			r.Status, r.Failed = w.engine, w.random.IntN(6) == 0
		case order.ActionSend:
			r = w.send(l, a, r)
		}
		if next, ok := l.machine.Done(w.now, target, r); ok {
			l.actions = append(l.actions, next)
		}
	}
}

// send writes under the lease, as the guarded writer does: what is on its way
// arrives within the flight bound after the end of the lease at most.
func (w *world) send(l *leader, a order.Action, r order.Result) order.Result {
	if l.until-w.now <= settings().Margin {
		r.Failed = true
		return r
	}
	switch w.random.IntN(4) {
	case 0: // lost
		r.Failed = true
	case 1: // stuck, delivered late; the sender hears nothing
		r.Failed = true
		late := time.Duration(w.random.IntN(int(flight - tick)))
		w.wire = append(w.wire, packet{a.Order, w.now + late})
	default:
		w.deliver(a.Order)
		r.Order.Accepted = true
	}
	return r
}

func (w *world) advance() {
	w.now += tick
	var rest []packet
	for _, p := range w.wire {
		if p.at <= w.now {
			w.deliver(p.order)
			continue
		}
		rest = append(rest, p)
	}
	w.wire = rest
	if w.engine.Changing && w.now >= w.ready {
		w.engine.Changing, w.engine.Role, w.engine.Number = false, w.target.Role, w.target.Number
	}
}

// elect lets a new leader begin. The lease of the one before has ended; it
// may not know and still have actions to carry out.
func (w *world) elect() {
	if n := len(w.leaders); n > 0 {
		w.leaders[n-1].until = min(w.leaders[n-1].until, w.now)
	}
	l := &leader{machine: order.New(settings()), term: uint64(len(w.leaders) + 1)}
	w.leaders = append(w.leaders, l)
}

// Leaders change, pause and lose messages at random; the engine obeys whatever
// arrives. No order may reach it after one with a higher number, or while
// another is carried out; and each order is closed in the end.
func TestNoConflictingOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, state: state.New(), fenced: rapid.Bool().Draw(t, "fenced")}
		w.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		w.engine.Role = state.RoleMixed
		w.commit(func() {
			w.state.Update(state.Update{Operator: "ada", Number: 1, Changes: []state.Change{{
				Verb: state.VerbDeclare, Noun: state.NounEngine, Name: "e", Fields: []state.Field{{Key: "url", Value: "http://h:1"}},
			}}}, 1)
		})
		w.elect()
		steps := 500 + w.random.IntN(6000)
		wanted := 0
		for i := range steps + 600 {
			w.advance()
			last := w.leaders[len(w.leaders)-1]
			if i < steps && w.random.IntN(60) == 0 {
				w.elect()
				continue
			}
			last.until = w.now + lease
			if i < steps && len(w.state.Open()) == 0 && w.random.IntN(3) == 0 {
				wanted++
				role := []state.Role{state.RolePrefill, state.RoleDecode}[wanted%2]
				w.commit(func() { _, _ = w.state.Intend(state.Order{Engine: "e", Role: role, Term: last.term}) })
			}
			w.step(last)
			for _, l := range w.leaders {
				if i < steps && len(l.actions) > 0 && w.random.IntN(12) == 0 {
					l.paused = w.now + time.Duration(w.random.IntN(int(10*lease)))
				}
				if w.now >= l.paused {
					w.act(l)
				}
			}
		}
		if open := w.state.Open(); len(open) > 0 || w.done != wanted {
			t.Fatalf("%d orders wanted, %d closed, open %v", wanted, w.done, open)
		}
	})
}

func ExampleMachine() {
	m := order.New(settings())
	o := state.Order{Number: 1, Engine: "e", Term: 2, Fence: 1, Role: state.RoleDecode}
	target := order.Target{Order: o, Fenced: true, Settled: true}
	in := order.Input{Term: 3, Remaining: time.Second, Open: []order.Target{target}}
	fmt.Println(m.Step(0, in)[0].Kind == order.ActionAdopt)
	// Output: true
}

// An order isn't given up while its engine is seen to carry it out, but it is
// when the engine doesn't answer any more.
func TestLongChangeAndDeadEngine(t *testing.T) {
	s := settings()
	m := order.New(s)
	o := state.Order{Number: 1, Engine: "e", Term: 1, Fence: 1, Role: state.RoleDecode}
	target := order.Target{Order: o, Fenced: true, Settled: true}
	in := order.Input{Term: 1, Remaining: time.Second, Open: []order.Target{target}}
	changed := s.Drain + 2*s.Limit
	closed := time.Duration(0)
	for now := time.Duration(0); now < changed+2*s.Limit && closed == 0; now += tick {
		for _, a := range m.Step(now, in) {
			r := order.Result{Kind: a.Kind, Number: 1}
			switch a.Kind {
			case order.ActionClose:
				closed = now
			case order.ActionSend:
				r.Order.Accepted = true
			case order.ActionProbe:
				r.Status.Changing = now > s.Pause
				r.Failed = now > changed
			}
			m.Done(now, target, r)
		}
	}
	if closed < changed+s.Limit || closed > changed+s.Drain+s.Limit+time.Second {
		t.Fatalf("closed after %s, the engine was last seen after %s", closed, changed)
	}
}
