// Package quota divides the rate limits of client accounts between the entry
// instances: each instance leases a slice of each limit. At any time the slices
// that may be in use add up to at most the limit. It is a state machine of the
// leader without I/O and isn't replicated; a new leader starts with an empty one.
package quota

import (
	"fmt"
	"slices"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/state"
)

const (
	// floorShare is the part of an equal share that each member may use at any
	// time. A new leader can grant it before it knows the slices that the
	// previous leader granted.
	floorShare = 0.25
	// joinReserve is the number of members that may join during a change of leader.
	joinReserve = 1
	// recountsPerTerm is how often per lease term the sums are computed from
	// scratch.
	recountsPerTerm = 8
	// clockDriftDivisor bounds the clock drift between instances: at most
	// 1/clockDriftDivisor of a lease term.
	clockDriftDivisor = 50
	// roundingTolerance is the rounding error allowed in checks of sums, as a share
	// of the limit.
	roundingTolerance = 1e-9
)

// rates is a pair of rates, one for each limit of an account.
type rates struct {
	tokens   float64 // per second
	requests float64 // per second
}

// combine applies f to both rates of a and b.
func (a rates) combine(b rates, f func(x, y float64) float64) rates {
	return rates{f(a.tokens, b.tokens), f(a.requests, b.requests)}
}

func larger(x, y float64) float64   { return max(x, y) }
func smaller(x, y float64) float64  { return min(x, y) }
func sum(x, y float64) float64      { return x + y }
func subtract(x, y float64) float64 { return max(0, x-y) }

// lease is one slice that its member may use until the lease ends.
type lease struct {
	rates rates
	until time.Duration
}

// memberSlices holds the last demand of one member of one account, and all its
// slices whose lease hasn't ended: the reply that granted a smaller slice may have
// been lost, so an older and larger one may still be in use.
type memberSlices struct {
	demand  rates
	leases  []lease
	counted rates // the part of account.used that stands for this member
}

// maxUse returns the most that the member may be using.
func (m *memberSlices) maxUse(floor rates) rates {
	a := floor
	for _, l := range m.leases {
		a = a.combine(l.rates, larger)
	}
	return a
}

// account is the division of one account's limits. The sums are updated
// incrementally between recounts, so that a request costs the same for any number
// of members. A slice whose lease ended after the last recount still counts, which
// can only make grants smaller.
type account struct {
	limit       rates
	floor       rates // what each member may use at any time
	floorCount  int   // members that may use the floor, whether they have asked this leader or not
	members     map[string]*memberSlices
	used        rates // sum of what each member may use, floors included
	demand      rates // sum of the members' demands
	recountedAt time.Duration
}

// Allocator grants slices while this member is the leader.
type Allocator struct {
	term     time.Duration // of a lease
	started  time.Duration // of the leader's term
	accounts map[string]*account
}

// New returns an allocator with the given lease term, for a leader whose own term
// begins now.
func New(now, term time.Duration) *Allocator {
	return &Allocator{term: term, started: now, accounts: make(map[string]*account)}
}

// Grant returns a slice for the demand of a member. Members is the number of entry
// instances in the state. An account without limits gets an empty slice.
func (a *Allocator) Grant(now time.Duration, name string, members int, demand proto.Grant, limits state.Account) proto.Grant {
	g := proto.Grant{Account: limits.Name, TTL: a.term}
	if limits.TokensPerSecond == 0 && limits.RequestsPerSecond == 0 {
		delete(a.accounts, limits.Name)
		return g
	}
	acct := a.account(limits)
	acct.recount(now, a.term/recountsPerTerm, max(members, len(acct.members), 1)+joinReserve)
	m := acct.member(name)
	granted := acct.floor
	if now-a.started >= a.leaseTime() {
		acct.demand = acct.demand.combine(m.demand, subtract)
		m.demand = rates{demand.TokenRate, demand.RequestRate}
		acct.demand = acct.demand.combine(m.demand, sum)
		granted = acct.fairShare(m)
	}
	granted = acct.grant(m, lease{rates: granted, until: now + a.leaseTime()}, now)
	g.TokenRate, g.RequestRate = granted.tokens, granted.requests
	return g
}

// leaseTime returns how long a slice may be in use, by the leader's clock.
func (a *Allocator) leaseTime() time.Duration {
	return a.term + a.term/clockDriftDivisor
}

// account returns the division of an account, with its limits as of now.
func (a *Allocator) account(limits state.Account) *account {
	acct := a.accounts[limits.Name]
	if acct == nil {
		acct = &account{members: make(map[string]*memberSlices)}
		a.accounts[limits.Name] = acct
	}
	acct.limit = rates{float64(limits.TokensPerSecond), float64(limits.RequestsPerSecond)}
	return acct
}

// recount computes the sums from scratch if the interval has passed or the floor
// has changed.
func (c *account) recount(now, interval time.Duration, members int) {
	floor := c.limit.combine(rates{}, func(x, _ float64) float64 { return x * floorShare / float64(members) })
	if floor == c.floor && now-c.recountedAt < interval {
		return
	}
	c.floor, c.floorCount, c.recountedAt = floor, members, now
	c.used, c.demand = rates{}, rates{}
	for name, m := range c.members {
		m.expire(now)
		if len(m.leases) == 0 {
			delete(c.members, name)
			continue
		}
		m.counted = m.maxUse(floor)
		c.used = c.used.combine(m.counted, sum)
		c.demand = c.demand.combine(m.demand, sum)
	}
}

// member returns the slices of a member, which has the floor from the start.
func (c *account) member(name string) *memberSlices {
	m := c.members[name]
	if m != nil {
		return m
	}
	m = &memberSlices{counted: c.floor}
	c.members[name] = m
	c.used = c.used.combine(m.counted, sum)
	return m
}

// expire removes the slices whose lease has ended.
func (m *memberSlices) expire(now time.Duration) {
	m.leases = slices.DeleteFunc(m.leases, func(l lease) bool { return l.until <= now })
}

// fairShare returns the floor plus the member's part of the limit above all floors,
// which is in proportion to its demand.
func (c *account) fairShare(m *memberSlices) rates {
	members := float64(max(c.floorCount, len(c.members)))
	spare := c.limit.combine(c.floor, func(limit, f float64) float64 { return max(0, limit-members*f) })
	fraction := m.demand.combine(c.demand, func(own, all float64) float64 {
		if all <= 0 {
			return 1 / members
		}
		return min(1, own/all)
	})
	extra := spare.combine(fraction, func(s, f float64) float64 { return s * f })
	return extra.combine(c.floor, sum)
}

// grant records a slice for a member, reduced to what the others leave of the
// limit, and returns it.
func (c *account) grant(m *memberSlices, l lease, now time.Duration) rates {
	m.expire(now)
	unseen := float64(max(0, c.floorCount-len(c.members)))
	others := c.used.combine(m.counted, subtract).combine(c.floor, func(x, f float64) float64 { return x + unseen*f })
	l.rates = l.rates.combine(c.limit.combine(others, subtract), smaller)
	m.leases = slices.DeleteFunc(m.leases, func(o lease) bool { return o.rates.combine(l.rates, larger) == l.rates })
	m.leases = append(m.leases, l)
	previous := m.counted
	m.counted = m.maxUse(c.floor)
	c.used = c.used.combine(previous, subtract).combine(m.counted, sum)
	c.check(l.rates, others)
	return l.rates
}

// check panics if a grant and what the others may use exceed the limit.
func (c *account) check(granted, others rates) {
	total := granted.combine(others, sum)
	excess := total.combine(c.limit, func(t, limit float64) float64 { return t - limit*(1+roundingTolerance) })
	if excess.tokens > 0 && granted.tokens > 0 || excess.requests > 0 && granted.requests > 0 {
		panic(fmt.Sprintf("quota: granted %v while others may use %v, limit %v", granted, others, c.limit))
	}
}
