package scale

import (
	"fmt"
	"strings"
	"time"

	"verbenahaven.example/core/conn/duty"
)

const (
	// firstBlock and maxBlock are the first and the longest time for which a kind that
	// was refused isn't ordered in a data centre.
	firstBlock = 3 * time.Second
	maxBlock   = 10 * time.Second
	// firstRetry and maxRetry are the waits before an order that failed, or that has no
	// answer, is sent again.
	firstRetry = 500 * time.Millisecond
	maxRetry   = 4 * time.Second
	// confirmAfter is the time after which an order is sent once more if an earlier one
	// had no answer: the platform may execute that one seconds later.
	confirmAfter = 6 * time.Second
	// lowerPause is the least time between two reductions of a kind in a data centre, and
	// partPause that before one which doesn't reach the target, since each order has a
	// price.
	lowerPause = 2 * time.Second
	partPause  = 6 * time.Second
	// maxMismatchWait limits the time after which an order that has no effect is
	// repeated.
	maxMismatchWait = 40 * time.Second
	// listSettle is how long the list must not have grown before the first order: it
	// shows the engines that a pool began with over several seconds.
	listSettle = time.Second
)

// unknown is the number of engines ordered by an earlier leader, if any.
const unknown = -1

// ordered is the last order for a subject and its results.
type ordered struct {
	want         int // number last ordered, or unknown
	standing     int // highest number that may be ordered, also if its engines were reclaimed
	before       int // standing before the last order
	sentAt       time.Duration
	missing      int // engines ordered that don't serve
	pending      bool
	doubtful     bool          // an order since the last confirmed one had no answer, so that it may be executed late
	repeat       bool          // the last order must be sent again
	retryAt      time.Duration // earliest time of the next order
	retryWait    time.Duration
	confirmAt    time.Duration // when to repeat it after a doubtful one; 0 for not at all
	blockedUntil time.Duration
	blockWait    time.Duration
	fenced       bool
	loweredAt    time.Duration
	matchedAt    time.Duration // when the list last showed the number, or it was ordered
	mismatchWait time.Duration
	seen         int  // engines in the last list
	reclaimed    bool // the engines are being taken away, or are gone
}

func (p *pool) order(s subject) *ordered {
	o := p.orders[s]
	if o == nil {
		o = &ordered{want: unknown}
		p.orders[s] = o
	}
	return o
}

func (o *ordered) block(now, wait time.Duration) {
	o.blockedUntil, o.blockWait = now+wait, 0
}

func (o *ordered) blocked(now time.Duration) bool { return o.fenced || now < o.blockedUntil }

// usable returns how many of the present engines of a blocked subject will stay.
func (o *ordered) usable(present int) int {
	if o.reclaimed {
		return 0
	}
	return present
}

// expected returns the number of engines that a subject has or will have.
func (o *ordered) expected(present int) int {
	if o.want == unknown {
		return present
	}
	return o.want
}

func (p *pool) handleResult(now time.Duration, o Order, r Outcome) {
	s := subject{o.Centre, o.Reclaimable}
	v := p.order(s)
	v.pending, v.repeat = false, false
	switch r {
	case Ordered:
		v.retryWait, v.blockWait = 0, 0
		v.matchedAt, v.standing = now, o.Engines
		if v.doubtful {
			v.doubtful, v.confirmAt = false, now+confirmAfter
		}
	case Unavailable:
		v.blockWait = min(max(firstBlock, 2*v.blockWait), maxBlock)
		v.blockedUntil = now + v.blockWait
		v.want, v.standing = unknown, v.before
	case Fenced:
		p.order(subject{o.Centre, true}).fenced = true
		p.order(subject{o.Centre, false}).fenced = true
	case Unanswered, Retry:
		if r == Retry {
			v.standing = v.before
		}
		v.doubtful = v.doubtful || r == Unanswered
		v.repeat = true
		v.retryWait = min(max(firstRetry, 2*v.retryWait), maxRetry)
		v.retryAt = now + v.retryWait
	}
}

// due returns the orders that lead from the present engines to the targets. Engines to
// replace others are ordered first.
func (p *pool) due(now, settle time.Duration, d *Pool, f *fleet, t split) []Order {
	var orders []Order
	observed, planned := p.describe(f), describeSplit(f, t, func(c string, reclaimable bool) bool { return p.order(subject{c, reclaimable}).blocked(now) })
	ordersOf := func(i int, reclaimable bool, target int, reason string) {
		s := subject{f.centres[i].name, reclaimable}
		k, v := f.kind(s), p.order(s)
		from := v.expected(k.present)
		reason, ok := v.decide(now, settle, k.present, target, reason)
		if !ok {
			return
		}
		if target < from {
			v.loweredAt, p.lowered = now, true
			f.discount(k, k.present-target)
		}
		v.before, v.standing = v.standing, max(v.standing, target)
		v.want, v.pending, v.matchedAt, v.sentAt, p.sent = target, true, now, now, true
		orders = append(orders, Order{
			Target:   duty.Target{Pool: d.Name, Centre: s.centre, Engines: target, Reclaimable: reclaimable},
			From:     from,
			Observed: observed, Planned: planned, Reason: reason,
		})
	}
	cuts := p.onDemandCuts(f, t)
	for i := range f.centres {
		t.onDemand[i] = max(t.onDemand[i], p.order(subject{f.centres[i].name, false}).expected(f.centres[i].onDemand.present)-cuts[i])
		target, reason := p.next(now, d, f, t, i, true)
		ordersOf(i, true, target, reason)
	}
	for i := len(f.centres) - 1; i >= 0; i-- { // the most expensive ones are removed first
		target, reason := p.next(now, d, f, t, i, false)
		ordersOf(i, false, target, reason)
	}
	return orders
}

// next returns the number of engines of a kind to order now on the way to a target, and
// why.
func (p *pool) next(now time.Duration, d *Pool, f *fleet, t split, i int, reclaimable bool) (target int, reason string) {
	c := &f.centres[i]
	k, otherKind, target := &c.onDemand, &c.reclaimable, t.onDemand[i]
	if reclaimable {
		k, otherKind, target = &c.reclaimable, &c.onDemand, t.reclaimable[i]
	}
	v, other := p.order(subject{c.name, reclaimable}), p.order(subject{c.name, !reclaimable}).expected(otherKind.present)
	current := v.expected(k.present)
	// Bounds are for both kinds together; engines of the other kind that an order
	// removed count until the list shows it.
	room := max(0, d.Bounds.Max-max(other, otherKind.present, p.order(subject{c.name, !reclaimable}).standing))
	switch {
	case reclaimable && v.reclaimed && v.standing+t.onDemand[i] > d.Bounds.Max:
		return d.Bounds.Max - t.onDemand[i], "reclaimed, and on-demand engines need the room"
	case target > current && room > current:
		return min(target, room), "more engines are needed"
	case target < current && p.mayLower(now, v, k, reclaimable):
		// Engines that aren't listed yet, or that never came, are no loss.
		n := current - target
		cut := min(n, max(p.removable(f, k, n), current-k.present))
		if cut < n && p.need.requested && v.loweredAt > 0 && now-v.loweredAt < partPause {
			return current, ""
		}
		return current - cut, "others serve"
	}
	return current, ""
}

// mayLower reports whether fewer engines of a kind may be ordered now.
func (p *pool) mayLower(now time.Duration, v *ordered, k *kindCount, reclaimable bool) bool {
	if v.loweredAt > 0 && now-v.loweredAt < lowerPause {
		return false
	}
	if k.present > v.expected(k.present) {
		return false // the last reduction isn't listed yet
	}
	// What an earlier leader ordered stays until the demand was seen for a while. On-demand
	// engines are removed as soon as enough others serve.
	return !reclaimable || p.first || v.want != unknown || p.need.requested && now-p.need.start >= needMemory
}

// decide reports whether an order for a target is sent now, and why.
func (o *ordered) decide(now, settle time.Duration, present, target int, reason string) (string, bool) {
	if o.pending || o.fenced || o.blocked(now) && target >= o.standing || now < o.retryAt {
		return "", false
	}
	if present == o.want || o.want == unknown {
		o.matchedAt, o.mismatchWait = now, 0
	}
	switch {
	case target != o.expected(present) || o.blocked(now):
		return reason, reason != ""
	case o.repeat:
		return "the last order had no answer or failed", true
	case o.confirmAt > 0 && now >= o.confirmAt:
		o.confirmAt = 0
		return "an earlier order had no answer and may have been executed since", true
	case now-o.matchedAt > max(settle+confirmSlack, o.mismatchWait):
		o.mismatchWait = min(max(settle, o.mismatchWait)*2, maxMismatchWait)
		return fmt.Sprintf("the list shows %d", present), true
	}
	return "", false
}

// confirmSlack is how much later than expected the list may show a new engine.
const confirmSlack = 1500 * time.Millisecond

// describe returns the demand and the engines of a pool as text.
func (p *pool) describe(f *fleet) string {
	prefill, decode := p.need.prefill, p.need.decode
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "needs %d engines", p.needed)
	if n := len(p.need.samples); n > 0 {
		last := p.need.samples[n-1]
		_, _ = fmt.Fprintf(&b, ", %.1f requests/s, %.1f refused/s, %.1f prefill and %.1f decode engines in full use, usually up to %.1f and %.1f, at most %.1f and %.1f",
			last.requests, last.refused, last.prefill, last.decode, prefill.usual, decode.usual, prefill.peak, decode.peak)
	}
	for i := range f.centres {
		c := &f.centres[i]
		_, _ = fmt.Fprintf(&b, "; %s: %d on demand, %d reclaimable, %d leaving, %d serving",
			c.name, c.onDemand.present, c.reclaimable.present, c.onDemand.leaving+c.reclaimable.leaving, c.onDemand.serving+c.reclaimable.serving)
	}
	return b.String()
}

// describeSplit returns a split as text.
func describeSplit(f *fleet, t split, blocked func(centre string, reclaimable bool) bool) string {
	var b strings.Builder
	for i := range f.centres {
		c := &f.centres[i]
		if i > 0 {
			b.WriteString("; ")
		}
		_, _ = fmt.Fprintf(&b, "%s at %.2f: %d on demand, %d reclaimable", c.name, c.price, t.onDemand[i], t.reclaimable[i])
		if blocked(c.name, true) {
			b.WriteString(" (none available)")
		}
	}
	return b.String()
}
