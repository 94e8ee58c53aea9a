package retry

import "time"

// Sends counts what of one request arrives at backend servers. All but the first arrival
// take a retry from the budget of the pool. The first prefill that an engine accepts is no
// arrival; other prefills are, and so is what a server turns away. Since an answer may be
// lost, a prefill is one until it is known to be accepted. It isn't safe for concurrent use.
type Sends struct {
	budget   *SharedBudget
	pool     string
	arrived  int // that the servers may have counted
	accepted bool
	reserved []Grant // for sends to come
	spent    []Grant // of arrivals
}

// NewSends returns the sends of a request to a pool.
func NewSends(b *SharedBudget, pool string) *Sends { return &Sends{budget: b, pool: pool} }

// Any reports whether anything of the request may have reached a server.
func (s *Sends) Any() bool { return s.arrived > 0 || s.accepted }

// Reserve reserves what an attempt needs, and reports whether the budget allows it.
// spare is as for SharedBudget.Reserve. An attempt with a prefill of its own makes two
// arrivals if one was accepted before; else its prefill is none if it is accepted.
func (s *Sends) Reserve(now time.Duration, withPrefill bool, spare float64) bool {
	arrivals := s.arrived + 1
	if withPrefill && s.accepted {
		arrivals++
	}
	for len(s.spent)+len(s.reserved) < arrivals-1 {
		g, ok := s.budget.Reserve(now, s.pool, spare)
		if !ok {
			return false
		}
		s.reserved = append(s.reserved, g)
	}
	return true
}

// Begin counts a send that follows at once, and reports whether it may be made. What was
// reserved a while ago is exchanged, since it holds only for sends at once.
func (s *Sends) Begin(now time.Duration) (allowed, retry bool) {
	if len(s.spent) >= s.arrived {
		s.arrived++
		return true, false
	}
	if n := len(s.reserved); n > 0 {
		s.budget.Release(s.reserved[n-1])
		s.reserved = s.reserved[:n-1]
	}
	g, ok := s.budget.Reserve(now, s.pool, 0)
	if !ok {
		return false, false
	}
	s.spent = append(s.spent, g)
	s.arrived++
	return true, true
}

// Accepted records that an engine accepted a prefill.
func (s *Sends) Accepted() {
	if s.accepted {
		return
	}
	s.accepted = true
	s.arrived--
	if n := len(s.spent); n > 0 && n > s.arrived-1 {
		s.reserved, s.spent = append(s.reserved, s.spent[n-1]), s.spent[:n-1]
	}
}

// End returns what was reserved and not needed.
func (s *Sends) End() {
	for _, g := range s.reserved {
		s.budget.Release(g)
	}
	s.reserved = nil
}
