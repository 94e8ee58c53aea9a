package place

import "time"

// tokensToCompute estimates the prompt tokens that an engine must compute,
// given the home engine of the shared parts. Fetch is true if the engine
// fetches the shared parts from there.
func (v *engineView) tokensToCompute(now time.Time, req *Request, home *engineView) (tokens int, fetch bool) {
	sharedTokens := req.sharedTokens()
	own := req.Prompt.Tokens - sharedTokens
	uncached := sharedTokens - v.cachedTokens(now, req)
	if uncached <= 0 || home == nil {
		return own + max(uncached, 0), false
	}
	return own + int(fetchMissShare*float64(uncached)), v != home
}

// splitPlan returns the plan that prefills at v and decodes at target.
func (p *Placer) splitPlan(now time.Time, req *Request, v, home, target *engineView) Plan {
	plan := Plan{Prefill: v.engine, Decode: target.engine, QueueWait: v.queueWait(req), QueuedTokens: v.queuedTokens(req)}
	work, fetch := v.tokensToCompute(now, req, home)
	plan.PrefillTokens = work
	plan.TimeToFirstEvent = plan.QueueWait + v.prefillTime(work) + target.startTime + p.decodeStart(req, target)
	plan.SlotWait = target.slotWait(req, p.answerTimes(req.Pool))
	if fetch {
		plan.FetchURL = home.engine.URL
		plan.TimeToFirstEvent += v.fetchTime(req.sharedTokens())
	}
	plan.cost = plan.TimeToFirstEvent + p.distanceCost(req, v) + v.rejectionCost(req)
	return plan
}

// directPlan returns the plan in which v prefills and decodes.
func (p *Placer) directPlan(now time.Time, req *Request, v, home *engineView) Plan {
	plan := Plan{Decode: v.engine, QueueWait: v.queueWait(req), QueuedTokens: v.queuedTokens(req)}
	work, fetch := v.tokensToCompute(now, req, home)
	plan.PrefillTokens = work
	plan.TimeToFirstEvent = plan.QueueWait + v.prefillTime(work)
	if fetch {
		plan.FetchURL = home.engine.URL
		plan.TimeToFirstEvent += v.fetchTime(req.sharedTokens())
	}
	plan.SlotWait = v.slotWait(req, p.answerTimes(req.Pool))
	plan.TimeToFirstEvent += v.admissionWait(req, p.answerTimes(req.Pool))
	plan.cost = plan.TimeToFirstEvent + p.distanceCost(req, v) + v.rejectionCost(req)
	return plan
}
