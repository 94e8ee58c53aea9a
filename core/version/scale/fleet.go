package scale

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"verbenahaven.example/core/version/state"
)

// kindCount counts the engines of one kind in a data centre.
type kindCount struct {
	present int // listed and not leaving
	serving int
	leaving int
	roles   map[state.Role]int // of the serving ones
}

// centre is one data centre of a pool.
type centre struct {
	name        string
	price       float64
	onDemand    kindCount
	reclaimable kindCount
}

// fleet is the engines of a pool, by data centre.
type fleet struct {
	centres []centre
	roles   map[state.Role]int // serving engines
}

// count returns the engines of a pool. Its data centres are those with a price, and those
// that have or had engines.
func (p *pool) count(d *Pool, engines []Engine) *fleet {
	prices := make(map[string]float64)
	for _, e := range engines {
		if e.Pool == d.Name {
			p.centres[e.Centre] = true
		}
	}
	for name := range p.centres {
		prices[name] = 1
	}
	maps.Copy(prices, d.Bounds.CentrePrices)
	f := &fleet{roles: make(map[state.Role]int)}
	for name, price := range prices {
		f.centres = append(f.centres, centre{
			name: name, price: price, onDemand: kindCount{roles: make(map[state.Role]int)}, reclaimable: kindCount{roles: make(map[state.Role]int)},
		})
	}
	slices.SortFunc(f.centres, func(a, b centre) int { return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.name, b.name)) })
	for _, e := range engines {
		if e.Pool == d.Name {
			f.add(e)
		}
	}
	return f
}

func (f *fleet) add(e Engine) {
	i := slices.IndexFunc(f.centres, func(c centre) bool { return c.name == e.Centre })
	k := &f.centres[i].onDemand
	if e.Reclaimable {
		k = &f.centres[i].reclaimable
	}
	switch e.Phase {
	case state.PhaseServing, state.PhaseChanging:
		k.present++
		if e.Alive {
			k.serving++
			k.roles[e.Role]++
			f.roles[e.Role]++
		}
	default:
		k.leaving++
	}
}

func (f *fleet) sum(value func(c *centre) int) int {
	n := 0
	for i := range f.centres {
		n += value(&f.centres[i])
	}
	return n
}

func (f *fleet) total() int { return f.onDemand() + f.reclaimable() }

func (f *fleet) onDemand() int {
	return f.sum(func(c *centre) int { return c.onDemand.present })
}

func (f *fleet) reclaimable() int {
	return f.sum(func(c *centre) int { return c.reclaimable.present })
}

// serving returns the number of engines that serve.
func (f *fleet) serving() int {
	return f.sum(func(c *centre) int { return c.onDemand.serving + c.reclaimable.serving })
}

// surviving returns the number of serving engines that remain if all reclaimable ones of
// one data centre are taken away.
func (f *fleet) surviving() int {
	most := 0
	for i := range f.centres {
		most = max(most, f.centres[i].reclaimable.serving)
	}
	return f.serving() - most
}

// kind returns the engines of a subject.
func (f *fleet) kind(s subject) *kindCount {
	for i := range f.centres {
		c := &f.centres[i]
		switch {
		case c.name != s.centre:
		case s.reclaimable:
			return &c.reclaimable
		default:
			return &c.onDemand
		}
	}
	return &kindCount{}
}

// discountRemoved takes engines out of the count that an order removes but the list still
// shows. Any of the kind may be the ones that leave.
func (p *pool) discountRemoved(f *fleet) {
	for s, o := range p.orders {
		if k := f.kind(s); o.want != unknown && o.want < k.present {
			f.discount(k, k.present-o.want)
		}
	}
}

func (f *fleet) discount(k *kindCount, n int) {
	n = max(0, n)
	k.serving = max(0, k.serving-n)
	for role, have := range k.roles {
		lost := min(n, have)
		k.roles[role] -= lost
		f.roles[role] -= lost
	}
}

// maxMissingShare limits the engines of a subject that are replaced because they don't
// serve: if most don't, the fault is rather the leader's path to them.
const maxMissingShare = 0.25

// countMissing counts the engines that don't serve long after they were ordered. They are
// ordered in addition, since the platform counts them.
func (p *pool) countMissing(now, settle time.Duration, f *fleet) {
	p.missing = 0
	for i := range f.centres {
		for _, s := range []subject{{f.centres[i].name, false}, {f.centres[i].name, true}} {
			k, o := f.kind(s), p.order(s)
			n := max(0, o.expected(k.present)-k.serving)
			if now-max(o.sentAt, p.listedAt) <= settle+confirmSlack {
				n = min(n, o.missing) // engines ordered last may still boot
			}
			o.missing = min(n, int(maxMissingShare*float64(o.expected(k.present))))
			p.missing += o.missing
		}
	}
}

// reclaimPause is how long no reclaimable engines are ordered in a data centre that lost
// its own: none are available there for about ten seconds.
const reclaimPause = 9 * time.Second

// noticeReclaims finds data centres whose reclaimable engines are being taken away, or
// are gone. All of a data centre leave at once, unlike those that an order removes.
func (p *pool) noticeReclaims(now time.Duration, f *fleet) {
	for i := range f.centres {
		k := &f.centres[i].reclaimable
		o := p.order(subject{f.centres[i].name, true})
		lost := o.lost(k)
		o.seen = k.present
		switch {
		case lost && !o.reclaimed:
			o.reclaimed = true
			o.want = unknown // the last order stands, but must be given again
			o.block(now, reclaimPause)
		case !lost && (k.present > 0 || !o.blocked(now)):
			o.reclaimed = false
		}
	}
}

// lost reports whether the reclaimable engines of a data centre are being taken away, or
// are gone since the last list, without an order.
func (o *ordered) lost(k *kindCount) bool {
	switch {
	case o.want == 0:
		return false
	case k.present == 0:
		return k.leaving > 0 || o.seen > 0
	}
	return k.leaving >= k.present && k.present < o.want
}
