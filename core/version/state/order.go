package state

import (
	"cmp"
	"fmt"
	"slices"
)

// Statuses of an order.
const (
	OrderOpen   = "open"
	OrderDone   = "done"
	OrderFailed = "failed"
)

// OpenOrder opens an order and takes the engine out of service. At most one order
// is open on an engine.
func (s *State) OpenOrder(o Order) (Order, error) {
	e, found := s.engines.rows[o.Engine]
	if !found {
		return Order{}, refuse(CodeInvalid, "engine %s: unknown", o.Engine)
	}
	if open, busy := s.openOrders[o.Engine]; busy {
		return Order{}, refuse(CodeOrderOpen, "engine %s: order %d is open", o.Engine, open.Number)
	}
	if e.Phase != PhaseServing && e.Phase != PhaseLeaving {
		return Order{}, refuse(CodeInvalid, "engine %s: is %s", o.Engine, e.Phase)
	}
	s.lastOrder++
	o.Number, o.FencingToken, o.Status, o.OpenedAt = s.lastOrder, s.nextFencingToken(), OrderOpen, s.now
	s.openOrders[o.Engine] = o
	s.setPhase(NounEngine, o.Engine, PhaseChanging)
	return o, nil
}

// nextFencingToken returns the fencing token of an order that is opened or
// adopted. Tokens increase, so that an engine that checks them refuses every late
// copy of an earlier order.
func (s *State) nextFencingToken() uint64 {
	s.lastFencingToken++
	return s.lastFencingToken
}

// AdoptOrder transfers an open order to the leader of a later term under a new
// fencing token.
func (s *State) AdoptOrder(number, term uint64) (Order, error) {
	for name, o := range s.openOrders {
		if o.Number != number {
			continue
		}
		if term <= o.Term {
			return Order{}, refuse(CodeConflict, "order %d: term %d answers for it, not %d", number, o.Term, term)
		}
		o.Term, o.FencingToken = term, s.nextFencingToken()
		s.openOrders[name] = o
		return o, nil
	}
	return Order{}, refuse(CodeInvalid, "order %d: not open", number)
}

// CloseOrder closes an open order. The engine serves again, with the ordered role,
// model, adapter and revision if the order is done, unless an operator drained it
// meanwhile. Closing a closed order again is an error and changes nothing.
func (s *State) CloseOrder(number uint64, status, reason string) error {
	if status != OrderDone && status != OrderFailed {
		panic(fmt.Sprintf("state: order %d closed with status %q, want done or failed", number, status))
	}
	engineName := ""
	for engine, o := range s.openOrders {
		if o.Number == number {
			engineName = engine
		}
	}
	if engineName == "" {
		return refuse(CodeInvalid, "order %d: not open", number)
	}
	o := s.openOrders[engineName]
	delete(s.openOrders, engineName)
	o.Status = status
	if reason != "" {
		o.Reason = reason
	}
	s.closedOrders = keepLast(append(s.closedOrders, o), maxClosedOrders)
	s.returnToService(engineName, o)
	return nil
}

// returnToService ends the change of an engine whose order was closed.
func (s *State) returnToService(name string, o Order) {
	e := s.engines.rows[name]
	if e.Phase != PhaseChanging {
		panic(fmt.Sprintf("state: engine %s is %s while order %d is open, want changing", name, e.Phase, o.Number))
	}
	if o.Status == OrderDone {
		e.Role, e.Model, e.Adapter, e.Revision = o.Role, o.Model, o.Adapter, o.Revision
	}
	key := objectKey{NounEngine, name}
	l := s.lifecycles[key]
	l.Noun, l.Name, l.LastOrderClosed = NounEngine, name, s.now
	s.lifecycles[key] = l
	e.Phase = PhaseServing
	if l.Drained {
		e.Phase = PhaseLeaving
	}
	put(s, &s.engines, e)
}

// OpenOrders returns the open orders, sorted by number.
func (s *State) OpenOrders() []Order {
	all := make([]Order, 0, len(s.openOrders))
	for _, o := range s.openOrders {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b Order) int { return cmp.Compare(a.Number, b.Number) })
	return all
}

// ClosedOrders returns the latest closed orders, oldest first.
func (s *State) ClosedOrders() []Order {
	return slices.Clone(s.closedOrders)
}

// PendingRemoval is a withdrawal that waits for the object to be idle, or a
// replacement that waits for its target to serve.
type PendingRemoval struct {
	Noun        Noun
	Name        string
	Withdraw    bool
	Replacement string
}

// PendingRemovals returns the withdrawals and replacements that aren't finished,
// sorted by noun and name.
func (s *State) PendingRemovals() []PendingRemoval {
	var all []PendingRemoval
	for _, l := range s.sortedLifecycles() {
		if l.RemoveWhenIdle || l.Replacement != "" {
			all = append(all, PendingRemoval{Noun: l.Noun, Name: l.Name, Withdraw: l.RemoveWhenIdle, Replacement: l.Replacement})
		}
	}
	return all
}

func (s *State) sortedLifecycles() []lifecycle {
	all := make([]lifecycle, 0, len(s.lifecycles))
	for _, l := range s.lifecycles {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b lifecycle) int {
		return cmp.Or(cmp.Compare(a.Noun, b.Noun), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// AdvanceRemoval carries out the next step of a pending withdrawal or
// replacement: it withdraws an object with a replacement and removes a withdrawn
// one. The caller checks that the replacement serves or that the object is idle.
func (s *State) AdvanceRemoval(noun Noun, name string) error {
	l, found := s.lifecycles[objectKey{noun, name}]
	p, _ := s.Phase(noun, name)
	switch {
	case !found || p == "":
		return refuse(CodeInvalid, "%s %s: nothing is pending", noun, name)
	case l.Replacement != "":
		s.markLeaving(noun, name, func(l *lifecycle) { l.Replacement, l.RemoveWhenIdle = "", true })
		return nil
	case !l.RemoveWhenIdle:
		return refuse(CodeInvalid, "%s %s: isn't withdrawn", noun, name)
	case p == PhaseChanging:
		return refuse(CodeOrderOpen, "%s %s: an order is open", noun, name)
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
