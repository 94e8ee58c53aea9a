package relay

import (
	"time"

	"verbenahaven.example/core/request/place"
)

const (
	// admitShare is the share of the time in which the first event is on time up
	// to which the expected time may reach: an engine's queue beyond it would make
	// all answers late.
	admitShare = 0.9
	// laterShare is the share of a caller's time up to which a call may be
	// expected to wait behind others: those that come meanwhile go before it.
	laterShare = 0.1
	// laterPriority is the engines' priority of calls that can't be on time.
	laterPriority = 9
	// returnShare is the share of their time that callers wait at most before
	// they come back.
	returnShare = 3
	// latestRetry bounds it for callers with much time.
	latestRetry = time.Second
)

// admit decides whether a call goes to the engines of a plan. One that can't be
// on time any more may still be answered: it goes behind all that can.
func (f *flight) admit(ask *place.Ask, plan place.Plan) (place.Plan, error) {
	now, limit := f.clock.Now(), f.patience()
	margin := f.fleet.margin(now, f.target.Name, limit)
	late := plan.Expected+margin > limit
	f.why = []any{
		"expected_ms", plan.Expected.Milliseconds(), "margin_ms", margin.Milliseconds(), "limit_ms", limit.Milliseconds(),
		"heard_ms", f.fleet.age(now).Milliseconds(), "state", f.snapshot.Version(),
	}
	f.fleet.want(f.target.Name, plan.Work, ask.Output(), late)
	if !late {
		return plan, nil
	}
	ask.Later = true
	behind, err := f.fleet.pick(now, ask)
	if err != nil {
		return plan, err
	}
	f.why = append(f.why, "behind_ms", behind.Wait.Milliseconds())
	if behind.Wait > time.Duration(laterShare*float64(f.left())) {
		return plan, errBusy
	}
	f.meter.Count("place", "later")
	return behind, nil
}

// patience is how long the first event may take for the call to be on time.
func (f *flight) patience() time.Duration {
	if f.route.Target <= 0 {
		return f.left()
	}
	return min(f.left(), time.Duration(admitShare*float64(f.route.Target)))
}

// later is when to come back with a call that was refused: as late as callers
// agree to, since peaks last for seconds, or when the engines are expected to
// be free, if that is later still.
func (f *flight) later(free time.Duration) time.Duration {
	return max(roomRetry, free, min(f.left()/returnShare, latestRetry))
}

// urgency is the engines' priority of a call; negative leaves it open.
func urgency(a *place.Ask) int {
	if a.Later {
		return laterPriority
	}
	return -1
}
