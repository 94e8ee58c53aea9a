package plan

import (
	"fmt"
	"math"
	"slices"
	"time"

	"verbenahaven.example/core/version/state"
)

const (
	// defaultFollowRate is the prefill rate of an engine that doesn't report it,
	// in prompt tokens per second.
	defaultFollowRate = 250_000.0
	// prefillUtilization is the share of the prefill rate that can be used while
	// randomly arriving prompts still meet their deadlines.
	prefillUtilization = 0.7
	// decodeUtilization is the share of the decode batches that streams may fill.
	decodeUtilization = 0.8
	// idlePrefillShare is the share of prefill engines before any demand. It is
	// above half: a queued prompt misses its deadline at once, while a decode
	// batch can take a few streams more.
	idlePrefillShare = 0.6
	// idleWait is how long there must have been no demand, and no change in the
	// number of engines, before that share is applied.
	idleWait = time.Second
	// spareDecodePrefill is the prefill capacity of a decode engine without
	// streams, in prefill engines: it prefills at half the rate, and not at all
	// while its last streams end.
	spareDecodePrefill = 0.25
	// decodeShortageWeight weighs a missing decode engine against a missing
	// prefill engine: streams that wait for capacity, or lose it, fail as a whole.
	decodeShortageWeight = 2.0
)

// followPolicy changes an engine's role when the demand over the horizon would
// have been met better with one engine more in the other role, by more than the
// cost of the change. Decode engines without streams add spareDecodePrefill to the
// prefill engines.
type followPolicy struct {
	settings  Settings
	models    map[string]*needHistory
	exchanges map[string]exchange // begun, by model
}

// enginesNeeded is the number of engines that the demand needs in each role, at
// one observation.
type enginesNeeded struct {
	at              time.Time
	engines         int // of the model, in any state
	present         int // of these, those that don't leave
	prefill, decode float64
	long            float64 // for long answers, 0 unless the engines are uneven
}

// needHistory holds the observations of the last horizon, oldest first.
type needHistory struct {
	samples []enginesNeeded
}

func newFollow(s Settings) *followPolicy {
	return &followPolicy{settings: s, models: make(map[string]*needHistory), exchanges: make(map[string]exchange)}
}

// Decide implements Policy.
func (f *followPolicy) Decide(now time.Time, in Input) (RoleChange, bool) {
	pools := groupByModel(in)
	speedsByPool := make([]speeds, len(pools))
	for i, p := range pools {
		n := f.models[p.model]
		if n == nil {
			n = &needHistory{}
			f.models[p.model] = n
		}
		speedsByPool[i] = speedsOf(p, in.Demand)
		need := estimateNeed(now, p, in.Demand)
		need.long = speedsByPool[i].long
		n.add(now, f.settings.Horizon, need)
	}
	for i, p := range pools {
		if p.changing >= f.settings.changeLimit(in, p.model) {
			break
		}
		if c, ok := f.finishExchange(now, p); ok {
			return c, true
		}
		if c, ok := f.selectChange(now, p, &speedsByPool[i]); ok {
			return c, true
		}
	}
	return RoleChange{}, false
}

// estimateNeed returns the engines that the current demand needs, in engines with
// the mean prefill rate and batch size of the model.
func estimateNeed(now time.Time, p pool, demand []Demand) enginesNeeded {
	n := enginesNeeded{at: now, engines: len(p.engines), present: p.countPresent()}
	tokens, totalRate, streams, batch, engines := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, d := range demand {
		if d.Model == p.model {
			tokens += d.PrefillRate
		}
	}
	for _, e := range p.engines {
		if !e.Alive {
			continue
		}
		engines++
		batch += float64(maxBatch(e))
		if e.PrefillRate > 0 {
			totalRate += e.PrefillRate
		} else {
			totalRate += defaultFollowRate
		}
		if e.Role == state.RoleDecode {
			streams += float64(e.Running + e.Waiting)
		}
	}
	if engines == 0 {
		return n
	}
	n.prefill = tokens / (totalRate / engines * prefillUtilization)
	n.decode = streams / (batch / engines * decodeUtilization)
	return n
}

// add appends an observation and drops those older than the horizon.
func (n *needHistory) add(now time.Time, horizon time.Duration, v enginesNeeded) {
	n.samples = append(n.samples, v)
	first := 0
	for first < len(n.samples) && now.Sub(n.samples[first].at) >= horizon {
		first++
	}
	n.samples = n.samples[first:]
}

// idle reports whether there was no demand over the whole history, and the number
// of engines has stayed the same for idleWait.
func (n *needHistory) idle() bool {
	last := n.samples[len(n.samples)-1]
	sameSince := last.at
	for _, v := range n.samples {
		if v.prefill > 0 || v.decode > 0 {
			return false
		}
		if v.engines != last.engines {
			sameSince = last.at
		} else if sameSince.Equal(last.at) {
			sameSince = v.at
		}
	}
	return last.at.Sub(sameSince) >= idleWait
}

// shortage returns how much capacity would have been missing over the horizon
// with these capacities, in engines, as weighted engine seconds.
func (n *needHistory) shortage(prefill, decode float64) float64 {
	total := 0.0
	for i := 1; i < len(n.samples); i++ {
		v := n.samples[i]
		spare := max(0, decode-v.decode)
		missing := max(0, v.prefill-prefill-spareDecodePrefill*spare) + decodeShortageWeight*max(0, v.decode-decode)
		total += missing * v.at.Sub(n.samples[i-1].at).Seconds()
	}
	return total
}

// roles is a pool's capacity by role. Engines that are changing count for the role
// that they change to.
type roles struct {
	count           map[state.Role]int
	prefill, decode float64 // in mean engines; a decode engine's capacity is its batch
	keeping         int     // decode engines that keep the longest pause of long answers
}

func rolesOf(p pool, s *speeds) roles {
	r := roles{count: make(map[state.Role]int)}
	for _, e := range p.engines {
		if !e.Alive || e.Phase != state.PhaseChanging && e.Phase != state.PhaseServing {
			continue
		}
		role := nextRole(e)
		r.count[role]++
		switch role {
		case state.RolePrefill:
			r.prefill += s.capacity(e)
		case state.RoleDecode:
			r.decode++
			if s.keepsGap(e) {
				r.keeping++
			}
		}
	}
	return r
}

// selectChange compares the current roles with those after one role change.
func (f *followPolicy) selectChange(now time.Time, p pool, s *speeds) (RoleChange, bool) {
	n := f.models[p.model]
	r := rolesOf(p, s)
	prefill, decode := r.count[state.RolePrefill], r.count[state.RoleDecode]
	if c, ok := f.restoreRole(now, p, prefill, decode); ok {
		return c, true
	}
	if n.idle() {
		return f.balanceIdle(now, p, prefill, decode)
	}
	current := n.shortage(r.prefill, r.decode)
	fast, fastFound := f.candidate(now, p, state.RolePrefill, s)
	slow, slowFound := f.candidate(now, p, state.RoleDecode, s)
	morePrefill, moreDecode := n.shortage(r.prefill+s.capacity(slow), r.decode-1), n.shortage(r.prefill-s.capacity(fast), r.decode+1)
	e, ok, to, after := slow, slowFound, state.RolePrefill, morePrefill
	if moreDecode < morePrefill {
		e, ok, to, after = fast, fastFound, state.RoleDecode, moreDecode
	}
	if current-after <= f.settings.ChangeCost {
		return f.selectExchange(now, p, s, &r)
	}
	from := oppositeRole(to)
	if !ok || p.countServing(from) <= f.settings.MinPerRole {
		return RoleChange{}, false
	}
	last := n.samples[len(n.samples)-1]
	return RoleChange{
		Engine: e.Name,
		Role:   to,
		Observed: fmt.Sprintf("model %s: needs %.1f prefill and %.1f decode engines now, has %d and %d",
			p.model, last.prefill, last.decode, prefill, decode),
		Compared: fmt.Sprintf("lack of %.1f engine seconds in %s as it is, %.1f after, price %.1f", current, f.settings.Horizon, after, f.settings.ChangeCost),
		Reason:   "less is lacking with one more for " + string(to),
	}, true
}

// balanceIdle brings the roles closer to the shares for a pool without demand.
func (f *followPolicy) balanceIdle(now time.Time, p pool, prefill, decode int) (RoleChange, bool) {
	target := int(math.Round(idlePrefillShare * float64(prefill+decode)))
	to := state.RolePrefill
	switch {
	case prefill == target || prefill+decode < 2:
		return RoleChange{}, false
	case prefill > target:
		to = state.RoleDecode
	}
	e, ok := f.candidate(now, p, oppositeRole(to), &speeds{})
	if !ok || p.countServing(oppositeRole(to)) <= f.settings.MinPerRole {
		return RoleChange{}, false
	}
	return RoleChange{
		Engine: e.Name, Role: to,
		Observed: fmt.Sprintf("model %s: no demand, %d prefill and %d decode engines", p.model, prefill, decode),
		Compared: fmt.Sprintf("%d prefill engines to start with", target),
		Reason:   "the fleet is idle",
	}, true
}

// sizeChanged reports whether the number of engines that don't leave changed within the
// horizon.
func (n *needHistory) sizeChanged() bool {
	return slices.ContainsFunc(n.samples, func(v enginesNeeded) bool { return v.present != n.samples[0].present })
}

// restoreRole gives a role an engine that lost all of its own, or would lose them
// with the reclaimable engines, whatever the demand is: without an engine a role serves
// nothing. It changes nothing in a fleet of constant size without reclaimable engines.
func (f *followPolicy) restoreRole(now time.Time, p pool, prefill, decode int) (RoleChange, bool) {
	lost := f.models[p.model].sizeChanged()
	for _, to := range []state.Role{state.RolePrefill, state.RoleDecode} {
		have, durable := decode, p.countDurable(to)
		if to == state.RolePrefill {
			have = prefill
		}
		from, reason := oppositeRole(to), ""
		switch {
		case have == 0 && lost:
			reason = "no engine is left for " + string(to)
		case have > 0 && durable == 0 && p.countDurable(from) >= 2 && p.hasReclaimable():
			reason = "only reclaimable engines are left for " + string(to)
		default:
			continue
		}
		candidates := p
		if have > 0 {
			candidates.engines = slices.DeleteFunc(slices.Clone(p.engines), func(e Engine) bool { return e.Reclaimable })
		}
		e, ok := f.candidate(now, candidates, from, &speeds{})
		if !ok || p.countServing(from) <= f.settings.MinPerRole {
			continue
		}
		return RoleChange{
			Engine: e.Name, Role: to,
			Observed: fmt.Sprintf("model %s: %d prefill and %d decode engines, %d on-demand ones for %s", p.model, prefill, decode, durable, to),
			Compared: "each role needs an engine, one that isn't reclaimable if there are two",
			Reason:   reason,
		}, true
	}
	return RoleChange{}, false
}

// candidate returns the engine to take from a role: the one with the least work
// in the data centre that has most engines of the role, of those that are preferred
// by their speed. The last one that isn't reclaimable stays. It returns false if there
// is none.
func (f *followPolicy) candidate(now time.Time, p pool, from state.Role, s *speeds) (Engine, bool) {
	count := make(map[string]int)
	for _, e := range p.engines {
		if usable(e) && e.Role == from {
			count[e.Centre]++
		}
	}
	lastDurable := p.hasReclaimable() && p.countDurable(from) == 1
	var best Engine
	found := false
	for _, e := range s.preferred(now, p, from, f.settings.MinDwell) {
		if lastDurable && !e.Reclaimable {
			continue
		}
		if !found || count[e.Centre] > count[best.Centre] || count[e.Centre] == count[best.Centre] && lessLoaded(e, best) {
			best, found = e, true
		}
	}
	return best, found
}
