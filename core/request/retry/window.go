package retry

import "time"

// windowSlots divide the window of a shared budget; one more is kept, so that
// the sum never covers less than the window.
const windowSlots = 20

// Shared bounds the repeats of all instances together in any window: each
// keeps to a share of the slack, and to a ratio of the requests that it took
// itself. It needs no exchange with the others, and an instance that is cut
// off keeps its part.
type Shared struct {
	window time.Duration
	ratio  float64
	slack  float64
	pools  map[string]*pool
}

type pool struct {
	slots [windowSlots + 1]slot
	now   int64 // number of the newest slot
}

type slot struct {
	requests, repeats int
}

// NewShared returns a budget without any use. Ratio is the number of repeats
// for each request in a window, slack what may come on top for all instances.
func NewShared(window time.Duration, ratio, slack float64) *Shared {
	return &Shared{window: window, ratio: ratio, slack: slack, pools: make(map[string]*pool)}
}

// Tune changes the bounds; what was used stays used.
func (s *Shared) Tune(window time.Duration, ratio, slack float64) {
	s.window, s.ratio, s.slack = window, ratio, slack
}

func (s *Shared) at(now time.Duration, name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{}
		s.pools[name] = p
	}
	p.advance(int64(now / (s.window / windowSlots)))
	return p
}

// advance clears the slots that were passed.
func (p *pool) advance(to int64) {
	if to-p.now > windowSlots {
		p.slots = [windowSlots + 1]slot{}
		p.now = to
	}
	for p.now < to {
		p.now++
		p.slots[p.now%(windowSlots+1)] = slot{}
	}
}

// Request counts a caller's request for a pool of backend servers.
func (s *Shared) Request(now time.Duration, name string) {
	p := s.at(now, name)
	p.slots[p.now%(windowSlots+1)].requests++
}

// Spend takes a repeat if the part of one of so many instances allows it.
func (s *Shared) Spend(now time.Duration, name string, instances int) bool {
	p := s.at(now, name)
	requests, repeats := 0, 0
	for _, v := range p.slots {
		requests += v.requests
		repeats += v.repeats
	}
	allowed := s.ratio*float64(requests) + s.slack/float64(max(1, instances))
	if float64(repeats+1) > allowed {
		return false
	}
	p.slots[p.now%(windowSlots+1)].repeats++
	return true
}
