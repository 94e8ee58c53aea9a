package place

import "time"

// missing estimates the prompt tokens that an engine has to compute, given the
// engine that should hold the shared parts. Fetch tells whether they come from
// there.
func (h *host) missing(now time.Time, a *Ask, home *host) (tokens int, fetch bool) {
	shared := 0
	for _, part := range a.shared() {
		shared += part.Tokens
	}
	own := a.Prompt.Tokens - shared
	lacks := shared - h.known(now, a)
	if lacks <= 0 || home == nil {
		return own + max(lacks, 0), false
	}
	return own + int(fetchMiss*float64(lacks)), h != home
}

// split is the plan that prefills at h and decodes at target.
func (p *Placer) split(now time.Time, a *Ask, h, home, target *host) Plan {
	plan := Plan{Prefill: h.engine, Decode: target.engine, Wait: h.queue(a)}
	work, fetch := h.missing(now, a, home)
	plan.Work = work
	plan.Expected = p.away(h) + handCost + plan.Wait + h.prefillTime(work) + target.wait(a)
	if fetch {
		plan.Fetch = home.engine.URL
		plan.Expected += fetchCost
	}
	return plan
}

// direct is the plan in which h prefills and decodes.
func (p *Placer) direct(now time.Time, a *Ask, h, home *host) Plan {
	plan := Plan{Decode: h.engine, Wait: h.queue(a)}
	work, fetch := h.missing(now, a, home)
	plan.Work = work
	plan.Expected = p.away(h) + plan.Wait + h.prefillTime(work)
	if fetch {
		plan.Fetch = home.engine.URL
		plan.Expected += fetchCost
	}
	plan.Expected += h.crowd()
	return plan
}
