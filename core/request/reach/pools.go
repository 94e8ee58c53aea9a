package reach

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Pools holds a detector for each pool of backend servers. It answers the trouble of
// instances that lose the path to the servers of one service and keep the others.
// It may be used concurrently.
type Pools struct {
	mu        sync.Mutex
	byPool    map[string]*Detector
	byAddress map[string][]*Detector
	next      int // index of the pool that may probe next
	names     []string
}

// NewPools returns the detectors of no pools.
func NewPools() *Pools { return &Pools{byPool: make(map[string]*Detector)} }

// SetServers sets the addresses of all known backend servers, by pool.
func (p *Pools) SetServers(addresses map[string][]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.names, p.byAddress = p.names[:0], make(map[string][]*Detector)
	for pool := range p.byPool {
		if _, found := addresses[pool]; !found {
			delete(p.byPool, pool)
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(addresses)) {
		list := addresses[pool]
		d := p.byPool[pool]
		if d == nil {
			d = New()
			p.byPool[pool] = d
		}
		d.SetServers(list)
		p.names = append(p.names, pool)
		for _, a := range list {
			p.byAddress[a] = append(p.byAddress[a], d)
		}
	}
}

// each calls f for the detectors of the pools that a server is in.
func (p *Pools) each(address string, f func(*Detector)) {
	p.mu.Lock()
	list := p.byAddress[address]
	p.mu.Unlock()
	for _, d := range list {
		f(d)
	}
}

// Dialling records that a connection attempt began.
func (p *Pools) Dialling(now time.Time, address string) {
	p.each(address, func(d *Detector) { d.Dialling(now, address) })
}

// Dialled records that a connection attempt ended.
func (p *Pools) Dialled(now time.Time, address string, ok bool) {
	p.each(address, func(d *Detector) { d.Dialled(now, address, ok) })
}

// Abandoned records that a connection attempt was given up.
func (p *Pools) Abandoned(now time.Time, address string) {
	p.each(address, func(d *Detector) { d.Abandoned(now, address) })
}

// Sent records that a request was written and waits for its answer.
func (p *Pools) Sent(now time.Time, address string) {
	p.each(address, func(d *Detector) { d.Sent(now, address) })
}

// Heard records that bytes of an answer arrived.
func (p *Pools) Heard(now time.Time, address string) {
	p.each(address, func(d *Detector) { d.Heard(now, address) })
}

// Ended records the end of an exchange. lost reports whether it ended before any byte.
func (p *Pools) Ended(now time.Time, address string, lost bool) {
	p.each(address, func(d *Detector) { d.Ended(now, address, lost) })
}

// Probed records the result of a probe.
func (p *Pools) Probed(now time.Time, address string, ok bool) {
	p.each(address, func(d *Detector) { d.Probed(now, address, ok) })
}

// NextProbe returns the address of a server to connect to now, of each pool in turn.
func (p *Pools) NextProbe(now time.Time) (address string, due bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for range p.names {
		p.next = (p.next + 1) % len(p.names)
		if address, due = p.byPool[p.names[p.next]].NextProbe(now); due {
			return address, true
		}
	}
	return "", false
}

// Cut reports whether the calls of a pool should be served by a peer.
func (p *Pools) Cut(now time.Time, pool string) bool {
	return p.holds(pool, func(d *Detector) bool { return d.Cut(now) })
}

// Suspicious reports whether evidence against the path to a pool is mounting.
func (p *Pools) Suspicious(now time.Time, pool string) bool {
	return p.holds(pool, func(d *Detector) bool { return d.Suspicious(now) })
}

// DoubtsLosses reports whether a loss of a server of a pool may be due to the path.
func (p *Pools) DoubtsLosses(now time.Time, pool string) bool {
	return p.holds(pool, func(d *Detector) bool { return d.DoubtsLosses(now) })
}

// EvidenceSince returns when the evidence against the path to a pool began.
func (p *Pools) EvidenceSince(now time.Time, pool string) (since time.Time, found bool) {
	p.holds(pool, func(d *Detector) bool {
		var at time.Time
		if at, found = d.EvidenceSince(now); found && (since.IsZero() || at.Before(since)) {
			since = at
		}
		return found
	})
	return since, found
}

// Pools returns the names of the known pools.
func (p *Pools) Pools() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.names)
}

// holds reports whether a condition holds for a pool. One server says nothing about
// the path: a pool without others goes by all other pools.
func (p *Pools) holds(pool string, condition func(*Detector) bool) bool {
	p.mu.Lock()
	list := p.judges(pool)
	p.mu.Unlock()
	for _, d := range list {
		if !condition(d) {
			return false
		}
	}
	return len(list) > 0
}

func (p *Pools) judges(pool string) []*Detector {
	if d := p.byPool[pool]; d != nil && d.Servers() >= minFailures {
		return []*Detector{d}
	}
	var list []*Detector
	for _, d := range p.byPool {
		if d.Servers() >= minFailures {
			list = append(list, d)
		}
	}
	return list
}

// Servers returns the number of known backend servers.
func (d *Detector) Servers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.addresses)
}
