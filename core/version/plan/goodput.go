package plan

import (
	"fmt"
	"time"

	"verbenahaven.example/core/version/state"
)

// Shape of the observation window; shares are of the horizon. A role change must
// raise the goodput in each slice of the window. If the demand alternates evenly
// between two mixes in a cycle shorter than the horizon, the other mix fills at
// least most of some slice, so such swings cause no change. With more slices, each
// would be noisier.
const (
	windowShare          = 0.75
	windowSlices         = 3
	initialDowntimeShare = 0.1  // initial estimate of the downtime, as a share of the horizon
	maxDowntimeShare     = 0.25 // largest downtime counted, as a share of the horizon
)

// goodputPolicy changes a role only when the predicted gain in goodput until the
// horizon exceeds the cost of the change.
type goodputPolicy struct {
	settings Settings
	models   map[string]*modelStats
	downtime downtime
}

// modelStats holds what the policy has observed of one model.
type modelStats struct {
	window   demandWindow
	history  demandHistory
	steps    stepModel
	derating derating
}

func newGoodput(s Settings) *goodputPolicy {
	return &goodputPolicy{
		settings: s,
		models:   make(map[string]*modelStats),
		downtime: downtime{
			startedAt: make(map[string]time.Time),
			mean:      time.Duration(initialDowntimeShare * float64(s.Horizon)),
			limit:     time.Duration(maxDowntimeShare * float64(s.Horizon)),
		},
	}
}

// Decide implements Policy.
func (g *goodputPolicy) Decide(now time.Time, in Input) (RoleChange, bool) {
	g.downtime.observe(now, in.Engines)
	pools := groupByModel(in)
	for _, p := range pools {
		g.observe(now, p, in.Demand)
	}
	for _, p := range pools {
		if p.changing >= g.settings.MaxChanging {
			break
		}
		if c, ok := g.selectChange(now, p); ok {
			return c, true
		}
	}
	return RoleChange{}, false
}

// observe updates the statistics of a model with the current reports and demand.
func (g *goodputPolicy) observe(now time.Time, p pool, demand []Demand) {
	m, ok := g.models[p.model]
	if !ok {
		length := time.Duration(windowShare * float64(g.settings.Horizon))
		m = &modelStats{window: demandWindow{length: length}, history: newDemandHistory(g.settings.Horizon, length/windowSlices), derating: derating{prefill: 1, decode: 1}}
		g.models[p.model] = m
	}
	for _, e := range p.engines {
		m.steps.observe(e)
	}
	var loads []load
	for _, d := range demand {
		if d.Model == p.model {
			loads = append(loads, load{d.Service, d.Class, d.RequestRate, d.PrefillRate, d.DecodeRate, d.RefusalRate})
		}
	}
	m.window.add(now, loads)
	recent, ok := m.window.mean(now.Add(-m.window.length/windowSlices), now)
	if ok {
		m.history.add(now, recent)
		m.derating.update(g.capacity(p, m, Engine{}, ""), recent)
	}
}

// selectChange returns the role change with the highest net gain above 0, if any.
func (g *goodputPolicy) selectChange(now time.Time, p pool) (RoleChange, bool) {
	m := g.models[p.model]
	if !m.window.full(now) {
		return RoleChange{}, false
	}
	var best RoleChange
	bestGain := 0.0
	for _, from := range []state.Role{state.RolePrefill, state.RoleDecode} {
		c, netGain, ok := g.evaluate(now, p, m, from)
		if ok && netGain > bestGain {
			best, bestGain = c, netGain
		}
	}
	return best, bestGain > 0
}

// evaluate compares gain and cost of taking one engine from a role. It returns the
// net gain in requests answered before their deadline until the horizon.
func (g *goodputPolicy) evaluate(now time.Time, p pool, m *modelStats, from state.Role) (RoleChange, float64, bool) {
	to := oppositeRole(from)
	e, ok := p.candidate(now, from, g.settings.MinDwell)
	if !ok || p.countServing(from) <= g.settings.MinPerRole {
		return RoleChange{}, 0, false
	}
	loads, _ := m.window.mean(now.Add(-m.window.length), now)
	before := g.capacity(p, m, e, from)
	during := g.capacity(p, m, e, "")
	after := g.capacity(p, m, e, to)
	if !improvesEachSlice(now, m, before, after) {
		return RoleChange{}, 0, false
	}
	current, changed := predictGoodput(before, loads), predictGoodput(after, loads)
	remaining := (g.settings.Horizon - g.downtime.mean).Seconds()
	historyGain := m.history.gain(before, after)
	gain := ((1-historyWeight)*(changed-current) + historyWeight*historyGain) * max(0, remaining)
	lostGoodput := max(0, current-predictGoodput(during, loads)) * g.downtime.mean.Seconds()
	lostCache := e.KVUsage * g.downtime.mean.Seconds() * totalRequests(loads) / float64(len(p.engines))
	waiting := float64(e.Running+e.Waiting) * g.downtime.mean.Seconds() / g.settings.Horizon.Seconds()
	changeCost := g.settings.ChangeCost * totalRequests(loads)
	cost := lostGoodput + lostCache + waiting + changeCost
	return RoleChange{
		Engine: e.Name,
		Role:   to,
		Observed: fmt.Sprintf("model %s: %s; trust prefill %.2f, decode %.2f; %d prefill, %d decode, %d mixed engines",
			p.model, formatLoads(loads), m.derating.prefill, m.derating.decode, p.countRole(state.RolePrefill), p.countRole(state.RoleDecode), p.countRole(state.RoleMixed)),
		Compared: fmt.Sprintf("gain %.1f requests in %s against cost %.1f (away %.1f, cache %.1f, waiting %.1f, price %.1f)",
			gain, g.settings.Horizon, cost, lostGoodput, lostCache, waiting, changeCost),
		Reason: fmt.Sprintf("goodput %.1f/s as %s, %.1f/s as %s; %+.1f/s under the demand of the last %d horizons",
			current, from, changed, to, historyGain, historyHorizons),
	}, gain - cost, true
}

// capacity returns the capacity of a pool if engine e had the given role; the
// empty role leaves e out.
func (g *goodputPolicy) capacity(p pool, m *modelStats, e Engine, role state.Role) capacity {
	var c capacity
	for _, x := range p.engines {
		if !usable(x) {
			continue
		}
		r := x.Role
		if x.Name == e.Name {
			r = role
		}
		prefill, decode := m.derating.prefill*prefillRate(x), m.derating.decode*m.steps.decodeRate(maxBatch(x))
		switch r {
		case state.RolePrefill:
			c.prefill += prefill
		case state.RoleDecode:
			c.decode += decode
		case state.RoleMixed:
			c.prefill += prefill / 2
			c.decode += decode / 2
		}
	}
	return c
}

// improvesEachSlice reports whether the change would have raised the goodput in
// each slice of the window.
func improvesEachSlice(now time.Time, m *modelStats, before, after capacity) bool {
	slice := m.window.length / windowSlices
	for i := range windowSlices {
		to := now.Add(-time.Duration(i) * slice)
		loads, ok := m.window.mean(to.Add(-slice), to)
		if !ok || predictGoodput(after, loads) <= predictGoodput(before, loads) {
			return false
		}
	}
	return true
}

// formatLoads returns the demand of each service as text.
func formatLoads(loads []load) string {
	text := ""
	for i, l := range loads {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s %.1f/s prefill %.0f decode %.0f", l.service, l.requests, l.prefill, l.decode)
	}
	if text == "" {
		return "no demand"
	}
	return text
}
