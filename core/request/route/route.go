// Package route implements the request router. It chooses the engines of a
// request by the expected time to first token, from load reports, probes and
// prefix cache events. It is deterministic: time is passed in, and hashes of
// the request's fingerprint take the place of random numbers.
package route

import (
	"errors"
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/version/state"
)

// Policy is a routing policy.
type Policy string

// Routing policies.
const (
	PolicyCache Policy = "cache" // by load and prefix caches
	PolicyLoad  Policy = "load"  // by load only, as a baseline
)

// SubsetSize is the number of engines per model and role that an instance uses.
// If there are no more than that, all instances use the same ones.
const SubsetSize = 24

const (
	candidatesPerRole = 2
	// crossCentreCost is the cost added to an engine in another data centre.
	crossCentreCost = 4 * time.Millisecond
	// maxShortPromptTokens is the maximum of uncached prompt tokens that a
	// decode engine prefills itself.
	maxShortPromptTokens = 1000
	// shortPromptShare is the share of a decode engine's prefill rate that
	// short prompts may use. It limits by how much they delay the tokens of
	// running answers.
	shortPromptShare = 0.1
	// shortPromptBurst is the burst of the short prompts' budget, as time at its
	// rate.
	shortPromptBurst = 200 * time.Millisecond
)

// ErrNoEngine is returned if no engine can take the request.
var ErrNoEngine = errors.New("no engine can take the request")

// Request is the input of a routing decision.
type Request struct {
	ID              string // identifier of the request
	Model           string
	Adapter         string
	Revision        string
	Fingerprint     string
	FirstClass      bool     // the request is of the first class
	BlockHashes     []string // chained hashes of the prompt's blocks
	PromptTokens    int      // estimated prompt tokens
	MaxOutputTokens int      // maximum number of output tokens; 0 for no limit
	Avoid           []string // engines at which this request failed
	Suspect         bool     // an engine was lost while it ran this request
	Continues       *Output  // what began the answer and must go on with it, nil before its first token
}

// Output is what decides which text an engine writes for a request. Texts of two
// outputs don't fit together.
type Output struct {
	Revision, Build string
}

// OutputOf returns the output of an engine.
func OutputOf(e *state.Engine) Output { return Output{Revision: e.Revision, Build: e.Build} }

func (r *Request) outputTokens() int {
	if r.MaxOutputTokens > 0 {
		return r.MaxOutputTokens
	}
	return defaultOutputTokens
}

// Plan is a choice of engines for a request. If Prefill is empty, Decode runs
// both phases.
type Plan struct {
	Prefill      state.Engine
	Decode       state.Engine
	TTFT         time.Duration // expected time to the first token
	CachedTokens int           // prompt tokens expected in the prefix cache
	// PreferredLost is set if none of the engines that rank first for the
	// fingerprint was usable and one of them was lost recently, perhaps because
	// of this request.
	PreferredLost bool
}

// Split reports whether prefill and decode run on separate engines.
func (p *Plan) Split() bool { return p.Prefill.Name != "" }

// Candidate is an engine that was considered in a decision.
type Candidate struct {
	Engine       string        `json:"engine"`
	Cost         time.Duration `json:"cost"`
	QueuedTokens int           `json:"queue"`
	Streams      int           `json:"streams"`
	CachedTokens int           `json:"cached"`
	Reason       string        `json:"reason,omitempty"` // why it was excluded
}

// Decision records the inputs and the result of a routing decision, for
// operators.
type Decision struct {
	At           time.Time     `json:"at"`
	Policy       Policy        `json:"policy"`
	PromptTokens int           `json:"tokens"`
	Candidates   []Candidate   `json:"weighed"`
	Prefill      string        `json:"prefill,omitempty"`
	Decode       string        `json:"decode,omitempty"`
	TTFT         time.Duration `json:"first"`
	Reason       string        `json:"reason,omitempty"` // why no engine was chosen
}

// group holds the engines that this instance uses for one model and role, by
// name.
type group struct {
	engines []*engineView
}

type groupKey struct {
	model string
	role  state.Role
}

// Router chooses engines by what this instance knows of them.
type Router struct {
	self    string
	centre  string
	policy  Policy
	engines map[string]*engineView
	groups  map[groupKey]*group
}

// New returns a router without engines for the instance named self.
func New(self, centre string, policy Policy) *Router {
	return &Router{self: self, centre: centre, policy: policy, engines: map[string]*engineView{}, groups: map[groupKey]*group{}}
}

// Update replaces the engines by those of a new version of the state. What is
// known of engines that remain is kept.
func (r *Router) Update(engines []state.Engine) {
	views := make(map[string]*engineView, len(engines))
	all := make(map[groupKey][]*engineView)
	for _, e := range engines {
		v := r.engines[e.Name]
		if v == nil || v.engine.URL != e.URL {
			v = &engineView{alive: true, sent: make(map[string]sentWork)}
		}
		v.engine = e
		views[e.Name] = v
		key := groupKey{model: e.Model, role: e.Role}
		all[key] = append(all[key], v)
	}
	groups := make(map[groupKey]*group, len(all))
	for key, list := range all {
		groups[key] = &group{engines: r.subset(list)}
	}
	r.engines, r.groups = views, groups
}

// subset returns the engines that this instance uses, selected by rendezvous
// hashing: adding or removing an engine changes at most one of them.
func (r *Router) subset(list []*engineView) []*engineView {
	if len(list) > SubsetSize {
		sort.Slice(list, func(i, j int) bool {
			return rendezvousHash(r.self, list[i]) < rendezvousHash(r.self, list[j])
		})
		list = list[:SubsetSize]
	}
	sort.Slice(list, func(i, j int) bool { return list[i].engine.Name < list[j].engine.Name })
	return list
}

// SetInstances sets the number of instances that send requests to the engines,
// this one included. Each is assumed to send as much as this one.
func (r *Router) SetInstances(n int) {
	for _, v := range r.engines {
		v.instances = n
	}
}

// Engines returns the engines that this instance uses and must poll, by name.
func (r *Router) Engines() []state.Engine {
	var list []state.Engine
	for _, g := range r.groups {
		for _, v := range g.engines {
			list = append(list, v.engine)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// RecordLoad stores a load report. A report older than the stored one is
// dropped.
func (r *Router) RecordLoad(name string, l engine.LoadReport) {
	v := r.engines[name]
	if v == nil || (v.reported && l.MeasuredAt.Before(v.load.MeasuredAt)) {
		return
	}
	v.load, v.reported = l, true
}

// Load returns the last load report of an engine, and whether there is one.
func (r *Router) Load(name string) (engine.LoadReport, bool) {
	v := r.engines[name]
	if v == nil {
		return engine.LoadReport{}, false
	}
	return v.load, v.reported
}

// Alive reports whether an engine is alive according to this instance's probes.
func (r *Router) Alive(name string) bool {
	v := r.engines[name]
	return v != nil && v.alive
}

// ApplyCacheEvents applies a page of cache events and returns the sequence
// number after which the next one starts.
func (r *Router) ApplyCacheEvents(name string, page engine.CacheEvents) uint64 {
	v := r.engines[name]
	if v == nil {
		return 0
	}
	v.prefixes.Apply(page)
	return v.prefixes.Seq()
}

// RecordProbe records the result of a health probe. A dead engine has lost its
// prefix cache.
func (r *Router) RecordProbe(now time.Time, name string, alive bool) {
	v := r.engines[name]
	if v == nil {
		return
	}
	if !alive {
		v.prefixes = PrefixIndex{}
	}
	if v.alive && !alive {
		v.lostAt = now
	}
	v.alive = alive
}

// RecordSent records that a request is sent to the engines of a plan.
func (r *Router) RecordSent(now time.Time, id string, req *Request, p *Plan) {
	prefillTokens := max(req.PromptTokens-p.CachedTokens, 0)
	if p.Split() {
		if v := r.engines[p.Prefill.Name]; v != nil {
			v.sent[id] = sentWork{sentAt: now, prefillTokens: prefillTokens, firstClass: req.FirstClass}
		}
		prefillTokens = 0
	}
	v := r.engines[p.Decode.Name]
	if v == nil {
		return
	}
	v.sent[id] = sentWork{sentAt: now, prefillTokens: prefillTokens, decode: true, firstClass: req.FirstClass}
	if v.engine.Role == state.RoleDecode {
		rate := v.prefillRate() * shortPromptShare
		v.shortPromptBudget.take(now, rate, rate*shortPromptBurst.Seconds()+maxShortPromptTokens, float64(prefillTokens))
	}
}

// RecordDone removes the work of a request at one engine.
func (r *Router) RecordDone(id, name string) {
	if v := r.engines[name]; v != nil {
		delete(v.sent, id)
	}
}

// LongestStep returns the longest reported time of a decode step at an engine that may
// generate answers of a model, 0 if none is known.
func (r *Router) LongestStep(model string) time.Duration {
	var longest time.Duration
	for _, v := range r.engines {
		if v.engine.Model == model && v.engine.Role != state.RolePrefill {
			longest = max(longest, v.load.TPOT)
		}
	}
	return longest
}

// StreamLoad returns the number of answers running or queued on a model's
// serving engines that decode, and the number that these can run concurrently.
func (r *Router) StreamLoad(model string) (streams, capacity int) {
	for _, role := range []state.Role{state.RoleDecode, state.RoleMixed} {
		g := r.groups[groupKey{model: model, role: role}]
		if g == nil {
			continue
		}
		for _, v := range g.engines {
			if v.engine.Phase == state.PhaseServing && v.alive {
				streams += v.streams()
				capacity += v.batchSize()
			}
		}
	}
	return streams, capacity
}

// Pick chooses the engines of a request.
func (r *Router) Pick(now time.Time, req *Request) (Plan, Decision, error) {
	d := Decision{At: now, Policy: r.policy, PromptTokens: req.PromptTokens}
	best := Plan{TTFT: -1}
	mixed, preferredLost := r.candidates(now, req, state.RoleMixed, &d)
	for _, v := range mixed {
		cached := v.cachedTokens(req, r.policy)
		cost := v.prefillTime(req, cached) + v.decodeWait(req) + r.distanceCost(v)
		r.recordCandidate(&d, v, cost, cached, req)
		best.replaceIfFaster(Plan{Decode: v.engine, TTFT: cost, CachedTokens: cached, PreferredLost: preferredLost})
	}
	r.pickSplit(now, req, &d, &best)
	if best.TTFT < 0 {
		d.Reason = "no engine is usable"
		return Plan{}, d, fmt.Errorf("model %s: %w", req.Model, ErrNoEngine)
	}
	if best.Decode.Phase != state.PhaseServing || (best.Split() && best.Prefill.Phase != state.PhaseServing) {
		panic("route: chosen engine isn't serving")
	}
	d.Prefill, d.Decode, d.TTFT = best.Prefill.Name, best.Decode.Name, best.TTFT
	return best, d, nil
}

// replaceIfFaster replaces the plan by q if q has the shorter time to first
// token. A negative time marks that there is no plan yet.
func (p *Plan) replaceIfFaster(q Plan) {
	if p.TTFT < 0 || q.TTFT < p.TTFT {
		*p = q
	}
}

// pickSplit considers plans with separate prefill and decode engines, and for
// short prompts plans with a decode engine alone.
func (r *Router) pickSplit(now time.Time, req *Request, d *Decision, best *Plan) {
	decode, decodeLost := r.candidates(now, req, state.RoleDecode, d)
	if len(decode) == 0 {
		return
	}
	var target *engineView
	var decodeCost time.Duration
	for _, v := range decode {
		cost := v.decodeWait(req) + r.distanceCost(v)
		cached := v.cachedTokens(req, r.policy)
		r.recordCandidate(d, v, cost, cached, req)
		if target == nil || cost < decodeCost {
			target, decodeCost = v, cost
		}
		if r.mayPrefill(now, v, req, cached) {
			best.replaceIfFaster(Plan{Decode: v.engine, TTFT: cost + v.prefillTime(req, cached), CachedTokens: cached, PreferredLost: decodeLost})
		}
	}
	prefill, prefillLost := r.candidates(now, req, state.RolePrefill, d)
	transfer := time.Duration(req.PromptTokens) * time.Second / transferRate
	for _, v := range prefill {
		cached := v.cachedTokens(req, r.policy)
		cost := v.prefillTime(req, cached) + r.distanceCost(v)
		r.recordCandidate(d, v, cost, cached, req)
		best.replaceIfFaster(Plan{
			Prefill:       v.engine,
			Decode:        target.engine,
			TTFT:          cost + transfer + decodeCost,
			CachedTokens:  cached,
			PreferredLost: decodeLost || prefillLost,
		})
	}
}

// mayPrefill reports whether a decode engine may prefill the request itself. It
// must if no prefill engine is usable.
func (r *Router) mayPrefill(now time.Time, v *engineView, req *Request, cached int) bool {
	if !r.hasUsable(req, state.RolePrefill) {
		return true
	}
	uncached := req.PromptTokens - cached
	if uncached > maxShortPromptTokens {
		return false
	}
	rate := v.prefillRate() * shortPromptShare
	v.shortPromptBudget.refill(now, rate, rate*shortPromptBurst.Seconds()+maxShortPromptTokens)
	return v.shortPromptBudget.tokens >= float64(uncached)
}

// hasUsable reports whether an engine of a role is usable for the request.
func (r *Router) hasUsable(req *Request, role state.Role) bool {
	g := r.groups[groupKey{model: req.Model, role: role}]
	if g == nil {
		return false
	}
	for _, v := range g.engines {
		if v.unusableReason(req) == "" {
			return true
		}
	}
	return false
}

// distanceCost returns the extra cost of an engine in another data centre.
func (r *Router) distanceCost(v *engineView) time.Duration {
	if v.engine.Centre == r.centre {
		return 0
	}
	return crossCentreCost
}

// recordCandidate adds an engine that may be chosen to the decision's record.
func (r *Router) recordCandidate(d *Decision, v *engineView, cost time.Duration, cached int, req *Request) {
	d.Candidates = append(d.Candidates, Candidate{
		Engine: v.engine.Name, Cost: cost, QueuedTokens: v.queuedTokens(req.FirstClass), Streams: v.streams(), CachedTokens: cached,
	})
}

// rendezvousHash returns the rendezvous hash of a key and an engine; the lowest
// ranks first.
func rendezvousHash(key string, v *engineView) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(v.engine.Name)
	return d.Sum64()
}
