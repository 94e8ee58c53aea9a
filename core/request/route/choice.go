package route

import (
	"math"
	"time"

	"verbenahaven.example/core/version/state"
)

// candidates returns up to two engines of a role to compare. Both are selected
// by rendezvous hashing of the request's fingerprint, so that copies of a
// request that arrive through several instances concurrently go to the same two
// engines: a request that crashes engines can't crash more of them. The engine
// with the longest cached prefix replaces the second one, but not for a suspect
// request.
//
// Unusable engines keep their rank in the hashing for the same reason. Others
// are selected only if both are unusable; preferredLost is then set if one of
// the two was lost recently.
func (r *Router) candidates(now time.Time, req *Request, role state.Role, d *Decision) (list []*engineView, preferredLost bool) {
	g := r.groups[groupKey{model: req.Model, role: role}]
	if g == nil {
		return nil, false
	}
	pair := rendezvousPair(g.engines, req, nil)
	if v := r.longestCached(g.engines, req); v != nil && v != pair[0] {
		pair[1] = v
	}
	for _, v := range pair {
		if v == nil {
			continue
		}
		if reason := v.unusableReason(req); reason != "" {
			preferredLost = preferredLost || (!v.lostAt.IsZero() && now.Sub(v.lostAt) < recentLoss)
			d.Candidates = append(d.Candidates, Candidate{Engine: v.engine.Name, Reason: reason})
			continue
		}
		list = append(list, v)
	}
	if len(list) > 0 {
		return list, false
	}
	for _, v := range rendezvousPair(g.engines, req, func(v *engineView) bool { return v.unusableReason(req) == "" }) {
		if v != nil {
			list = append(list, v)
		}
	}
	return list, preferredLost
}

// rendezvousPair returns the two engines that rank first for the fingerprint,
// of those for which usable holds, or of all if it is nil.
func rendezvousPair(views []*engineView, req *Request, usable func(*engineView) bool) [candidatesPerRole]*engineView {
	var best [candidatesPerRole]*engineView
	lowest := [candidatesPerRole]uint64{math.MaxUint64, math.MaxUint64}
	for _, v := range views {
		if usable != nil && !usable(v) {
			continue
		}
		hash := rendezvousHash(req.Fingerprint, v)
		switch {
		case hash < lowest[0] || best[0] == nil:
			best[1], lowest[1] = best[0], lowest[0]
			best[0], lowest[0] = v, hash
		case hash < lowest[1] || best[1] == nil:
			best[1], lowest[1] = v, hash
		}
	}
	return best
}

// longestCached returns the usable engine with the longest cached prefix, or
// nil if none holds any.
func (r *Router) longestCached(views []*engineView, req *Request) *engineView {
	if r.policy != PolicyCache || len(req.BlockHashes) == 0 || req.Suspect {
		return nil
	}
	var best *engineView
	longest := 0
	for _, v := range views {
		if n := v.prefixes.CachedBlocks(req.BlockHashes); n > longest && v.unusableReason(req) == "" {
			best, longest = v, n
		}
	}
	return best
}
