package plan

import (
	"fmt"
	"math"
	"time"

	"verbenahaven.example/core/version/state"
)

const (
	// followPrefill is the share of the prefill rate that random arrivals leave
	// in time.
	followPrefill = 0.85
	// followDecode is the share of the decode batches that may be full before
	// one more engine is wanted.
	followDecode = 0.75
	// followRate is the prefill speed of an engine that doesn't report it, in
	// tokens a second.
	followRate = 250_000.0
)

// followPolicy follows the demand closely: it moves an engine as soon as one
// phase needs more engines than it has and the other has one to spare, by the
// highest needs of the horizon. It suits engines that change role within
// seconds at a low price.
type followPolicy struct {
	settings Settings
	models   map[string]*needs
}

// need is what one observation asks for, in engines.
type need struct {
	at              time.Time
	prefill, decode float64
}

// needs are the observations of the horizon.
type needs struct {
	list []need
}

func newFollow(s Settings) *followPolicy {
	return &followPolicy{settings: s, models: make(map[string]*needs)}
}

// Decide implements Policy.
func (p *followPolicy) Decide(now time.Time, in Input) (Choice, bool) {
	fleets := split(in)
	for _, f := range fleets {
		n := p.models[f.model]
		if n == nil {
			n = &needs{}
			p.models[f.model] = n
		}
		n.add(now, p.settings.Horizon, wanted(now, f, in.Demand))
	}
	for _, f := range fleets {
		if f.moving >= p.settings.Moving {
			break
		}
		if c, ok := p.choose(now, f); ok {
			return c, true
		}
	}
	return Choice{}, false
}

func wanted(now time.Time, f fleet, demand []Demand) need {
	n := need{at: now}
	tokens, rate, streams, batch, engines := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, d := range demand {
		if d.Model == f.model {
			tokens += d.Prefill
		}
	}
	for _, e := range f.engines {
		if !e.Alive {
			continue
		}
		engines++
		batch += float64(batchLimit(e))
		if e.Prefill > 0 {
			rate += e.Prefill
		} else {
			rate += followRate
		}
		if e.Role == state.RoleDecode {
			streams += float64(e.Running + e.Waiting)
		}
	}
	if engines == 0 {
		return n
	}
	n.prefill = tokens / (rate / engines * followPrefill)
	n.decode = streams / (batch / engines * followDecode)
	return n
}

func (n *needs) add(now time.Time, horizon time.Duration, v need) {
	n.list = append(n.list, v)
	first := 0
	for first < len(n.list) && now.Sub(n.list[first].at) >= horizon {
		first++
	}
	n.list = n.list[first:]
}

// most returns the highest needs of the horizon.
func (n *needs) most() (prefill, decode float64) {
	for _, v := range n.list {
		prefill, decode = max(prefill, v.prefill), max(decode, v.decode)
	}
	return prefill, decode
}

// choose compares needs with what there is. Engines in transition count for
// the role that they go to.
func (p *followPolicy) choose(now time.Time, f fleet) (Choice, bool) {
	prefill, decode := p.models[f.model].most()
	have := map[state.Role]int{}
	for _, e := range f.engines {
		switch {
		case !e.Alive:
		case e.Phase == state.PhaseChanging:
			have[other(e.Role)]++
		case e.Phase == state.PhaseServing:
			have[e.Role]++
		}
	}
	p1, d1 := float64(have[state.RolePrefill]), float64(have[state.RoleDecode])
	var to state.Role
	switch {
	case prefill > p1 && d1-1 >= math.Ceil(decode):
		to = state.RolePrefill
	case decode > d1 && p1-1 >= math.Ceil(prefill):
		to = state.RoleDecode
	default:
		return Choice{}, false
	}
	from := other(to)
	e, ok := p.candidate(now, f, from)
	if !ok || f.serving(from) <= p.settings.Reserve {
		return Choice{}, false
	}
	return Choice{
		Engine:  e.Name,
		Role:    to,
		Saw:     fmt.Sprintf("model %s: needs %.1f prefill and %.1f decode engines, has %.0f and %.0f", f.model, prefill, decode, p1, d1),
		Weighed: fmt.Sprintf("highest needs of the last %s", p.settings.Horizon),
		Reason:  fmt.Sprintf("%s has one to spare", from),
	}, true
}

// candidate picks the engine to take from a role: in the data centre that has
// most of them, the one with the least work.
func (p *followPolicy) candidate(now time.Time, f fleet, from state.Role) (Engine, bool) {
	count := make(map[string]int)
	for _, e := range f.engines {
		if usable(e) && e.Role == from {
			count[e.Centre]++
		}
	}
	var best Engine
	found := false
	for _, e := range f.engines {
		if !usable(e) || e.Role != from || now.Sub(e.Changed) < p.settings.Dwell {
			continue
		}
		if !found || count[e.Centre] > count[best.Centre] || count[e.Centre] == count[best.Centre] && lighter(e, best) {
			best, found = e, true
		}
	}
	return best, found
}
