package relay

import (
	"time"

	"verbenahaven.example/core/request/place"
)

const (
	// admitTargetShare is the share of the route's latency target that the
	// expected time to the first event may use up: a longer queue at an engine
	// would make all answers late.
	admitTargetShare = 0.9
	// deferredWaitShare is the share of a call's remaining time that a deferred
	// call may be expected to queue: calls that arrive meanwhile are served
	// before it.
	deferredWaitShare = 0.1
	// deferredPriority is the engine priority of deferred calls.
	deferredPriority = 9
	// retryWaitDivisor divides a caller's remaining time into the Retry-After
	// of a busy refusal.
	retryWaitDivisor = 3
	// maxRetryAfter bounds that Retry-After for callers with much time left.
	maxRetryAfter = time.Second
)

// admit decides whether a call is sent to the engines of a plan. A call that
// can't be on time any more may still be answered: it is deferred, so that it
// is queued behind all calls that can be on time. errBusy is returned if even
// that would take too long.
func (f *inflightCall) admit(request *place.Request, plan place.Plan) (place.Plan, error) {
	now, limit := f.clock.Now(), f.firstEventLimit()
	margin := f.fleet.firstEventMargin(now, f.targetPool.Name, limit)
	late := plan.TimeToFirstEvent+margin > limit
	f.admissionAttrs = []any{
		"expected_ms", plan.TimeToFirstEvent.Milliseconds(), "margin_ms", margin.Milliseconds(), "limit_ms", limit.Milliseconds(),
		"heard_ms", f.fleet.reportAge(now).Milliseconds(), "state", f.snapshot.Version(),
	}
	f.fleet.addDemand(f.targetPool.Name, plan.PrefillTokens, request.OutputTokens(), late)
	if !late {
		return plan, nil
	}
	request.Deferred = true
	deferredPlan, err := f.fleet.pickEngines(now, request)
	if err != nil {
		return plan, err
	}
	f.admissionAttrs = append(f.admissionAttrs, "behind_ms", deferredPlan.QueueWait.Milliseconds())
	if deferredPlan.QueueWait > time.Duration(deferredWaitShare*float64(f.timeLeft())) {
		return plan, errBusy
	}
	f.meter.Count("place", "later")
	return deferredPlan, nil
}

// firstEventLimit returns the longest expected time to the first event with
// which a call still counts as on time.
func (f *inflightCall) firstEventLimit() time.Duration {
	if f.route.LatencyTarget <= 0 {
		return f.timeLeft()
	}
	return min(f.timeLeft(), time.Duration(admitTargetShare*float64(f.route.LatencyTarget)))
}

// retryAfterBusy returns the Retry-After of a call refused for load: a third of
// the caller's remaining time, within bounds, since load peaks last for seconds,
// or the time until the engines are expected to be free, if that is longer.
func (f *inflightCall) retryAfterBusy(freeIn time.Duration) time.Duration {
	return max(busyRetryAfter, freeIn, min(f.timeLeft()/retryWaitDivisor, maxRetryAfter))
}

// enginePriority returns the priority of a request at the engines, or a
// negative number to leave it unset.
func enginePriority(request *place.Request) int {
	if request.Deferred {
		return deferredPriority
	}
	return -1
}
