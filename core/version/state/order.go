package state

import (
	"cmp"
	"fmt"
	"slices"
)

// Status of an order.
const (
	OrderOpen   = "open"
	OrderDone   = "done"
	OrderFailed = "failed"
)

// Intend logs the intent of an order and takes the engine out of service.
// At most one order is open on an engine.
func (s *State) Intend(o Order) (Order, error) {
	e, found := s.engines.rows[o.Engine]
	if !found {
		return Order{}, refuse(CodeInvalid, "engine %s: unknown", o.Engine)
	}
	if open, busy := s.open[o.Engine]; busy {
		return Order{}, refuse(CodeOpen, "engine %s: order %d is open", o.Engine, open.Number)
	}
	if e.Phase != PhaseServing && e.Phase != PhaseLeaving {
		return Order{}, refuse(CodeInvalid, "engine %s: is %s", o.Engine, e.Phase)
	}
	s.orders++
	o.Number, o.Fence, o.Status, o.At = s.orders, s.nextFence(), OrderOpen, s.now
	s.open[o.Engine] = o
	s.setPhase(NounEngine, o.Engine, PhaseChanging)
	return o, nil
}

// nextFence makes each intent and each adoption a number of its own, so that
// an engine that checks them refuses every late copy of an earlier order.
func (s *State) nextFence() uint64 {
	s.fence++
	return s.fence
}

// Adopt hands an open order to the leader of a later term under a new
// fencing number.
func (s *State) Adopt(number, term uint64) (Order, error) {
	for name, o := range s.open {
		if o.Number != number {
			continue
		}
		if term <= o.Term {
			return Order{}, refuse(CodeConflict, "order %d: term %d answers for it, not %d", number, o.Term, term)
		}
		o.Term, o.Fence = term, s.nextFence()
		s.open[name] = o
		return o, nil
	}
	return Order{}, refuse(CodeInvalid, "order %d: not open", number)
}

// Finish closes an open order. The engine goes back into service with what
// it runs now, unless an operator drained it meanwhile. Closing a closed
// order again changes nothing.
func (s *State) Finish(number uint64, status, reason string) error {
	if status != OrderDone && status != OrderFailed {
		panic(fmt.Sprintf("state: order %d closes with status %q", number, status))
	}
	name := ""
	for engine, o := range s.open {
		if o.Number == number {
			name = engine
		}
	}
	if name == "" {
		return refuse(CodeInvalid, "order %d: not open", number)
	}
	o := s.open[name]
	delete(s.open, name)
	o.Status = status
	if reason != "" {
		o.Reason = reason
	}
	s.closed = bound(append(s.closed, o), maxClosed)
	s.settle(name, o)
	return nil
}

func (s *State) settle(name string, o Order) {
	e := s.engines.rows[name]
	if e.Phase != PhaseChanging {
		panic(fmt.Sprintf("state: engine %s is %s with order %d open", name, e.Phase, o.Number))
	}
	if o.Status == OrderDone {
		e.Role, e.Model, e.Adapter, e.Revision = o.Role, o.Model, o.Adapter, o.Revision
	}
	k := removedKey{NounEngine, name}
	n := s.notes[k]
	n.Noun, n.Name, n.Changed = NounEngine, name, s.now
	s.notes[k] = n
	e.Phase = PhaseServing
	if n.Drained {
		e.Phase = PhaseLeaving
	}
	put(s, &s.engines, e)
}

// Open returns the open orders by number.
func (s *State) Open() []Order {
	all := make([]Order, 0, len(s.open))
	for _, o := range s.open {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b Order) int { return cmp.Compare(a.Number, b.Number) })
	return all
}

// Closed returns the last closed orders, oldest first.
func (s *State) Closed() []Order {
	return slices.Clone(s.closed)
}

// Pending is a withdrawal that waits until an object is idle, or a
// replacement that waits until its target serves.
type Pending struct {
	Noun     Noun
	Name     string
	Withdraw bool
	Target   string
}

// Pending returns the withdrawals and replacements to be finished.
func (s *State) Pending() []Pending {
	var all []Pending
	for _, n := range s.sortedNotes() {
		if n.Withdraw || n.Target != "" {
			all = append(all, Pending{Noun: n.Noun, Name: n.Name, Withdraw: n.Withdraw, Target: n.Target})
		}
	}
	return all
}

func (s *State) sortedNotes() []note {
	all := make([]note, 0, len(s.notes))
	for _, n := range s.notes {
		all = append(all, n)
	}
	slices.SortFunc(all, func(a, b note) int {
		return cmp.Or(cmp.Compare(a.Noun, b.Noun), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// Release carries out a pending step: a withdrawn object that is idle is
// removed, one whose replacement serves is withdrawn.
func (s *State) Release(noun Noun, name string) error {
	n, found := s.notes[removedKey{noun, name}]
	p, _ := s.Phase(noun, name)
	switch {
	case !found || p == "":
		return refuse(CodeInvalid, "%s %s: nothing is pending", noun, name)
	case n.Target != "":
		s.leave(noun, name, func(n *note) { n.Target, n.Withdraw = "", true })
		return nil
	case !n.Withdraw:
		return refuse(CodeInvalid, "%s %s: isn't withdrawn", noun, name)
	case p == PhaseChanging:
		return refuse(CodeOpen, "%s %s: an order is open", noun, name)
	}
	switch noun {
	case NounEngine:
		drop(s, &s.engines, name)
	case NounServer:
		drop(s, &s.servers, name)
	case NounMember:
		drop(s, &s.members, name)
	}
	return nil
}
