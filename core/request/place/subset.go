package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenahaven.example/core/request/pace"
	"verbenahaven.example/core/version/state"
)

// Decisions for large pools compare a part of the engines, so that their time doesn't grow
// with the pool: of each role maxNear in the own data centre and maxFar in others, which
// differ between requests, and maxHomes of all that are the same for all requests with a
// shared part.
const (
	maxNear  = 48
	maxFar   = 24
	maxHomes = 32
)

// poolIndex holds the engines of a pool by role and distance, each list ordered by hash.
type poolIndex struct {
	all    []*engineView
	decode []*engineView
	near   [2][]*engineView // prefill engines, then those that decode
	far    [2][]*engineView
}

func (x *poolIndex) add(v *engineView, near bool) {
	x.all = append(x.all, v)
	role := 0
	if v.engine.Role != state.RolePrefill {
		role = 1
		x.decode = append(x.decode, v)
	}
	if near {
		x.near[role] = append(x.near[role], v)
	} else {
		x.far[role] = append(x.far[role], v)
	}
}

// spread returns at most n engines of a list at equal distances, which depend on the key. Each
// engine is in the spread of the same share of keys, and what the order of the list decides is
// nearly the same for all of them.
func spread(list []*engineView, n int, key uint64) []*engineView {
	if len(list) <= n {
		return list
	}
	stride := (len(list) + n - 1) / n
	part := make([]*engineView, 0, n)
	for i := int(key % uint64(stride)); i < len(list); i += stride {
		part = append(part, list[i])
	}
	return part
}

// compared are the usable engines that a decision compares.
type compared struct {
	prefill []*engineView
	decode  []*engineView
	homes   []*engineView // decode engines that may be homes of the prompt's parts
	limited time.Duration // shortest wait for a decode engine that is only limited
}

// compare returns the usable engines to compare for a request: a part of a large pool, or all
// if none of that part can take it.
func (p *Placer) compare(now time.Time, req *Request) compared {
	x := p.pools[req.Pool]
	if x == nil {
		return compared{limited: pace.Forever}
	}
	if len(x.all) > 2*(maxNear+maxFar)+maxHomes {
		if c := p.comparePart(now, req, x); len(c.decode) > 0 {
			return c
		}
	}
	c := compared{limited: pace.Forever}
	for _, v := range x.all {
		c.add(p, now, req, v)
	}
	c.homes = c.decode
	return c
}

func (p *Placer) comparePart(now time.Time, req *Request, x *poolIndex) compared {
	c := compared{limited: pace.Forever}
	p.decision++
	add := func(list []*engineView) {
		for _, v := range list {
			if v.decision != p.decision {
				v.decision = p.decision
				c.add(p, now, req, v)
			}
		}
	}
	add(spread(x.decode, maxHomes, xxhash.Sum64String(homeKey(req))))
	c.homes = c.decode[:len(c.decode):len(c.decode)]
	key := xxhash.Sum64String(req.ID)
	for role := range x.near {
		add(spread(x.near[role], maxNear, key))
		add(spread(x.far[role], maxFar, key))
	}
	if len(c.homes) == 0 {
		c.homes = c.decode
	}
	return c
}

// add adds an engine if it may take the request.
func (c *compared) add(p *Placer, now time.Time, req *Request, v *engineView) {
	if !v.usable(now, req) {
		return
	}
	v.ageOthers(now.Sub(p.heardAt), p.answerTimes(req.Pool))
	v.rejected = v.rejections.current(now)
	if wait := p.limits.Wait(now, v.engine.Name); wait > 0 {
		if v.engine.Role != state.RolePrefill {
			c.limited = min(c.limited, wait)
		}
		return
	}
	v.slowed = now.Before(v.until)
	if v.engine.Role == state.RolePrefill {
		c.prefill = append(c.prefill, v)
	} else if req.Build == nil || v.engine.Build == *req.Build {
		c.decode = append(c.decode, v)
	}
}
