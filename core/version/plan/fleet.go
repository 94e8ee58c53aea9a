package plan

import (
	"slices"
	"time"

	"verbenahaven.example/core/version/state"
)

// Defaults for engines that don't report these values.
const (
	defaultPrefillRate = 20000.0 // prompt tokens per second
	defaultMaxBatch    = 64
	defaultStepTime    = 10 * time.Millisecond // of a batch of one stream
)

// pool holds the engines of one model.
type pool struct {
	model    string
	engines  []Engine
	changing int // engines of all models that are changing their role
}

// groupByModel groups the engines by model, in order of appearance.
func groupByModel(in Input) []pool {
	var pools []pool
	index := make(map[string]int)
	changing := 0
	for _, e := range in.Engines {
		if e.Phase == state.PhaseChanging {
			changing++
		}
		i, ok := index[e.Model]
		if !ok {
			i = len(pools)
			index[e.Model] = i
			pools = append(pools, pool{model: e.Model})
		}
		pools[i].engines = append(pools[i].engines, e)
	}
	for i := range pools {
		pools[i].changing = changing
	}
	return pools
}

// usable reports whether an engine takes requests.
func usable(e Engine) bool {
	return e.Alive && e.Phase == state.PhaseServing
}

// countRole returns the number of usable engines with exactly this role.
func (p pool) countRole(r state.Role) int {
	n := 0
	for _, e := range p.engines {
		if usable(e) && e.Role == r {
			n++
		}
	}
	return n
}

// countServing returns the number of usable engines that serve a role, mixed
// engines included.
func (p pool) countServing(r state.Role) int {
	return p.countRole(r) + p.countRole(state.RoleMixed)
}

// countPresent returns the number of engines that don't leave.
func (p pool) countPresent() int {
	n := 0
	for _, e := range p.engines {
		if e.Phase != state.PhaseLeaving {
			n++
		}
	}
	return n
}

// countDurable returns the number of engines that have a role, or change to it, and aren't
// reclaimable.
func (p pool) countDurable(r state.Role) int {
	n := 0
	for _, e := range p.engines {
		if !e.Reclaimable && e.Alive && e.Phase != state.PhaseLeaving && nextRole(e) == r {
			n++
		}
	}
	return n
}

// nextRole returns the role that an engine has, or that it changes to.
func nextRole(e Engine) state.Role {
	if e.Phase == state.PhaseChanging {
		return oppositeRole(e.Role)
	}
	return e.Role
}

// hasReclaimable reports whether the platform may take engines away.
func (p pool) hasReclaimable() bool {
	return slices.ContainsFunc(p.engines, func(e Engine) bool { return e.Reclaimable })
}

// candidate returns the engine to take from a role: the one with the fewest
// requests, then the shortest queue and the least KV memory in use, among those
// whose last change is at least the dwell time ago. It returns false if there is
// none.
func (p pool) candidate(now time.Time, from state.Role, dwell time.Duration) (Engine, bool) {
	var best Engine
	found := false
	for _, e := range p.engines {
		if !usable(e) || e.Role != from || now.Sub(e.ChangedAt) < dwell {
			continue
		}
		if !found || lessLoaded(e, best) {
			best, found = e, true
		}
	}
	return best, found
}

// lessLoaded reports whether a has less work than b; ties are broken by name.
func lessLoaded(a, b Engine) bool {
	if x, y := a.Running+a.Waiting, b.Running+b.Waiting; x != y {
		return x < y
	}
	if a.QueuedTokens != b.QueuedTokens {
		return a.QueuedTokens < b.QueuedTokens
	}
	if a.KVUsage != b.KVUsage {
		return a.KVUsage < b.KVUsage
	}
	return a.Name < b.Name
}

// oppositeRole returns decode for prefill, and prefill for any other role.
func oppositeRole(r state.Role) state.Role {
	if r == state.RolePrefill {
		return state.RoleDecode
	}
	return state.RolePrefill
}

// prefillRate returns the prefill rate in prompt tokens per second.
func prefillRate(e Engine) float64 {
	if e.PrefillRate > 0 {
		return e.PrefillRate
	}
	return defaultPrefillRate
}

// maxBatch returns the largest number of streams in a decode batch.
func maxBatch(e Engine) int {
	if e.MaxBatch > 0 {
		return e.MaxBatch
	}
	return defaultMaxBatch
}
