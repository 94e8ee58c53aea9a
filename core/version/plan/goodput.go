package plan

import (
	"fmt"
	"time"

	"verbenahaven.example/core/version/state"
)

// Shape of the observation before a change, in shares of the horizon. A move
// must have been right in each slice of the window. Any even swing between
// two demands that is shorter than the horizon shows its other half for at
// least most of a slice, so it is never followed. Fewer slices are less noisy.
const (
	windowShare = 0.75
	slices      = 3
	awayShare   = 0.1 // first guess of the time away
	awayMost    = 0.25
)

// goodputPolicy orders a change only when the goodput that it is predicted to
// gain until the horizon exceeds what it costs.
type goodputPolicy struct {
	settings Settings
	models   map[string]*memory
	away     away
}

// memory is what the policy learnt about one model.
type memory struct {
	window window
	past   past
	pace   pace
	trust  trust
}

func newGoodput(s Settings) *goodputPolicy {
	return &goodputPolicy{
		settings: s,
		models:   make(map[string]*memory),
		away: away{
			since: make(map[string]time.Time),
			mean:  time.Duration(awayShare * float64(s.Horizon)),
			most:  time.Duration(awayMost * float64(s.Horizon)),
		},
	}
}

// Decide implements Policy.
func (g *goodputPolicy) Decide(now time.Time, in Input) (Choice, bool) {
	g.away.learn(now, in.Engines)
	fleets := split(in)
	for _, f := range fleets {
		g.observe(now, f, in.Demand)
	}
	for _, f := range fleets {
		if f.moving >= g.settings.Moving {
			break
		}
		if c, ok := g.choose(now, f); ok {
			return c, true
		}
	}
	return Choice{}, false
}

func (g *goodputPolicy) observe(now time.Time, f fleet, demand []Demand) {
	m, ok := g.models[f.model]
	if !ok {
		length := time.Duration(windowShare * float64(g.settings.Horizon))
		m = &memory{window: window{length: length}, past: newPast(g.settings.Horizon, length/slices), trust: trust{prefill: 1, decode: 1}}
		g.models[f.model] = m
	}
	for _, e := range f.engines {
		m.pace.learn(e)
	}
	var loads []load
	for _, d := range demand {
		if d.Model == f.model {
			loads = append(loads, load{d.Service, d.Class, d.Requests, d.Prefill, d.Decode, d.Refused})
		}
	}
	m.window.add(now, loads)
	recent, ok := m.window.mean(now.Add(-m.window.length/slices), now)
	if ok {
		m.past.add(now, recent)
		m.trust.learn(g.capacity(f, m, Engine{}, ""), recent)
	}
}

func (g *goodputPolicy) choose(now time.Time, f fleet) (Choice, bool) {
	m := g.models[f.model]
	if !m.window.full(now) {
		return Choice{}, false
	}
	var best Choice
	margin := 0.0
	for _, from := range []state.Role{state.RolePrefill, state.RoleDecode} {
		c, surplus, ok := g.weigh(now, f, m, from)
		if ok && surplus > margin {
			best, margin = c, surplus
		}
	}
	return best, margin > 0
}

// weigh compares gain and cost of taking one engine from a role. The surplus
// is in requests answered in time until the horizon.
func (g *goodputPolicy) weigh(now time.Time, f fleet, m *memory, from state.Role) (Choice, float64, bool) {
	to := other(from)
	e, ok := f.candidate(now, from, g.settings.Dwell)
	if !ok || f.serving(from) <= g.settings.Reserve {
		return Choice{}, 0, false
	}
	loads, _ := m.window.mean(now.Add(-m.window.length), now)
	before := g.capacity(f, m, e, from)
	during := g.capacity(f, m, e, "")
	after := g.capacity(f, m, e, to)
	if !steady(now, m, before, after) {
		return Choice{}, 0, false
	}
	current, changed := goodput(before, loads), goodput(after, loads)
	stay := (g.settings.Horizon - g.away.mean).Seconds()
	earlier := m.past.gain(before, after)
	gain := ((1-pastWeight)*(changed-current) + pastWeight*earlier) * max(0, stay)
	lost := max(0, current-goodput(during, loads)) * g.away.mean.Seconds()
	warm := e.Used * g.away.mean.Seconds() * offered(loads) / float64(len(f.engines))
	waiting := float64(e.Running+e.Waiting) * g.away.mean.Seconds() / g.settings.Horizon.Seconds()
	price := g.settings.Price * offered(loads)
	cost := lost + warm + waiting + price
	return Choice{
		Engine: e.Name,
		Role:   to,
		Saw: fmt.Sprintf("model %s: %s; trust prefill %.2f, decode %.2f; %d prefill, %d decode, %d mixed engines",
			f.model, describe(loads), m.trust.prefill, m.trust.decode, f.count(state.RolePrefill), f.count(state.RoleDecode), f.count(state.RoleMixed)),
		Weighed: fmt.Sprintf("gain %.1f requests in %s against cost %.1f (away %.1f, cache %.1f, waiting %.1f, price %.1f)",
			gain, g.settings.Horizon, cost, lost, warm, waiting, price),
		Reason: fmt.Sprintf("goodput %.1f/s as %s, %.1f/s as %s; %+.1f/s under the demand of the last %d horizons",
			current, from, changed, to, earlier, pastHorizons),
	}, gain - cost, true
}

// capacity of the fleet if engine e had a role; "" leaves it out.
func (g *goodputPolicy) capacity(f fleet, m *memory, e Engine, role state.Role) capacity {
	var c capacity
	for _, x := range f.engines {
		if !usable(x) {
			continue
		}
		r := x.Role
		if x.Name == e.Name {
			r = role
		}
		prefill, decode := m.trust.prefill*prefillRate(x), m.trust.decode*m.pace.rate(batchLimit(x))
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

// steady tells whether the change was right in each slice of the window.
func steady(now time.Time, m *memory, before, after capacity) bool {
	slice := m.window.length / slices
	for i := range slices {
		to := now.Add(-time.Duration(i) * slice)
		loads, ok := m.window.mean(to.Add(-slice), to)
		if !ok || goodput(after, loads) <= goodput(before, loads) {
			return false
		}
	}
	return true
}

func describe(loads []load) string {
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
