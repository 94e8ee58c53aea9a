// Package scale decides how many engines of each kind a pool has in each data centre:
// reclaimable ones, which are cheap and may be taken away at short notice, and on-demand
// ones. It answers demand whose mix and amount change in waves of 2.8 s within shifts of
// 14 s, and platforms that take away all reclaimable engines of a data centre at once and
// have none for about 10 s. It is a state machine without I/O; each decision depends only
// on the time, the observations and the results of orders passed in so far.
package scale

import (
	"slices"
	"time"

	"verbenahaven.example/core/conn/duty"
	"verbenahaven.example/core/version/state"
)

// Settings holds what the machine can't observe.
type Settings struct {
	ListLag time.Duration // delay of the list of engines
	// First is set if no other leader has ordered engines before.
	First bool
}

// Engine is one engine that the list contains.
type Engine struct {
	Pool         string
	Centre       string
	Reclaimable  bool
	Role         state.Role
	Phase        state.Phase
	Alive        bool          // its report was read lately
	Streams      int           // running and waiting
	PrefillRate  float64       // prompt tokens per second; 0 if unknown
	PrefillDelay time.Duration // time of a prefill besides its tokens
}

// Pool is one pool whose number of engines may change, with its demand.
type Pool struct {
	Name   string
	Bounds state.Autoscale
	Batch  int // streams that an engine can run at once

	RequestRate float64 // requests per second, refused ones included
	PrefillRate float64 // prompt tokens to compute per second
	RefusalRate float64 // requests per second refused for lack of capacity
}

// Input is what the machine decides on.
type Input struct {
	Pools    []Pool
	Engines  []Engine
	MayOrder bool // orders may be sent now
}

// Order is an order of engines, with the reasons that operators can ask for.
type Order struct {
	duty.Target
	From     int    // engines of the kind before the order
	Observed string // observed demand and engines
	Planned  string // numbers that the pool shall have in the end
	Reason   string
}

// Outcome is the result of an order.
type Outcome uint8

// Outcomes of an order.
const (
	Ordered     Outcome = iota + 1
	Unavailable         // none are available there now
	Retry               // not executed, for a reason that passes
	Fenced              // a later leader gives orders there
	Unanswered          // may still be executed
)

// Machine decides for all pools.
type Machine struct {
	settings Settings
	pools    map[string]*pool
}

// New returns a machine for a leader whose term begins.
func New(s Settings) *Machine {
	return &Machine{settings: s, pools: make(map[string]*pool)}
}

// Step records an observation and returns the orders that are due. Each must be reported
// to HandleResult exactly once; until then there is no other order for the same kind of
// engines in its data centre. The time must not run backwards.
func (m *Machine) Step(now time.Duration, in Input) []Order {
	for name := range m.pools {
		if !slices.ContainsFunc(in.Pools, func(p Pool) bool { return p.Name == name }) {
			delete(m.pools, name)
		}
	}
	orders := make([]Order, 0, len(in.Pools))
	for i := range in.Pools {
		p := m.pools[in.Pools[i].Name]
		if p == nil {
			p = newPool(m.settings.First)
			m.pools[in.Pools[i].Name] = p
		}
		orders = append(orders, p.step(now, &m.settings, &in.Pools[i], in)...)
	}
	return orders
}

// HandleResult records what became of an order.
func (m *Machine) HandleResult(now time.Duration, o Order, r Outcome) {
	if p := m.pools[o.Pool]; p != nil {
		p.handleResult(now, o, r)
	}
}

// Needed returns the number of engines that a pool needs, or 0 if it isn't known yet.
func (m *Machine) Needed(pool string) int {
	if p := m.pools[pool]; p != nil {
		return p.needed
	}
	return 0
}

// subject is one kind of engines of a pool in one data centre.
type subject struct {
	centre      string
	reclaimable bool
}

// pool is the state of one pool.
type pool struct {
	need     needWindow
	centres  map[string]bool // that had engines
	first    bool            // no other leader has ordered engines before
	needed   int             // engines that must remain after a loss; 0 before the first list
	must     int             // of the needed ones, those that must remain also if that takes on-demand engines
	goal     int             // of the needed ones, those that remain after a loss as planned
	missing  int             // engines that were ordered but don't serve
	lowerAt  time.Duration   // earliest time to lower needed
	listed   bool            // the list has contained the pool
	listedAt time.Duration   // for the first time
	most     int             // engines in any list
	grownAt  time.Duration   // when the list had more of them than before
	sent     bool            // an order was sent
	lowered  bool            // an order removed engines
	orders   map[subject]*ordered
}

func newPool(first bool) *pool {
	return &pool{first: first, centres: make(map[string]bool), orders: make(map[subject]*ordered)}
}

func (p *pool) step(now time.Duration, s *Settings, d *Pool, in Input) []Order {
	f := p.count(d, in.Engines)
	settle := d.Bounds.BootTime + s.ListLag
	p.need.add(now, measureNeed(d, in.Engines))
	if !p.begin(now, settle, d, f) {
		return nil
	}
	p.noticeReclaims(now, f)
	p.countMissing(now, settle, f)
	p.discountRemoved(f)
	p.updateNeed(now, d, f)
	if !in.MayOrder {
		return nil
	}
	return p.due(now, settle, d, f, p.targets(now, d, f))
}

// begin reports whether the number of needed engines is known. It is taken from the
// engines once those that an earlier leader ordered must be listed.
func (p *pool) begin(now, settle time.Duration, d *Pool, f *fleet) bool {
	if !p.listed {
		if f.total() == 0 {
			return false // an empty list isn't an empty pool
		}
		p.listed, p.listedAt = true, now
	}
	if n := f.total(); n > p.most {
		p.most, p.grownAt = n, now
	}
	if p.first && !p.sent && now-p.grownAt < listSettle {
		// An order for a data centre whose engines aren't listed yet would remove them.
		return false
	}
	switch {
	case p.first && !p.lowered:
		p.needed = max(p.needed, initialNeed(d, f))
	case p.needed == 0 && now-p.listedAt >= settle:
		p.needed = initialNeed(d, f)
	}
	return p.needed > 0
}
