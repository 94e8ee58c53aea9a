package origin

import (
	"slices"
	"time"

	"verbenahaven.example/core/version/state"
)

// Builds knows which builds serve in each pool, and which did before.
type Builds struct {
	pools map[string]*poolBuilds
}

type poolBuilds struct {
	listed map[string]bool      // builds of the pool's backend servers
	gone   map[string]time.Time // since when a former build isn't listed
}

// buildMemory is how long a former build is remembered. No stream is older.
const buildMemory = time.Hour

// NewBuilds returns a Builds that knows no pool.
func NewBuilds() *Builds { return &Builds{pools: make(map[string]*poolBuilds)} }

// Update takes the backend servers of a new version of the state. It returns the
// pools that have several builds now and had one or none before.
func (b *Builds) Update(now time.Time, engines []state.Engine, servers []state.Server) []string {
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
		if b.pools[pool] == nil {
			b.pools[pool] = &poolBuilds{gone: make(map[string]time.Time)}
		}
	}
	var mixed []string
	for pool, p := range b.pools {
		if len(p.listed) < 2 && len(listed[pool]) > 1 {
			mixed = append(mixed, pool)
		}
		p.update(now, listed[pool])
	}
	slices.Sort(mixed)
	return mixed
}

func (p *poolBuilds) update(now time.Time, listed map[string]bool) {
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
// before. What was before the first update is taken to be like it.
func (b *Builds) Sole(now time.Time, pool string, within time.Duration) (string, bool) {
	p := b.pools[pool]
	if p == nil || len(p.listed) != 1 {
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
