package retry

import (
	"cmp"
	"slices"
	"time"
)

// SharedBudget bounds the arrivals beyond the first of each request that all instances
// together make at the servers of a pool, in any sliding window. It answers loads that
// overload servers or break many requests at once, whose retries would keep them
// overloaded. The instances exchange nothing for it but the list of members.
//
// Each request backs a third of the ratio while it is younger than a quarter of the
// window, and another third at an age from a half to three quarters of it. If a request is
// counted and a reserved retry arrives within a quarter of the window, then the retries
// that arrive in a window are backed at most twice by the requests of that window's first
// half and of the half before, and once by those of its second half and of the half before
// these. This is the mean of the requests of the window, of the one before and of the one
// half a window before. The sum holds for any number of instances, since each request
// backs retries at one instance, and an instance that restarts has no requests.
//
// The slack is divided by the number of instances. See fleetView.
type SharedBudget struct {
	window time.Duration
	ratio  float64
	slack  float64
	pools  map[string]*poolBudget
	fleet  fleetView
}

const (
	// slotsPerWindow is the number of slots of time in a window. The requests of a slot
	// share a credit.
	slotsPerWindow = 40
	// backings is the divisor of the ratio for each of the two times in which a request
	// backs retries.
	backings = 3
	// rounding is the error that sums of fractions may have.
	rounding = 1e-9
)

// credit is what the requests of a slot back in one of the two times.
type credit struct {
	slot        int64
	from, until time.Duration
	amount      float64 // retries
}

// slackUse is slack that was taken.
type slackUse struct {
	at     time.Duration
	amount float64
}

// poolBudget is the budget of one pool.
type poolBudget struct {
	credits []*credit // by slot, two of each
	uses    []*slackUse
}

// Grant is a reserved retry: the permission for one arrival.
type Grant struct {
	parts []grantPart
	use   *slackUse // nil for none
}

type grantPart struct {
	credit *credit
	amount float64
}

// NewSharedBudget returns an unused budget. Ratio is the number of retries
// allowed per request in a window, slack the number of further retries that all
// instances together may make in it.
func NewSharedBudget(window time.Duration, ratio, slack float64) *SharedBudget {
	s := &SharedBudget{pools: make(map[string]*poolBudget)}
	s.SetLimits(window, ratio, slack)
	return s
}

// SetLimits changes the limits. With another window nothing is left to reserve at first.
func (s *SharedBudget) SetLimits(window time.Duration, ratio, slack float64) {
	if window != s.window {
		clear(s.pools)
		s.fleet = fleetView{}
	}
	s.window, s.ratio, s.slack = window, ratio, slack
}

// lateness returns the time within which requests are counted and retries arrive.
func (s *SharedBudget) lateness() time.Duration { return s.window / 4 }

// pool returns the budget of a pool, without what has expired.
func (s *SharedBudget) pool(now time.Duration, name string) *poolBudget {
	b := s.pools[name]
	if b == nil {
		b = &poolBudget{}
		s.pools[name] = b
	}
	b.credits = slices.DeleteFunc(b.credits, func(c *credit) bool { return c.until < now })
	b.uses = slices.DeleteFunc(b.uses, func(u *slackUse) bool { return u.amount == 0 || now-u.at > s.window+s.lateness() })
	return b
}

// RecordRequest counts a caller's request to a pool of backend servers, which arrived at
// the given time.
func (s *SharedBudget) RecordRequest(at time.Duration, pool string) {
	width := s.window / slotsPerWindow
	slot := int64(at / width)
	b := s.pool(at, pool)
	amount := s.ratio / backings
	found := false
	for _, c := range b.credits {
		if c.slot == slot {
			c.amount += amount
			found = true
		}
	}
	if found {
		return
	}
	start := time.Duration(slot) * width
	b.credits = append(b.credits,
		&credit{slot: slot, from: start, until: start + s.window/4, amount: amount},
		&credit{slot: slot, from: start + width + s.window/2, until: start + s.window*3/4, amount: amount})
}

// slackLeft returns this instance's part of the slack that isn't in use.
func (s *SharedBudget) slackLeft(now time.Duration, b *poolBudget) float64 {
	n := s.fleet.instances(now, s.window)
	if n == 0 {
		return 0
	}
	left := s.slack / float64(n)
	for _, u := range b.uses {
		left -= u.amount
	}
	return max(0, left)
}

// Reserve takes a retry from a pool's budget, and reports whether there was one. The retry
// must be sent at once. spare is what must be left in the budget for others.
func (s *SharedBudget) Reserve(now time.Duration, pool string, spare float64) (Grant, bool) {
	b := s.pool(now, pool)
	usable := make([]*credit, 0, len(b.credits))
	left := s.slackLeft(now, b)
	for _, c := range b.credits {
		if c.from <= now && c.amount > 0 {
			usable = append(usable, c)
			left += c.amount
		}
	}
	if left < 1+spare-rounding {
		return Grant{}, false
	}
	slices.SortStableFunc(usable, func(x, y *credit) int { return cmp.Compare(x.until, y.until) })
	var g Grant
	need := 1.0
	for _, c := range usable {
		part := min(need, c.amount)
		c.amount -= part
		need -= part
		g.parts = append(g.parts, grantPart{credit: c, amount: part})
		if need <= 0 {
			return g, true
		}
	}
	g.use = &slackUse{at: now, amount: need}
	b.uses = append(b.uses, g.use)
	return g, true
}

// Release returns a retry that wasn't sent.
func (s *SharedBudget) Release(g Grant) {
	for _, p := range g.parts {
		p.credit.amount += p.amount
	}
	if g.use != nil {
		g.use.amount = 0
	}
}
