package origin

import (
	"maps"
	"slices"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/state"
)

// Builds knows which builds serve in each pool, and which did before.
type Builds struct {
	pools   map[string]*poolBuilds
	learned uint64 // version of the state up to which the leader told the former builds
}

type poolBuilds struct {
	listed    map[string]bool      // builds of the pool's backend servers
	changedAt uint64               // version of the state in which listed changed
	gone      map[string]time.Time // since when a former build isn't listed
}

// buildMemory is how long a former build is remembered. No stream is older.
const buildMemory = time.Hour

// NewBuilds returns a Builds that knows no pool.
func NewBuilds() *Builds { return &Builds{pools: make(map[string]*poolBuilds)} }

// Update takes the backend servers of a new version of the state. It returns the
// pools that have several builds now and had one or none before.
func (b *Builds) Update(now time.Time, version uint64, engines []state.Engine, servers []state.Server) []string {
	listed := make(map[string]map[string]bool)
	add := func(pool, build string) {
		if listed[pool] == nil {
			listed[pool] = make(map[string]bool)
		}
		listed[pool][build] = true
	}
	for _, e := range engines {
		add(e.Pool, e.Build)
	}
	for _, s := range servers {
		add(s.Service, s.Build)
	}
	for pool := range listed {
		b.pool(pool)
	}
	var mixed []string
	for pool, p := range b.pools {
		if len(p.listed) < 2 && len(listed[pool]) > 1 {
			mixed = append(mixed, pool)
		}
		p.update(now, version, listed[pool])
	}
	slices.Sort(mixed)
	return mixed
}

func (b *Builds) pool(name string) *poolBuilds {
	p := b.pools[name]
	if p == nil {
		p = &poolBuilds{gone: make(map[string]time.Time)}
		b.pools[name] = p
	}
	return p
}

// Learn takes the builds that had left the list as of a version of the state, which the
// leader tells, so that an instance knows of those that left before it started.
func (b *Builds) Learn(now time.Time, version uint64, former []proto.FormerBuild) {
	b.learned = max(b.learned, version)
	for _, f := range former {
		p := b.pool(f.Pool)
		if left := now.Add(-f.Age); !p.listed[f.Build] && left.After(p.gone[f.Build]) {
			p.gone[f.Build] = left
		}
	}
}

func (p *poolBuilds) update(now time.Time, version uint64, listed map[string]bool) {
	if !maps.Equal(p.listed, listed) {
		p.changedAt = version
	}
	for build := range p.listed {
		p.gone[build] = now
	}
	for build, since := range p.gone {
		if listed[build] || now.Sub(since) > buildMemory {
			delete(p.gone, build)
		}
	}
	p.listed = listed
}

// Sole returns the build of a pool if it is the only one now and for some time
// before.
func (b *Builds) Sole(now time.Time, pool string, within time.Duration) (string, bool) {
	p := b.pools[pool]
	if p == nil || len(p.listed) != 1 || b.learned < p.changedAt {
		return "", false
	}
	for _, since := range p.gone {
		if now.Sub(since) <= within {
			return "", false
		}
	}
	for build := range p.listed {
		return build, true
	}
	return "", false
}
