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
	// initialPrefillRate is the assumed prefill speed of an engine without
	// observations, in tokens per second.
	initialPrefillRate = 250_000.0
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
	// crowdedThreshold is the expected time to the first event above which
	// prefill engines count as crowded.
	crowdedThreshold = 70 * time.Millisecond
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
	// fullBatchCost is the cost of the slower decode steps of a full engine.
	fullBatchCost = 10 * time.Millisecond
	// sampleLocal and sampleRemote are the numbers of prefill engines to
	// compare, in the own data centre and in others. With outdated load data,
	// two choices balance almost as well as all.
	sampleLocal  = 3
	sampleRemote = 2
	// sharedStepCost is the cost of each answer on an engine for another long
	// one: it slows down all decode steps, and the longest answers may miss
	// their deadline.
	sharedStepCost = 1200 * time.Microsecond
	// nonHomeCost is the cost of each further engine in the list for a short
	// answer: the second home engine of its shared parts, then any other.
	nonHomeCost = 10 * time.Millisecond
	// unreservedCost is the cost of an engine that isn't reserved for long
	// answers.
	unreservedCost = 100 * time.Millisecond
	// crossCentreCost is the cost of an engine in another data centre: the
	// latency and the price of the traffic between.
	crossCentreCost = 15 * time.Millisecond
	// slotOccupancy is how long a long answer occupies a batch slot. A full
	// batch frees a slot every slotOccupancy divided by the number of slots.
	slotOccupancy = 3 * time.Second
	// spareSlots is the number of slots kept free for requests that other
	// instances send at the same time.
	spareSlots = 2
	// fullMemoryCost is the cost of an engine whose memory is full.
	fullMemoryCost = 300 * time.Millisecond
	// transferTime is the time of a KV transfer from the prefill to the decode
	// engine.
	transferTime = 6 * time.Millisecond
	// fetchTime is the time to fetch the KV cache of shared parts.
	fetchTime = 3 * time.Millisecond
	// fetchMissShare is the expected share of shared parts that their home
	// engine doesn't hold.
	fetchMissShare = 0.3
	// partTTL is how long a part is assumed to stay in an engine's cache.
	partTTL = 3 * time.Second
	// maxTrackedParts is the maximum number of parts tracked per engine.
	maxTrackedParts = 4096
	// reportTTL is the time after which a report that an engine is dead is
	// ignored.
	reportTTL = 2 * time.Second
)

// ErrNoBackend is returned if no engine or plain server can take the request.
var ErrNoBackend = errors.New("no backend server can take the request")

// Request is the input of a placement decision: one attempt of a request.
type Request struct {
	ID       string // of the attempt
	Pool     string
	Prompt   *server.Prompt
	Avoid    []string // engines at which this request failed
	Deferred bool     // can't meet its deadline; waits behind requests that can
}

// Plan is a choice of engines for a request.
type Plan struct {
	Prefill          state.Engine // empty if the decode engine prefills
	Decode           state.Engine
	FetchURL         string        // URL of an engine that may hold the KV cache of shared parts
	TimeToFirstEvent time.Duration // expected time to the first event
	PrefillTokens    int           // prompt tokens to compute
	QueueWait        time.Duration // part of TimeToFirstEvent spent in the prefill queue
}

// Split reports whether prefill and decode run on separate engines.
func (p *Plan) Split() bool { return p.Prefill.Name != "" }

// Placer chooses engines by what this instance knows of them.
type Placer struct {
	centre        string
	engines       map[string]*engineView
	pools         map[string][]*engineView // ordered by hash
	roleSlowdowns map[roleKey]*float64     // prefill time relative to initialPrefillRate
}

// roleKey identifies the engines of a pool with one role.
type roleKey struct {
	pool string
	role state.Role
}

// New returns a placer without engines for an instance in the data centre.
func New(centre string) *Placer {
	return &Placer{centre: centre, engines: make(map[string]*engineView), pools: make(map[string][]*engineView), roleSlowdowns: make(map[roleKey]*float64)}
}

// Update replaces the engines by those of a new version of the state. What is
// known of engines that remain unchanged is kept.
func (p *Placer) Update(engines []state.Engine, routing *state.RoutingTable) {
	views := make(map[string]*engineView, len(engines))
	pools := make(map[string][]*engineView)
	for _, e := range engines {
		v := p.engines[e.Name]
		if v == nil || v.engine.URL != e.URL || v.engine.StartSerial != e.StartSerial || v.engine.Role != e.Role {
			v = &engineView{sent: make(map[string]sentWork), cachedParts: make(map[string]time.Time), slowdown: 1, hash: xxhash.Sum64String(e.Name)}
		}
		v.engine = e
		key := roleKey{e.Pool, e.Role}
		if p.roleSlowdowns[key] == nil {
			initial := 1.0
			p.roleSlowdowns[key] = &initial
		}
		v.roleSlowdown = p.roleSlowdowns[key]
		if routing != nil {
			if pool, ok := routing.Pool(e.Pool); ok && pool.Spec != nil {
				v.spec = *pool.Spec
			}
		}
		views[e.Name] = v
		pools[e.Pool] = append(pools[e.Pool], v)
	}
	for _, list := range pools {
		slices.SortFunc(list, func(a, b *engineView) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.engine.Name, b.engine.Name))
		})
	}
	p.engines, p.pools = views, pools
}

// ApplyReports applies the load reports of engines and the work of all other
// instances.
func (p *Placer) ApplyReports(reports []proto.Report, others []proto.EngineWork) {
	for _, v := range p.engines {
		v.otherWork = proto.EngineWork{}
	}
	for _, r := range reports {
		if v := p.engines[r.Engine]; v != nil {
			v.lastReport, v.reported = r, true
		}
	}
	for _, s := range others {
		if v := p.engines[s.Engine]; v != nil {
			v.otherWork = s
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
	decode := sentWork{decode: true, longAnswer: p.isLong(req), memoryTokens: req.OutputTokens() / 2}
	if decode.longAnswer {
		decode.memoryTokens += req.Prompt.Tokens
	}
	if plan.Split() {
		if v := p.engines[plan.Prefill.Name]; v != nil {
			v.addWork(req.ID, sentWork{prefillTokens: plan.PrefillTokens, deferred: req.Deferred})
			v.recordParts(now, req)
		}
	} else {
		decode.prefillTokens, decode.deferred = plan.PrefillTokens, req.Deferred
	}
	if v := p.engines[plan.Decode.Name]; v != nil {
		v.addWork(req.ID, decode)
		v.recordParts(now, req)
	}
}

// RecordPrefill records that the prompt of a request was prefilled and how long
// it took, which adjusts the estimated speed of the engine. The times of
// deferred requests, which others overtake, and of short prompts on a decode
// engine are ignored.
func (p *Placer) RecordPrefill(req *Request, plan *Plan, took time.Duration) {
	name := plan.Prefill.Name
	if !plan.Split() {
		name = plan.Decode.Name
	}
	v := p.engines[name]
	if v == nil {
		return
	}
	if plan.Split() {
		v.removeWork(req.ID)
		if !req.Deferred {
			v.observePrefill(plan, took)
		}
		return
	}
	if s, found := v.sent[req.ID]; found {
		s.prefillTokens = 0
		v.addWork(req.ID, s)
	}
	if plan.PrefillTokens > maxShortPromptTokens && !req.Deferred {
		v.observePrefill(plan, took)
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

// Pick chooses the engines of a request.
func (p *Placer) Pick(now time.Time, req *Request) (Plan, error) {
	var prefill, decode []*engineView
	for _, v := range p.pools[req.Pool] {
		if !v.usable(now, req) {
			continue
		}
		if v.engine.Role == state.RolePrefill {
			prefill = append(prefill, v)
		} else {
			decode = append(decode, v)
		}
	}
	if len(decode) == 0 {
		return Plan{}, fmt.Errorf("pool %s: %w", req.Pool, ErrNoBackend)
	}
	reserved := p.reserveForLong(decode)
	best := Plan{TimeToFirstEvent: -1}
	if req.Prompt.Tokens <= maxShortPromptTokens {
		best.replaceIfFaster(p.directPlan(now, req, p.leastLoaded(decode, reserved, req), nil))
		return best, nil
	}
	homes := homeEngines(decode, req)
	target := p.leastLoaded(decode, reserved, req)
	if !p.isLong(req) {
		target = p.earliestDecode(req, append(homes, target))
	}
	for _, v := range p.samplePrefill(prefill, req) {
		best.replaceIfFaster(p.splitPlan(now, req, v, homes[0], target))
	}
	if best.TimeToFirstEvent < 0 {
		best.replaceIfFaster(p.directPlan(now, req, homes[0], homes[0]))
	}
	if p.isLong(req) || req.Deferred {
		return best, nil
	}
	crowded := best.TimeToFirstEvent > crowdedThreshold
	for _, v := range p.prefillHelpers(req, decode, reserved, homes, crowded) {
		best.replaceIfFaster(p.directPlan(now, req, v, homes[0]))
	}
	return best, nil
}

// replaceIfFaster replaces the plan by q if q has the shorter expected time to
// the first event. A negative time marks that there is no plan yet.
func (p *Plan) replaceIfFaster(q Plan) {
	if p.TimeToFirstEvent < 0 || q.TimeToFirstEvent < p.TimeToFirstEvent {
		*p = q
	}
}

// distanceCost returns the cost of an engine in another data centre, 0 in the
// own one.
func (p *Placer) distanceCost(v *engineView) time.Duration {
	if v.engine.Centre == p.centre {
		return 0
	}
	return crossCentreCost
}
