// Package place implements the scheduler for disaggregated prefill and decode.
// For a request whose prompt is given as parts, it chooses the engine that
// prefills the prompt, the engine that decodes the answer, and the engine from
// which cached KV blocks are fetched. It is a state machine without I/O: time,
// load reports and outcomes are passed in, and it returns plans.
package place

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/request/cost"
	"verbenahaven.example/core/request/pace"
	"verbenahaven.example/core/request/speed"
	"verbenahaven.example/core/version/state"
)

const (
	// maxShortPromptTokens is the largest prompt, in tokens, that a decode
	// engine prefills between the decode steps of its answers without pausing
	// them: two chunks of its prefill.
	maxShortPromptTokens = 1024
	// decodePrefillShare is the prefill speed of a decode engine relative to a
	// prefill engine.
	decodePrefillShare = 0.5
	// assumedPrefillRate is the prefill speed of an engine before anything was
	// observed, in tokens per second. It is high, since a request sent too
	// early gives an observation and one refused gives none.
	assumedPrefillRate = 250_000.0
	// assumedStartTime is the time from the request for an answer whose prompt
	// is prefilled to its first event before anything was observed.
	assumedStartTime = 6 * time.Millisecond
	// assumedAnswerTime is how long a long answer runs before any was observed,
	// and assumedShortAnswerTime a short one.
	assumedAnswerTime      = 3 * time.Second
	assumedShortAnswerTime = 50 * time.Millisecond
	// longAnswerEvents is the number of events above which an answer counts as
	// long.
	longAnswerEvents = 8
	// reservedFill is the share of an engine's batch slots that long answers
	// fill before another engine is reserved for them.
	reservedFill = 0.8
	// maxLongAnswers is the number of answers above which an engine's decode
	// steps get so slow that the longest answers may miss their deadline.
	maxLongAnswers = 36
	// reserveFactor is the factor on the number of long answers for which
	// engines are reserved: it leaves slots for those that begin before the
	// next heartbeats.
	reserveFactor = 1.15
	// maxPausedAnswers is the maximum of long answers on an engine that may be
	// paused by prompts while the prefill engines are crowded: in the time of
	// these answers the engine computes more prompts.
	maxPausedAnswers = 8
	// slotsPerPausedAnswer limits them further, to one per slotsPerPausedAnswer
	// batch slots of the engine.
	slotsPerPausedAnswer = 6
	// fullMemoryShare is the share of used memory from which an engine counts
	// as full.
	fullMemoryShare = 0.92
	// sampleLocal and sampleRemote are the numbers of prefill engines to
	// compare, in the own data centre and in others. With outdated load data,
	// two choices balance almost as well as all.
	sampleLocal  = 3
	sampleRemote = 2
	// spareSlots is the number of slots kept free for requests that other
	// instances send at the same time.
	spareSlots = 2
	// fetchMissShare is the expected share of shared parts that their home
	// engine doesn't hold.
	fetchMissShare = 0.3
	// maxTrackedParts is the maximum number of parts tracked per engine.
	maxTrackedParts = 4096
	// reportTTL is the time after which a report that an engine is dead is
	// ignored.
	reportTTL = 2 * time.Second
)

// assumedTarget is the latency target of a request whose route has none.
const assumedTarget = 200 * time.Millisecond

// Costs of a choice, as shares of the request's latency target: what is little
// time for a request that is due in seconds decides over one due at once.
const (
	// crowdedShare is the expected time to the first event from which prefill
	// engines count as crowded.
	crowdedShare = 0.35
	// fullBatchShare is the cost of the slower decode steps of a full engine.
	fullBatchShare = 0.05
	// sharedStepShare is the cost of each answer on an engine for another long
	// one: it slows down all decode steps, and the longest answers may miss
	// their deadline.
	sharedStepShare = 0.01
	// unreservedShare is the cost of an engine that isn't reserved for long
	// answers.
	unreservedShare = 0.8
	// crossCentreShare is the cost of an engine in another data centre: the
	// latency and the price of the traffic between. minCrossCentreCost is its
	// least, in time.
	crossCentreShare   = 0.075
	minCrossCentreCost = 15 * time.Millisecond
	// fullMemoryCostShare is the cost of an engine whose memory is full.
	fullMemoryCostShare = 1.5
)

// ErrNoBackend is returned if no engine or plain server can take the request.
var ErrNoBackend = errors.New("no backend server can take the request")

// Request is the input of a placement decision: one attempt of a request.
type Request struct {
	ID       string // of the attempt
	Pool     string
	Prompt   *server.Prompt
	Target   time.Duration // latency target of the first event, 0 if the route has none
	Avoid    []string      // engines at which this request failed
	Deferred bool          // can't meet its deadline; waits behind requests that can
	Build    *string       // software build that must decode, nil for any

	GapTarget time.Duration // longest time between two events of the answer, 0 if the route has none

	length cost.Estimate // learned, set by Pick
}

// Plan is a choice of engines for a request.
type Plan struct {
	Prefill          state.Engine // empty if the decode engine prefills
	Decode           state.Engine
	FetchURL         string        // URL of an engine that may hold the KV cache of shared parts
	TimeToFirstEvent time.Duration // expected time to the first event
	PrefillTokens    int           // prompt tokens to compute
	QueueWait        time.Duration // part of TimeToFirstEvent spent in the prefill queue
	QueuedTokens     int           // prompt tokens in that queue
	SlotWait         time.Duration // part of TimeToFirstEvent spent waiting for a batch slot
	cost             time.Duration // TimeToFirstEvent with the cost of distance, by which plans are compared
}

// Split reports whether prefill and decode run on separate engines.
func (p *Plan) Split() bool { return p.Prefill.Name != "" }

// target returns the latency target that costs are shares of.
func (r *Request) target() time.Duration {
	if r.Target <= 0 {
		return assumedTarget
	}
	return r.Target
}

// share returns a share of the latency target.
func (r *Request) share(x float64) time.Duration {
	return time.Duration(x * float64(r.target()))
}

// Placer chooses engines by what this instance knows of them.
type Placer struct {
	centre   string
	exact    bool // all work sent from this data centre is known here
	engines  map[string]*engineView
	pools    map[string]*poolIndex
	answers  map[string]answerTimes        // by pool
	lengths  *cost.Lengths                 // of answers
	own      *speed.Model                  // of this instance's observations, until the leader tells those of all
	observed map[string]*proto.EngineSpeed // since the last TakeSpeeds
	limits   *pace.Table                   // of the engines' own limits, nil for none
	heardAt  time.Time                     // when the work of other instances was last heard of
	decision uint64                        // number of the last decision that compared a part of a pool

	gapTargets     map[string]time.Duration // longest pause that all routes to a pool allow
	slowReportedAt time.Time                // last report of a slowdown
}

// New returns a placer without engines for an instance in the data centre.
func New(centre string) *Placer {
	return &Placer{
		centre: centre, engines: make(map[string]*engineView), pools: make(map[string]*poolIndex), answers: make(map[string]answerTimes),
		lengths: cost.New(), own: speed.New(), observed: make(map[string]*proto.EngineSpeed),
	}
}

// SetExact sets whether all work that is sent from this data centre is known
// here: then all its prefill engines are compared.
func (p *Placer) SetExact(exact bool) { p.exact = exact }

// SetLimits sets the table of the limits that engines name.
func (p *Placer) SetLimits(t *pace.Table) { p.limits = t }

// Update replaces the engines by those of a new version of the state. What is
// known of engines that remain unchanged is kept.
func (p *Placer) Update(engines []state.Engine, routing *state.RoutingTable) {
	views := make(map[string]*engineView, len(engines))
	list := make([]*engineView, 0, len(engines))
	groups := make(map[string]string, len(engines))
	for _, e := range engines {
		v := p.engines[e.Name]
		if v == nil || v.engine.URL != e.URL || v.engine.StartSerial != e.StartSerial || v.engine.Role != e.Role {
			v = &engineView{freshness: 1, sent: make(map[string]sentWork), cachedParts: make(map[string]time.Time), hash: xxhash.Sum64String(e.Name)}
		}
		v.engine = e
		groups[e.Name] = speedGroup(e.Pool, e.Role)
		if routing != nil {
			if pool, ok := routing.Pool(e.Pool); ok && pool.Spec != nil {
				v.spec = *pool.Spec
			}
		}
		views[e.Name] = v
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b *engineView) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.engine.Name, b.engine.Name))
	})
	pools := make(map[string]*poolIndex)
	for _, v := range list {
		x := pools[v.engine.Pool]
		if x == nil {
			x = &poolIndex{}
			pools[v.engine.Pool] = x
		}
		x.add(v, v.engine.Centre == p.centre)
	}
	p.engines, p.pools = views, pools
	p.gapTargets = make(map[string]time.Duration, len(pools))
	for name := range pools {
		p.gapTargets[name] = routing.GapTarget(name)
	}
	p.own.Keep(groups)
	p.refreshSpeeds()
}

// ApplyReports applies the load reports of engines and the work of all other
// instances.
func (p *Placer) ApplyReports(now time.Time, reports []proto.Report, others []proto.EngineWork) {
	p.heardAt = now
	for _, v := range p.engines {
		v.heardWork, v.otherWork, v.freshness = proto.EngineWork{}, proto.EngineWork{}, 1
	}
	for _, r := range reports {
		if v := p.engines[r.Engine]; v != nil {
			v.lastReport, v.reported = r, true
		}
	}
	if len(reports) > 0 {
		p.refreshSpeeds()
	}
	for _, s := range others {
		if v := p.engines[s.Engine]; v != nil {
			v.heardWork, v.otherWork = s, s
		}
	}
}

// OutstandingWork returns the work that this instance sent to the engines, by
// name.
func (p *Placer) OutstandingWork() []proto.EngineWork {
	var list []proto.EngineWork
	for name, v := range p.engines {
		if len(v.sent) == 0 {
			continue
		}
		s := v.ownWork
		s.Engine = name
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b proto.EngineWork) int { return cmp.Compare(a.Engine, b.Engine) })
	return list
}

// RecordSent records that a request is sent to the engines of a plan.
func (p *Placer) RecordSent(now time.Time, req *Request, plan *Plan) {
	p.limits.Take(plan.Prefill.Name)
	p.limits.Take(plan.Decode.Name)
	decode := sentWork{decode: true, deferred: req.Deferred, longAnswer: p.isLong(req), memoryTokens: req.OutputTokens() / 2}
	if decode.longAnswer {
		decode.memoryTokens += req.Prompt.Tokens - req.sharedTokens() // an engine holds shared parts once
	}
	if plan.Split() {
		if v := p.engines[plan.Prefill.Name]; v != nil {
			v.addWork(req.ID, sentWork{prefillTokens: plan.PrefillTokens, deferred: req.Deferred})
			v.recordParts(now, req)
		}
		decode.decode = decode.longAnswer // a short answer takes its slot once the prompt is prefilled
	} else {
		decode.prefillTokens = plan.PrefillTokens
	}
	if v := p.engines[plan.Decode.Name]; v != nil {
		v.addWork(req.ID, decode)
		v.recordParts(now, req)
	}
}

// takeSlot counts the answer among those at its decode engine.
func (p *Placer) takeSlot(req *Request, plan *Plan) {
	v := p.engines[plan.Decode.Name]
	if v == nil {
		return
	}
	if s, found := v.sent[req.ID]; found && !s.decode {
		s.decode = true
		v.addWork(req.ID, s)
	}
}

// RecordDone removes the work of a request at the engines of its plan.
func (p *Placer) RecordDone(req *Request, plan *Plan) {
	for _, name := range []string{plan.Prefill.Name, plan.Decode.Name} {
		if v := p.engines[name]; v != nil {
			v.removeWork(req.ID)
		}
	}
}

// LimitedError reports that nothing can take a request because the backend servers
// that could have used up the limits which they named. It wraps ErrNoBackend.
type LimitedError struct {
	pool string
	wait time.Duration
}

// Error implements error.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("pool %s: the limits of the servers are used up: %v", e.pool, ErrNoBackend)
}

// Unwrap returns ErrNoBackend.
func (e *LimitedError) Unwrap() error { return ErrNoBackend }

// Wait returns when a server takes another request.
func (e *LimitedError) Wait() time.Duration { return e.wait }

// noBackend returns the error for a pool without a usable server. wait is the shortest
// wait for one that is only limited.
func noBackend(pool string, wait time.Duration) error {
	if wait < pace.Forever {
		return &LimitedError{pool: pool, wait: wait}
	}
	return fmt.Errorf("pool %s: %w", pool, ErrNoBackend)
}

// Pick chooses the engines of a request.
func (p *Placer) Pick(now time.Time, req *Request) (Plan, error) {
	req.length = p.lengths.Estimate(now, req.Pool, req.guess())
	c := p.compare(now, req)
	prefill, decode := c.prefill, c.decode
	if len(decode) == 0 {
		return Plan{}, noBackend(req.Pool, c.limited)
	}
	uneven := gapsDiffer(decode)
	reserved := p.reserveForLong(decode, p.gapTargets[req.Pool], uneven)
	p.setScarce(req, decode, uneven)
	best := Plan{cost: -1}
	if req.Prompt.Tokens <= maxShortPromptTokens {
		best.replaceIfCheaper(p.directPlan(now, req, p.leastLoaded(decode, reserved, req), nil))
		return best, nil
	}
	homes := homeEngines(c.homes, req) // also of slowed engines: the parts are there
	target := p.earliestDecode(req, append(homes, p.leastLoaded(decode, reserved, req)))
	for _, v := range p.samplePrefill(prefill, req) {
		best.replaceIfCheaper(p.splitPlan(now, req, v, homes[0], target))
	}
	if best.cost < 0 {
		best.replaceIfCheaper(p.directPlan(now, req, homes[0], homes[0]))
	}
	if p.isLong(req) || req.Deferred {
		return best, nil
	}
	crowded := best.TimeToFirstEvent > req.share(crowdedShare)
	if len(prefill) > 0 {
		decode = keep(decode, func(v *engineView) bool { return !p.harmful(now, req, v, homes[0]) })
	}
	for _, v := range p.prefillHelpers(req, decode, reserved, homes, crowded) {
		best.replaceIfCheaper(p.directPlan(now, req, v, homes[0]))
	}
	return best, nil
}

// replaceIfCheaper replaces the plan by q if q costs less. A negative cost marks
// that there is no plan yet.
func (p *Plan) replaceIfCheaper(q Plan) {
	if p.cost < 0 || q.cost < p.cost {
		*p = q
	}
}

// distanceCost returns the cost of an engine in another data centre, 0 in the
// own one.
func (p *Placer) distanceCost(req *Request, v *engineView) time.Duration {
	if v.engine.Centre == p.centre {
		return 0
	}
	return max(minCrossCentreCost, req.share(crossCentreShare))
}
