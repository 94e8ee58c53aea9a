// Package sched schedules generations over the engines of a fleet. For each
// request it decides whether it runs now, behind all that can still be on time,
// or not at all, and where. It answers loads that swing within seconds above
// what the engines can compute: requests that can be on time go first, and a
// request that would only wait is refused at once with a time to return.
//
// It is a state machine without I/O. One instance in each data centre, the
// broker, runs it for all others there, so that its decisions rest on all that
// was sent to the engines before.
package sched

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/request/admit"
	"verbenahaven.example/core/request/cost"
	"verbenahaven.example/core/request/fair"
	"verbenahaven.example/core/request/pace"
	"verbenahaven.example/core/request/place"
	"verbenahaven.example/core/version/state"
)

const (
	// admitTargetShare is the share of the latency target that the expected time
	// to the first event may use up: a longer queue at an engine would make all
	// answers late.
	admitTargetShare = 0.9
	// yieldShare is the part of that time which is left for more urgent accounts by
	// one of the least urgent priority, and in proportion by others: as the queues
	// grow, the less urgent are refused first.
	yieldShare = 0.4
	// idleWaitShare is the share of that time that a request may be expected to
	// wait at an engine that counts as idle. There the margin learned from
	// others doesn't apply: no queue can be longer than known, and without such
	// requests the margin would never be learned anew.
	idleWaitShare = 0.05
	// deferredWaitShare is the share of a request's remaining time that it may be
	// expected to queue if it is deferred: requests that arrive meanwhile are
	// served before it.
	deferredWaitShare = 0.1
	// retryWaitDivisor divides a caller's remaining time into the Retry-After of
	// a refusal.
	retryWaitDivisor = 3
	// minRetryAfter and maxRetryAfter bound that Retry-After.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = time.Second
	// bookingSlack is how long after its deadline a request that hasn't ended is
	// forgotten: the news of its end was lost.
	bookingSlack = time.Second
	// prefillSlack and prefillFactor bound how long a prefill counts as work of
	// an engine: the slack, and the factor on the time that it should take.
	prefillSlack  = 300 * time.Millisecond
	prefillFactor = 4
	// expiryInterval is the time between two searches for forgotten requests.
	expiryInterval = 100 * time.Millisecond
	// defaultTimeLeft is the time of a request without a deadline.
	defaultTimeLeft = time.Minute
)

// Request is a generation to be scheduled.
type Request struct {
	place.Request
	TimeLeft time.Duration // until its deadline, 0 for none
	Admit    bool          // it may be deferred or refused; false once it was admitted
	Account  string        // of the caller, empty for none
	Priority int           // of the account, 0 (most urgent, or without one) to state.MaxPriority
}

// timeLeft returns the time until the request's deadline.
func (r *Request) timeLeft() time.Duration { return cmp.Or(r.TimeLeft, defaultTimeLeft) }

// limit returns the longest expected time to the first event with which the
// request counts as on time.
func (r *Request) limit() time.Duration {
	limit := r.timeLeft()
	if r.Target > 0 {
		limit = min(limit, time.Duration(admitTargetShare*float64(r.Target)))
	}
	if r.Priority > 0 {
		limit -= time.Duration(yieldShare * float64(r.Priority) / state.MaxPriority * float64(limit))
	}
	return limit
}

// Decision says how a request is served.
type Decision struct {
	Plan       place.Plan
	Deferred   bool // it runs behind all requests that can be on time
	Refused    bool
	Preferred  bool          // it isn't refused since its account was served much more rarely than others
	RetryAfter time.Duration // of a refusal
	Margin     time.Duration // added to the expected time to the first event
	Limit      time.Duration // that both together must not exceed
}

// booking is a request from its decision to its end.
type booking struct {
	request        place.Request
	plan           place.Plan
	clean          bool // no earlier attempt failed
	prefilled      bool
	started        bool
	admitted       bool // it counts as served for its account
	account        string
	expires        time.Time
	prefillExpires time.Time
}

// Scheduler holds the requests that run and what is known of the engines. It
// isn't safe for concurrent use.
type Scheduler struct {
	placer   *place.Placer
	bookings map[string]*booking
	errors   map[string]*admit.PredictionError // of the expected time to the first event, by pool
	demand   map[string]*proto.Demand          // since the last TakeDemand, by pool
	checked  time.Time                         // last search for forgotten requests
	recent   recentEvents
	lengths  cost.Errors // since the last TakeLengthErrors
	shares   *fair.Shares
}

// New returns a scheduler without engines for an instance in a data centre.
func New(centre string) *Scheduler {
	return &Scheduler{
		placer: place.New(centre), bookings: make(map[string]*booking),
		errors: make(map[string]*admit.PredictionError), demand: make(map[string]*proto.Demand),
		shares: fair.New(),
	}
}

// Update replaces the engines by those of a new version of the state.
func (s *Scheduler) Update(engines []state.Engine, routing *state.RoutingTable) {
	s.placer.Update(engines, routing)
}

// SetBroker sets whether all generations of the data centre are scheduled here.
func (s *Scheduler) SetBroker(broker bool) { s.placer.SetExact(broker) }

// SetLimits sets the table of the limits that engines name.
func (s *Scheduler) SetLimits(t *pace.Table) { s.placer.SetLimits(t) }

// ApplyReports applies the engines' reports and the work that others sent them.
func (s *Scheduler) ApplyReports(now time.Time, reports []proto.Report, others []proto.EngineWork) {
	s.placer.ApplyReports(now, reports, others)
}

// Decide schedules a request, and books the work at the engines until it ends. A
// request for which all engines have used up their limits is refused without a plan.
// The error wraps place.ErrNoBackend if no engine can take it.
func (s *Scheduler) Decide(now time.Time, r *Request) (Decision, error) {
	s.expire(now)
	plan, err := s.placer.Pick(now, &r.Request)
	if limited := new(place.LimitedError); errors.As(err, &limited) {
		return Decision{Refused: true, RetryAfter: min(max(minRetryAfter, limited.Wait()), maxRetryAfter)}, nil
	}
	if err != nil {
		return Decision{}, fmt.Errorf("pick engines: %w", err)
	}
	d := Decision{Plan: plan, Deferred: r.Deferred}
	if r.Admit {
		if d, err = s.admit(now, r, plan); err != nil || d.Refused {
			return d, err
		}
	}
	s.book(now, r, &d)
	return d, nil
}

// admit decides whether a request runs at once. One that can't be on time any
// more may still be answered: it is deferred, so that it is queued behind all
// that can. It is refused if even that would take too long.
func (s *Scheduler) admit(now time.Time, r *Request, plan place.Plan) (Decision, error) {
	d := Decision{Plan: plan, Limit: r.limit()}
	if plan.QueueWait+plan.SlotWait > time.Duration(idleWaitShare*float64(d.Limit)) {
		d.Margin = s.margin(now, r.Pool, d.Limit)
	}
	late := plan.TimeToFirstEvent+d.Margin > d.Limit
	s.addDemand(r, plan.PrefillTokens, late)
	behind := s.shares.Ask(now, r.Account)
	if !late {
		return d, nil
	}
	left := r.timeLeft()
	if behind && plan.TimeToFirstEvent+d.Margin <= time.Duration(admitTargetShare*float64(left)) {
		d.Preferred = true
		return d, nil
	}
	r.Deferred = true
	deferred, err := s.placer.Pick(now, &r.Request)
	if err != nil {
		return d, fmt.Errorf("pick engines: %w", err)
	}
	if deferred.QueueWait+deferred.SlotWait > time.Duration(deferredWaitShare*float64(left)) {
		d.Refused, d.RetryAfter = true, retryAfter(left, plan.TimeToFirstEvent-r.Target)
		return d, nil
	}
	d.Plan, d.Deferred = deferred, true
	return d, nil
}

// retryAfter returns when a refused caller should return: after a third of its
// remaining time, within bounds, since load peaks last for seconds, or when the
// engines are expected to be free, if that is later.
func retryAfter(left, freeIn time.Duration) time.Duration {
	return max(minRetryAfter, freeIn, min(left/retryWaitDivisor, maxRetryAfter))
}

// book records a request at the engines of its plan.
func (s *Scheduler) book(now time.Time, r *Request, d *Decision) {
	s.forget(r.ID)
	b := &booking{
		request: r.Request, plan: d.Plan, clean: len(r.Avoid) == 0,
		expires:        now.Add(r.timeLeft() + bookingSlack),
		prefillExpires: now.Add(prefillSlack + prefillFactor*d.Plan.TimeToFirstEvent),
	}
	b.request.Deferred = d.Deferred
	if r.Admit {
		b.admitted, b.account = true, r.Account
		s.shares.Serve(r.Account, d.Preferred)
	}
	s.bookings[r.ID] = b
	s.placer.RecordSent(now, &b.request, &b.plan)
}

// forget removes a request.
func (s *Scheduler) forget(id string) {
	if b := s.bookings[id]; b != nil {
		if b.admitted && !b.started {
			s.shares.Withdraw(b.account)
		}
		s.placer.RecordDone(&b.request, &b.plan)
		delete(s.bookings, id)
	}
}

// expire removes requests, and prefills, whose end was never heard of.
func (s *Scheduler) expire(now time.Time) {
	if now.Sub(s.checked) < expiryInterval {
		return
	}
	s.checked = now
	for id, b := range s.bookings {
		switch {
		case now.After(b.expires):
			s.forget(id)
		case !b.prefilled && !b.request.Deferred && now.After(b.prefillExpires):
			b.prefilled = true
			s.placer.RecordPrefill(&b.request, &b.plan, 0)
		}
	}
}

// Apply records what happened to a request, or to an engine.
func (s *Scheduler) Apply(now time.Time, e *proto.PlaceEvent) {
	switch e.Kind {
	case proto.PlaceFailed, proto.PlaceLost, proto.PlaceReachable, proto.PlaceRejected, proto.PlaceSlow, proto.PlaceRecovered:
		s.applyEngineEvent(now, e)
		return
	}
	b := s.bookings[e.ID]
	if b == nil {
		return
	}
	switch e.Kind {
	case proto.PlacePrefilled:
		if !b.prefilled && b.plan.Split() {
			b.prefilled = true
			s.placer.RecordAnswer(now, b.plan.Prefill.Name, true)
			s.placer.RecordPace(now, &b.request, &b.plan, e.Took)
			s.placer.RecordPrefill(&b.request, &b.plan, e.Took)
		}
	case proto.PlaceStarted:
		if !b.started {
			b.started = true
			s.start(now, b, e)
		}
	case proto.PlaceEnded:
		if e.Took > 0 {
			s.placer.RecordAnswer(now, b.plan.Decode.Name, true)
			s.placer.RecordAnswerTime(&b.request, e.Took)
		}
		s.recordLength(now, b, e.Tokens)
		s.forget(e.ID)
	}
}

// recordLength records the length of a complete answer, 0 if it isn't known.
func (s *Scheduler) recordLength(now time.Time, b *booking, tokens int) {
	if tokens = min(tokens, b.request.Prompt.MaxOutput); tokens > 0 {
		predicted, high := s.placer.RecordLength(now, &b.request, tokens)
		s.lengths.Add(predicted, high, tokens)
	}
}

// TakeLengthErrors returns how the answers' lengths since the last call compare
// with the predicted ones.
func (s *Scheduler) TakeLengthErrors() cost.Errors {
	e := s.lengths
	s.lengths = cost.Errors{}
	return e
}

// start records the first event of a request.
func (s *Scheduler) start(now time.Time, b *booking, e *proto.PlaceEvent) {
	if b.plan.Split() {
		s.placer.RecordStart(&b.plan, e.Took)
	} else {
		b.prefilled = true
		s.placer.RecordPrefill(&b.request, &b.plan, e.Took)
	}
	if !b.clean || b.request.Deferred || b.request.Prompt.Tokens == 0 {
		return
	}
	p := s.errors[b.request.Pool]
	if p == nil {
		p = &admit.PredictionError{}
		s.errors[b.request.Pool] = p
	}
	p.Observe(now, b.plan.TimeToFirstEvent, e.Since)
}

// margin returns the time to be added to an expected time to the first event,
// learned from how much later the first events of the pool came than expected.
func (s *Scheduler) margin(now time.Time, pool string, limit time.Duration) time.Duration {
	if p := s.errors[pool]; p != nil {
		return p.Margin(now, limit)
	}
	return 0
}

// addDemand adds a request to the demand for its pool. One that can't be on time
// counts as refused, even if it is deferred.
func (s *Scheduler) addDemand(r *Request, prefillTokens int, late bool) {
	d := s.demand[r.Pool]
	if d == nil {
		d = &proto.Demand{Service: r.Pool}
		s.demand[r.Pool] = d
	}
	if late {
		d.RefusalRate++
	}
	d.RequestRate++
	d.PrefillRate += float64(prefillTokens)
	d.DecodeRate += float64(r.CallersTokens()) // the planner needs the sum, not the median
}

// TakeDemand returns the demand since the last call, as rates over the interval.
func (s *Scheduler) TakeDemand(interval time.Duration) []proto.Demand {
	list := make([]proto.Demand, 0, len(s.demand))
	for _, d := range s.demand {
		seconds := max(interval.Seconds(), time.Millisecond.Seconds())
		list = append(list, proto.Demand{
			Service: d.Service, RequestRate: d.RequestRate / seconds, PrefillRate: d.PrefillRate / seconds,
			DecodeRate: d.DecodeRate / seconds, RefusalRate: d.RefusalRate / seconds,
		})
	}
	clear(s.demand)
	slices.SortFunc(list, func(a, b proto.Demand) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// OutstandingWork returns the work booked at the engines.
func (s *Scheduler) OutstandingWork(now time.Time) []proto.EngineWork {
	s.expire(now)
	return s.placer.OutstandingWork()
}

// ObserveSpeed adds an observation of an engine's speed to those of TakeSpeeds.
func (s *Scheduler) ObserveSpeed(v *proto.EngineSpeed) { s.placer.ObserveSpeed(v) }

// LongestGap returns the longest gap that is expected between two events of an answer at
// an engine of a pool, 0 if it is unknown.
func (s *Scheduler) LongestGap(pool string) time.Duration { return s.placer.LongestGap(pool) }

// GapSeen reports whether the expected gap between two events is that of an engine itself, not
// only of its pool.
func (s *Scheduler) GapSeen(engine string) bool { return s.placer.GapSeen(engine) }

// TakeSpeeds returns what was observed of the engines' speeds since the last
// call.
func (s *Scheduler) TakeSpeeds() []proto.EngineSpeed { return s.placer.TakeSpeeds() }
