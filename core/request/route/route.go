// Package route chooses the engines of a request by the expected time to its
// first token. It is a deterministic state machine: time comes in with each
// call, and what would be random is drawn from the request's fingerprint.
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

// Policy is a way to choose engines.
type Policy string

// Policies.
const (
	PolicyCache Policy = "cache" // load, and prefix caches
	PolicyLoad  Policy = "load"  // load alone, as a baseline
)

// Subset is the number of engines of one model and role that an instance
// uses. Up to this number all instances use the same engines.
const Subset = 24

const (
	choices = 2
	// away is added to the cost of an engine in another data centre.
	away = 4 * time.Millisecond
	// shortPrompt is the largest uncached prompt, in tokens, that a decode
	// engine prefills itself.
	shortPrompt = 1000
	// shortShare is the share of a decode engine's prefill rate that short
	// prompts may use, which bounds what they add to the time between tokens.
	shortShare = 0.1
	// shortBurst is how much of that may come at once.
	shortBurst = 200 * time.Millisecond
)

// ErrNone tells that no engine can take the request.
var ErrNone = errors.New("no engine can take the request")

// Ask is what the choice needs to know of a request.
type Ask struct {
	Request     string
	Model       string
	Adapter     string
	Revision    string
	Fingerprint string
	First       bool // of the first class
	Pieces      []string
	Tokens      int
	Output      int
	Avoid       []string // engines that failed this request
	Suspect     bool     // an engine was lost while it ran this request
}

func (a *Ask) output() int {
	if a.Output > 0 {
		return a.Output
	}
	return defaultOutput
}

// Plan names the engines of a request. Without Prefill the engine Decode
// serves both phases.
type Plan struct {
	Prefill state.Engine
	Decode  state.Engine
	First   time.Duration // expected time to the first token
	Cached  int           // prompt tokens expected in the cache
	// Strayed tells that none of the engines that the fingerprint draws first
	// could be used, and one was lost just now: perhaps by this request.
	Strayed bool
}

// Split reports whether prefill runs on an engine of its own.
func (p *Plan) Split() bool { return p.Prefill.Name != "" }

// Weighed is one engine that was looked at.
type Weighed struct {
	Engine string        `json:"engine"`
	Cost   time.Duration `json:"cost"`
	Queue  int           `json:"queue"`
	Stream int           `json:"streams"`
	Cached int           `json:"cached"`
	Reason string        `json:"reason,omitempty"` // why it was left out
}

// Decision records what a choice saw and took.
type Decision struct {
	At      time.Time     `json:"at"`
	Policy  Policy        `json:"policy"`
	Tokens  int           `json:"tokens"`
	Weighed []Weighed     `json:"weighed"`
	Prefill string        `json:"prefill,omitempty"`
	Decode  string        `json:"decode,omitempty"`
	First   time.Duration `json:"first"`
	Reason  string        `json:"reason,omitempty"`
}

// group is the subset for one model and role, with the names sorted.
type group struct {
	hosts []*host
}

type groupKey struct {
	model string
	role  state.Role
}

// Router holds what an instance knows of the engines.
type Router struct {
	self   string
	centre string
	policy Policy
	hosts  map[string]*host
	groups map[groupKey]*group
}

// New returns a router without engines for the instance self.
func New(self, centre string, policy Policy) *Router {
	return &Router{self: self, centre: centre, policy: policy, hosts: map[string]*host{}, groups: map[groupKey]*group{}}
}

// Update takes the engines of a new version of the state.
func (r *Router) Update(engines []state.Engine) {
	hosts := make(map[string]*host, len(engines))
	all := make(map[groupKey][]*host)
	for _, e := range engines {
		h := r.hosts[e.Name]
		if h == nil || h.engine.URL != e.URL {
			h = &host{alive: true, sends: make(map[string]send)}
		}
		h.engine = e
		hosts[e.Name] = h
		key := groupKey{model: e.Model, role: e.Role}
		all[key] = append(all[key], h)
	}
	groups := make(map[groupKey]*group, len(all))
	for key, list := range all {
		groups[key] = &group{hosts: r.subset(list)}
	}
	r.hosts, r.groups = hosts, groups
}

// subset keeps the engines that this instance uses, by rendezvous hashing:
// one engine more or less changes at most one of them.
func (r *Router) subset(list []*host) []*host {
	if len(list) > Subset {
		sort.Slice(list, func(i, j int) bool {
			return rank(r.self, list[i]) < rank(r.self, list[j])
		})
		list = list[:Subset]
	}
	sort.Slice(list, func(i, j int) bool { return list[i].engine.Name < list[j].engine.Name })
	return list
}

// Peers sets how many instances send requests to the engines, this one
// included. Each is taken to send as much as this one.
func (r *Router) Peers(n int) {
	for _, h := range r.hosts {
		h.peers = n
	}
}

// Used lists the engines whose reports this instance needs.
func (r *Router) Used() []state.Engine {
	var list []state.Engine
	for _, g := range r.groups {
		for _, h := range g.hosts {
			list = append(list, h.engine)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Report takes a load report. A report that is older than the last is dropped.
func (r *Router) Report(name string, l engine.Load) {
	h := r.hosts[name]
	if h == nil || (h.heard && l.At.Before(h.load.At)) {
		return
	}
	h.load, h.heard = l, true
}

// Load returns the last report of an engine.
func (r *Router) Load(name string) (engine.Load, bool) {
	h := r.hosts[name]
	if h == nil {
		return engine.Load{}, false
	}
	return h.load, h.heard
}

// Alive reports whether own probes call an engine alive.
func (r *Router) Alive(name string) bool {
	h := r.hosts[name]
	return h != nil && h.alive
}

// Cache takes a page of cache events and returns where the next one starts.
func (r *Router) Cache(name string, page engine.CacheEvents) uint64 {
	h := r.hosts[name]
	if h == nil {
		return 0
	}
	h.prefixes.Take(page)
	return h.prefixes.Seq()
}

// Probe takes the result of an own probe. An engine that died has lost its
// cache.
func (r *Router) Probe(now time.Time, name string, alive bool) {
	h := r.hosts[name]
	if h == nil {
		return
	}
	if !alive {
		h.prefixes = Prefixes{}
	}
	if h.alive && !alive {
		h.lost = now
	}
	h.alive = alive
}

// Sent records own work that goes to the engines of a plan.
func (r *Router) Sent(now time.Time, id string, a *Ask, p *Plan) {
	work := max(a.Tokens-p.Cached, 0)
	if p.Split() {
		if h := r.hosts[p.Prefill.Name]; h != nil {
			h.sends[id] = send{at: now, prefill: work, first: a.First}
		}
		work = 0
	}
	h := r.hosts[p.Decode.Name]
	if h == nil {
		return
	}
	h.sends[id] = send{at: now, prefill: work, decode: true, first: a.First}
	if h.engine.Role == state.RoleDecode {
		rate := h.rate() * shortShare
		h.spent.take(now, rate, rate*shortBurst.Seconds()+shortPrompt, float64(work))
	}
}

// Done forgets own work at one engine.
func (r *Router) Done(id, name string) {
	if h := r.hosts[name]; h != nil {
		delete(h.sends, id)
	}
}

// Busy counts the streams and the room for streams on the serving engines of
// a model that decode.
func (r *Router) Busy(model string) (streams, room int) {
	for _, role := range []state.Role{state.RoleDecode, state.RoleMixed} {
		g := r.groups[groupKey{model: model, role: role}]
		if g == nil {
			continue
		}
		for _, h := range g.hosts {
			if h.engine.Phase == state.PhaseServing && h.alive {
				streams += h.streams()
				room += h.batch()
			}
		}
	}
	return streams, room
}

// Pick chooses the engines of a request.
func (r *Router) Pick(now time.Time, a *Ask) (Plan, Decision, error) {
	d := Decision{At: now, Policy: r.policy, Tokens: a.Tokens}
	best := Plan{First: -1}
	mixed, strayed := r.candidates(now, a, state.RoleMixed, &d)
	for _, h := range mixed {
		cached := h.cached(a, r.policy)
		cost := h.prefillTime(a, cached) + h.decodeWait(a) + r.distance(h)
		r.weigh(&d, h, cost, cached, a)
		best.better(Plan{Decode: h.engine, First: cost, Cached: cached, Strayed: strayed})
	}
	r.pickSplit(now, a, &d, &best)
	if best.First < 0 {
		d.Reason = "no engine is usable"
		return Plan{}, d, fmt.Errorf("model %s: %w", a.Model, ErrNone)
	}
	if best.Decode.Phase != state.PhaseServing || (best.Split() && best.Prefill.Phase != state.PhaseServing) {
		panic("route: chose an engine that isn't serving")
	}
	d.Prefill, d.Decode, d.First = best.Prefill.Name, best.Decode.Name, best.First
	return best, d, nil
}

func (p *Plan) better(q Plan) {
	if p.First < 0 || q.First < p.First {
		*p = q
	}
}

// pickSplit looks at a prefill and a decode engine, and at a decode engine
// alone for short prompts.
func (r *Router) pickSplit(now time.Time, a *Ask, d *Decision, best *Plan) {
	decode, strayed := r.candidates(now, a, state.RoleDecode, d)
	if len(decode) == 0 {
		return
	}
	var target *host
	var wait time.Duration
	for _, h := range decode {
		cost := h.decodeWait(a) + r.distance(h)
		cached := h.cached(a, r.policy)
		r.weigh(d, h, cost, cached, a)
		if target == nil || cost < wait {
			target, wait = h, cost
		}
		if r.short(now, h, a, cached) {
			best.better(Plan{Decode: h.engine, First: cost + h.prefillTime(a, cached), Cached: cached, Strayed: strayed})
		}
	}
	prefill, strayedToo := r.candidates(now, a, state.RolePrefill, d)
	transfer := time.Duration(a.Tokens) * time.Second / transferRate
	for _, h := range prefill {
		cached := h.cached(a, r.policy)
		cost := h.prefillTime(a, cached) + r.distance(h)
		r.weigh(d, h, cost, cached, a)
		best.better(Plan{
			Prefill: h.engine,
			Decode:  target.engine,
			First:   cost + transfer + wait,
			Cached:  cached,
			Strayed: strayed || strayedToo,
		})
	}
}

// short reports whether a decode engine may prefill the request itself. When
// no prefill engine serves, it has to.
func (r *Router) short(now time.Time, h *host, a *Ask, cached int) bool {
	if !r.serves(a, state.RolePrefill) {
		return true
	}
	n := a.Tokens - cached
	if n > shortPrompt {
		return false
	}
	rate := h.rate() * shortShare
	h.spent.refill(now, rate, rate*shortBurst.Seconds()+shortPrompt)
	return h.spent.level >= float64(n)
}

func (r *Router) serves(a *Ask, role state.Role) bool {
	g := r.groups[groupKey{model: a.Model, role: role}]
	if g == nil {
		return false
	}
	for _, h := range g.hosts {
		if h.usable(a) == "" {
			return true
		}
	}
	return false
}

func (r *Router) distance(h *host) time.Duration {
	if h.engine.Centre == r.centre {
		return 0
	}
	return away
}

func (r *Router) weigh(d *Decision, h *host, cost time.Duration, cached int, a *Ask) {
	d.Weighed = append(d.Weighed, Weighed{
		Engine: h.engine.Name, Cost: cost, Queue: h.queue(a.First), Stream: h.streams(), Cached: cached,
	})
}

func rank(key string, h *host) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(h.engine.Name)
	return d.Sum64()
}
