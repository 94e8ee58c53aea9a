// Package slice divides the limits of client accounts between entry instances
// in leased slices. At any time the slices that may be in use add up to no
// more than the limit of the account. It is a pure state machine of the
// leader; a new leader starts it empty.
package slice

import (
	"fmt"
	"slices"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/state"
)

const (
	// floorShare is the part of an equal share that each member may have at
	// any time, so that a new leader can grant it before it knows the slices
	// of the old one.
	floorShare = 0.25
	// headroom counts members that may join while the leader changes.
	headroom = 1
	// sweeps is how often in a term the sums are counted anew.
	sweeps = 8
	// rateParts is the clock drift allowed for: one part of the term.
	rateParts = 50
	// slack absorbs rounding when sums are checked, as a share of the limit.
	slack = 1e-9
)

// amount is what is granted of both limits.
type amount struct {
	tokens   float64
	requests float64
}

func (a amount) each(b amount, f func(x, y float64) float64) amount {
	return amount{f(a.tokens, b.tokens), f(a.requests, b.requests)}
}

func larger(x, y float64) float64  { return max(x, y) }
func smaller(x, y float64) float64 { return min(x, y) }
func sum(x, y float64) float64     { return x + y }
func rest(x, y float64) float64    { return max(0, x-y) }

// lease is one slice that may be in use until its end.
type lease struct {
	amount amount
	until  time.Duration
}

// holding is what one member has of one account: its last want, and all
// slices that haven't ended, since an answer that granted less may be lost.
type holding struct {
	want    amount
	leases  []lease
	counted amount // as it stands in the sums of the account
}

func (h *holding) held(floor amount) amount {
	a := floor
	for _, l := range h.leases {
		a = a.each(l.amount, larger)
	}
	return a
}

// account is the division of one account. Sums are kept between sweeps, so
// that a request costs the same for any number of members. A slice that ended
// after the last sweep still counts, which errs to the safe side.
type account struct {
	limit   amount
	floor   amount
	count   int // members that may have a floor, heard here or not
	members map[string]*holding
	used    amount // sum of what each member may use, floors included
	wants   amount
	swept   time.Duration
}

// Allocator grants slices while this member leads.
type Allocator struct {
	term     time.Duration
	started  time.Duration
	accounts map[string]*account
}

// New returns an allocator of a leader whose term began now.
func New(now, term time.Duration) *Allocator {
	return &Allocator{term: term, started: now, accounts: make(map[string]*account)}
}

// Grant returns a slice for a want. Members is the number of entry instances
// that the state knows. An account without limits has no slices.
func (a *Allocator) Grant(now time.Duration, name string, members int, want proto.Grant, limits state.Account) proto.Grant {
	g := proto.Grant{Account: limits.Name, Term: a.term}
	if limits.Tokens == 0 && limits.Requests == 0 {
		delete(a.accounts, limits.Name)
		return g
	}
	c := a.account(limits)
	c.prepare(now, a.term/sweeps, max(members, len(c.members), 1)+headroom)
	h := c.holding(name)
	granted := c.floor
	if now-a.started >= a.hold() {
		c.wants = c.wants.each(h.want, rest)
		h.want = amount{want.Tokens, want.Requests}
		c.wants = c.wants.each(h.want, sum)
		granted = c.share(h)
	}
	granted = c.take(h, lease{amount: granted, until: now + a.hold()}, now)
	g.Tokens, g.Requests = granted.tokens, granted.requests
	return g
}

// hold is how long a slice may be in use by the leader's clock.
func (a *Allocator) hold() time.Duration {
	return a.term + a.term/rateParts
}

func (a *Allocator) account(limits state.Account) *account {
	c := a.accounts[limits.Name]
	if c == nil {
		c = &account{members: make(map[string]*holding)}
		a.accounts[limits.Name] = c
	}
	c.limit = amount{float64(limits.Tokens), float64(limits.Requests)}
	return c
}

// prepare recounts the sums when a sweep is due or the floor has changed.
func (c *account) prepare(now, pause time.Duration, members int) {
	floor := c.limit.each(amount{}, func(x, _ float64) float64 { return x * floorShare / float64(members) })
	if floor == c.floor && now-c.swept < pause {
		return
	}
	c.floor, c.count, c.swept = floor, members, now
	c.used, c.wants = amount{}, amount{}
	for name, h := range c.members {
		h.expire(now)
		if len(h.leases) == 0 {
			delete(c.members, name)
			continue
		}
		h.counted = h.held(floor)
		c.used = c.used.each(h.counted, sum)
		c.wants = c.wants.each(h.want, sum)
	}
}

func (c *account) holding(name string) *holding {
	h := c.members[name]
	if h != nil {
		return h
	}
	h = &holding{counted: c.floor}
	c.members[name] = h
	c.used = c.used.each(h.counted, sum)
	return h
}

func (h *holding) expire(now time.Duration) {
	h.leases = slices.DeleteFunc(h.leases, func(l lease) bool { return l.until <= now })
}

// share divides the limit above the floors by the wants.
func (c *account) share(h *holding) amount {
	n := float64(max(c.count, len(c.members)))
	spare := c.limit.each(c.floor, func(limit, f float64) float64 { return max(0, limit-n*f) })
	part := h.want.each(c.wants, func(want, all float64) float64 {
		if all <= 0 {
			return 1 / n
		}
		return min(1, want/all)
	})
	extra := spare.each(part, func(s, p float64) float64 { return s * p })
	return extra.each(c.floor, sum)
}

// take gives a member a slice, cut to what the others leave of the limit.
func (c *account) take(h *holding, l lease, now time.Duration) amount {
	h.expire(now)
	unheard := float64(max(0, c.count-len(c.members)))
	others := c.used.each(h.counted, rest).each(c.floor, func(x, f float64) float64 { return x + unheard*f })
	l.amount = l.amount.each(c.limit.each(others, rest), smaller)
	h.leases = slices.DeleteFunc(h.leases, func(o lease) bool { return o.amount.each(l.amount, larger) == l.amount })
	h.leases = append(h.leases, l)
	before := h.counted
	h.counted = h.held(c.floor)
	c.used = c.used.each(before, rest).each(h.counted, sum)
	c.check(l.amount, others)
	return l.amount
}

// check asserts that a grant fits beside what the others may use.
func (c *account) check(granted, others amount) {
	total := granted.each(others, sum)
	over := total.each(c.limit, func(t, limit float64) float64 { return t - limit*(1+slack) })
	if over.tokens > 0 && granted.tokens > 0 || over.requests > 0 && granted.requests > 0 {
		panic(fmt.Sprintf("slice: %v granted beside %v of a limit of %v", granted, others, c.limit))
	}
}
