package plan

import (
	"fmt"
	"math"
	"time"

	"verbenahaven.example/core/version/state"
)

const (
	// followRate is the prefill speed of an engine that doesn't report it, in
	// tokens a second.
	followRate = 250_000.0
	// followPrefill is the share of the prefill speed that random arrivals use in
	// time.
	followPrefill = 0.7
	// followDecode is the share of the decode batches that answers may fill.
	followDecode = 0.8
	// startShare is the share of prefill engines before there was any demand: a
	// prompt that waits is late at once, while a batch takes a few answers more.
	startShare = 0.6
	// startWait is how long no demand must have been seen for that.
	startWait = time.Second
	// sideShare is the prefill speed that a decode engine without answers adds:
	// half that of a prefill engine, and not while its last answers end.
	sideShare = 0.25
	// decodeWeight is what a missing decode engine weighs against a missing
	// prefill engine: answers that wait for room, or lose it, fail whole.
	decodeWeight = 2.0
)

// followPolicy moves an engine when the demand of the horizon would have been
// met better with one engine more in the other role, by more than the change
// costs. Decode engines without answers count as half a prefill engine.
type followPolicy struct {
	settings Settings
	models   map[string]*needs
}

// need is what one observation asks for, in engines.
type need struct {
	at              time.Time
	engines         int
	prefill, decode float64
}

// needs are the observations of the horizon, oldest first.
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
		if f.moving >= p.settings.most(in, f.model) {
			break
		}
		if c, ok := p.choose(now, f); ok {
			return c, true
		}
	}
	return Choice{}, false
}

func wanted(now time.Time, f fleet, demand []Demand) need {
	n := need{at: now, engines: len(f.engines)}
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

// none tells whether there was never any demand, and the same engines for a
// while.
func (n *needs) none() bool {
	last := n.list[len(n.list)-1]
	same := last.at
	for _, v := range n.list {
		if v.prefill > 0 || v.decode > 0 {
			return false
		}
		if v.engines != last.engines {
			same = last.at
		} else if same.Equal(last.at) {
			same = v.at
		}
	}
	return last.at.Sub(same) >= startWait
}

// lack sums what so many engines of each role would have lacked over the
// horizon, in engine seconds.
func (n *needs) lack(prefill, decode int) float64 {
	sum := 0.0
	for i := 1; i < len(n.list); i++ {
		v := n.list[i]
		spare := max(0, float64(decode)-v.decode)
		lack := max(0, v.prefill-float64(prefill)-sideShare*spare) + decodeWeight*max(0, v.decode-float64(decode))
		sum += lack * v.at.Sub(n.list[i-1].at).Seconds()
	}
	return sum
}

// choose compares the roles as they are with one engine moved. Engines in
// transition count for the role that they go to.
func (p *followPolicy) choose(now time.Time, f fleet) (Choice, bool) {
	n := p.models[f.model]
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
	prefill, decode := have[state.RolePrefill], have[state.RoleDecode]
	if n.none() {
		return p.start(now, f, prefill, decode)
	}
	stay := n.lack(prefill, decode)
	more, fewer := n.lack(prefill+1, decode-1), n.lack(prefill-1, decode+1)
	to, left := state.RolePrefill, more
	if fewer < more {
		to, left = state.RoleDecode, fewer
	}
	if stay-left <= p.settings.Price {
		return Choice{}, false
	}
	from := other(to)
	e, ok := p.candidate(now, f, from)
	if !ok || f.serving(from) <= p.settings.Reserve {
		return Choice{}, false
	}
	last := n.list[len(n.list)-1]
	return Choice{
		Engine: e.Name,
		Role:   to,
		Saw: fmt.Sprintf("model %s: needs %.1f prefill and %.1f decode engines now, has %d and %d",
			f.model, last.prefill, last.decode, prefill, decode),
		Weighed: fmt.Sprintf("lack of %.1f engine seconds in %s as it is, %.1f after, price %.1f", stay, p.settings.Horizon, left, p.settings.Price),
		Reason:  "less is lacking with one more for " + string(to),
	}, true
}

// start brings the roles to the shares of a fleet without demand.
func (p *followPolicy) start(now time.Time, f fleet, prefill, decode int) (Choice, bool) {
	wanted := int(math.Round(startShare * float64(prefill+decode)))
	to := state.RolePrefill
	switch {
	case prefill == wanted || prefill+decode < 2:
		return Choice{}, false
	case prefill > wanted:
		to = state.RoleDecode
	}
	e, ok := p.candidate(now, f, other(to))
	if !ok || f.serving(other(to)) <= p.settings.Reserve {
		return Choice{}, false
	}
	return Choice{
		Engine: e.Name, Role: to,
		Saw:     fmt.Sprintf("model %s: no demand, %d prefill and %d decode engines", f.model, prefill, decode),
		Weighed: fmt.Sprintf("%d prefill engines to start with", wanted),
		Reason:  "the fleet is idle",
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
