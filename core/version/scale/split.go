package scale

import (
	"math"
	"time"

	"verbenahaven.example/core/version/state"
)

// floorShare is the share of the needed engines that are on demand beside reclaimable
// ones: they serve on a reduced level if all others are taken away.
const floorShare = 0.1

// split is a number of engines of each kind for each data centre, in the order of
// fleet.centres.
type split struct {
	onDemand, reclaimable []int
}

func newSplit(n int) split { return split{make([]int, n), make([]int, n)} }

func sumOf(v []int) int {
	n := 0
	for _, x := range v {
		n += x
	}
	return n
}

// surviving returns the engines that remain if all reclaimable ones of one data centre
// are taken away.
func (s split) surviving() int {
	most := 0
	for _, n := range s.reclaimable {
		most = max(most, n)
	}
	return s.all() - most
}

func (s split) all() int { return sumOf(s.onDemand) + sumOf(s.reclaimable) }

// usesReclaimable reports whether a pool has reclaimable engines: where they are cheaper,
// but not in a single data centre, which would lose all at once.
func usesReclaimable(d *Pool, f *fleet) bool {
	return d.Bounds.ReclaimablePrice > 0 && d.Bounds.ReclaimablePrice < 1 && len(f.centres) > 1
}

// floorOf returns the least number of on-demand engines beside reclaimable ones: one for
// each data centre, and two so that each role has one.
func floorOf(needed, centres int) int {
	return max(2, centres, int(math.Ceil(floorShare*float64(needed))))
}

// initialNeed returns the number of needed engines as estimated from the listed ones: all
// of those that a pool began with, or the number that an earlier leader's split was for.
func initialNeed(d *Pool, f *fleet) int {
	reclaimable, centres := f.reclaimable(), len(f.centres)
	if reclaimable == 0 || centres < 2 {
		return f.total()
	}
	remaining := int(math.Ceil(float64(reclaimable) * float64(centres-1) / float64(centres)))
	floor := floorOf(int(float64(remaining)/(1-floorShare)), centres)
	return min(max(f.onDemand(), remaining+min(floor, f.onDemand())), d.Bounds.Max*centres)
}

// planSplit returns the cheapest split in which the needed engines remain after the loss
// of all reclaimable ones of a data centre. Where the bounds permit only fewer, on-demand
// engines take the place of others until must of them remain: they cost several times
// as much, and a loss lasts for seconds.
func planSplit(needed, must int, d *Pool, f *fleet) split {
	n := len(f.centres)
	if !usesReclaimable(d, f) {
		return planOnDemand(needed, d, f)
	}
	var s split
	for floor := floorOf(needed, n); ; floor++ {
		s = newSplit(n)
		spread(s.onDemand, floor, func(int) int { return d.Bounds.Max })
		for s.surviving() < needed && addOne(s.reclaimable, func(i int) int { return d.Bounds.Max - s.onDemand[i] }) {
		}
		if s.surviving() >= min(must, needed) || floor >= n*d.Bounds.Max {
			break
		}
	}
	for i := range s.reclaimable {
		s.reclaimable[i] = max(s.reclaimable[i], d.Bounds.Min-s.onDemand[i])
	}
	return s
}

// planOnDemand returns a split of on-demand engines only. It keeps the engines where they
// are, and takes others in the cheapest data centres.
func planOnDemand(needed int, d *Pool, f *fleet) split {
	s := newSplit(len(f.centres))
	for i := range s.onDemand {
		s.onDemand[i] = d.Bounds.Min
	}
	fill := func(limit func(i int) int) {
		for i := range s.onDemand {
			s.onDemand[i] += max(0, min(needed-sumOf(s.onDemand), limit(i)-s.onDemand[i]))
		}
	}
	fill(func(i int) int { return min(f.centres[i].onDemand.present, d.Bounds.Max) })
	fill(func(int) int { return d.Bounds.Max })
	return s
}

// addOne adds one engine in the data centre that has fewest, the cheapest of these, and
// returns false if none has room.
func addOne(v []int, limit func(i int) int) bool {
	best := -1
	for i := range v {
		if v[i] < limit(i) && (best < 0 || v[i] < v[best]) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	v[best]++
	return true
}

// spread adds engines evenly until there are total.
func spread(v []int, total int, limit func(i int) int) {
	for sumOf(v) < total && addOne(v, limit) {
	}
}

// targets returns the split to reach now: the planned one, without reclaimable
// engines where none are available. Other data centres take their share, and on-demand
// engines do if fewer than those that must remain would be planned otherwise.
func (p *pool) targets(now time.Duration, d *Pool, f *fleet) split {
	plan := planSplit(p.needed+p.missing, p.must, d, f)
	t := newSplit(len(f.centres))
	copy(t.onDemand, plan.onDemand)
	p.goal = min(p.needed, plan.surviving())
	limit := func(i int) int {
		room := d.Bounds.Max - t.onDemand[i]
		if o := p.order(subject{f.centres[i].name, true}); o.blocked(now) {
			room = min(room, o.usable(f.centres[i].reclaimable.present))
		}
		return room
	}
	spread(t.reclaimable, sumOf(plan.reclaimable), limit)
	wanted := p.needed
	if usesReclaimable(d, f) {
		wanted = p.must
	}
	missing := func() int { return wanted + p.missing - t.all() }
	room := func(i int) int {
		most := d.Bounds.Max - t.reclaimable[i]
		if usesReclaimable(d, f) {
			most = min(most, max(t.onDemand[i], d.Bounds.Max/2)) // else reclaimable ones couldn't return
		}
		if o := p.order(subject{f.centres[i].name, false}); o.blocked(now) {
			most = min(most, f.centres[i].onDemand.present)
		}
		return most
	}
	for i := range t.onDemand { // engines that are there already needn't boot
		t.onDemand[i] += max(0, min(missing(), min(room(i), f.centres[i].onDemand.present)-t.onDemand[i]))
	}
	for i := range t.onDemand {
		t.onDemand[i] += max(0, min(missing(), room(i)-t.onDemand[i]))
	}
	return t
}

// spare returns how many serving engines aren't needed. Before the first request a loss
// affects no caller, so that the engines that remain after one don't matter.
func (p *pool) spare(f *fleet) int {
	spare := f.serving() - p.needed
	if p.need.requested {
		spare = min(spare, f.surviving()-p.goal)
	}
	return max(0, spare)
}

// onDemandCuts returns how many on-demand engines may be removed in each data centre, at
// most all beyond the target. They are taken first where both kinds together are most, so
// that reclaimable ones get room everywhere.
func (p *pool) onDemandCuts(f *fleet, t split) []int {
	cuts, excess := make([]int, len(f.centres)), make([]int, len(f.centres))
	for i := range f.centres {
		c := &f.centres[i]
		excess[i] = p.order(subject{c.name, false}).expected(c.onDemand.present) - t.onDemand[i]
	}
	for range p.spare(f) {
		most, size := -1, 0
		for i := range excess { // the most expensive of equal ones
			if n := excess[i] + t.onDemand[i] + t.reclaimable[i]; excess[i] > 0 && n >= size {
				most, size = i, n
			}
		}
		if most < 0 {
			break
		}
		excess[most]--
		cuts[most]++
	}
	return cuts
}

// removable returns how many engines of a kind can be removed, at most n, so that enough
// remain in all and in each role, whichever engines the platform removes.
func (p *pool) removable(f *fleet, k *kindCount, n int) int {
	n = max(0, min(n, p.spare(f)))
	for role, v := range map[state.Role]load{state.RolePrefill: p.need.prefill, state.RoleDecode: p.need.decode} {
		left := max(1, int(math.Ceil(max(v.usual/growAt.usual, v.peak/growAt.peak))))
		if k.roles[role] > 0 && f.roles[role]-k.roles[role] < left {
			n = min(n, max(0, f.roles[role]-left))
		}
	}
	return n
}
