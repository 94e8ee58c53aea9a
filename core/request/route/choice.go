package route

import (
	"math"
	"time"

	"verbenahaven.example/core/version/state"
)

// candidates returns up to two engines of a role to compare. Both are drawn
// by the fingerprint of the request, so that copies of one request which come
// through several instances at once meet the same two engines: a request that
// crashes engines can't cost more. With a cached prefix the engine that holds
// the longest replaces the second, but not for a suspect.
//
// Engines that are out of use keep their place in the draw for the same
// reason. Only when both are out of use are others drawn; strayed is set if
// one of the two was lost just now.
func (r *Router) candidates(now time.Time, a *Ask, role state.Role, d *Decision) (list []*host, strayed bool) {
	g := r.groups[groupKey{model: a.Model, role: role}]
	if g == nil {
		return nil, false
	}
	drawn := draw(g.hosts, a, nil)
	if h := r.warmest(g.hosts, a); h != nil && h != drawn[0] {
		drawn[1] = h
	}
	for _, h := range drawn {
		if h == nil {
			continue
		}
		if reason := h.usable(a); reason != "" {
			strayed = strayed || (!h.lost.IsZero() && now.Sub(h.lost) < recent)
			d.Weighed = append(d.Weighed, Weighed{Engine: h.engine.Name, Reason: reason})
			continue
		}
		list = append(list, h)
	}
	if len(list) > 0 {
		return list, false
	}
	for _, h := range draw(g.hosts, a, func(h *host) bool { return h.usable(a) == "" }) {
		if h != nil {
			list = append(list, h)
		}
	}
	return list, strayed
}

// draw returns the first two hosts of the fingerprint's order.
func draw(hosts []*host, a *Ask, usable func(*host) bool) [choices]*host {
	var best [choices]*host
	low := [choices]uint64{math.MaxUint64, math.MaxUint64}
	for _, h := range hosts {
		if usable != nil && !usable(h) {
			continue
		}
		n := rank(a.Fingerprint, h)
		switch {
		case n < low[0] || best[0] == nil:
			best[1], low[1] = best[0], low[0]
			best[0], low[0] = h, n
		case n < low[1] || best[1] == nil:
			best[1], low[1] = h, n
		}
	}
	return best
}

// warmest returns the usable host with the longest cached prefix, if any.
func (r *Router) warmest(hosts []*host, a *Ask) *host {
	if r.policy != PolicyCache || len(a.Pieces) == 0 || a.Suspect {
		return nil
	}
	var best *host
	most := 0
	for _, h := range hosts {
		if n := h.prefixes.Cached(a.Pieces); n > most && h.usable(a) == "" {
			best, most = h, n
		}
	}
	return best
}
