// Package place chooses the engines of a generation whose prompt is described
// by its parts: where the prompt is prefilled, where the answer is decoded, and
// from where cached parts are fetched. It is a state machine: time, reports and
// outcomes come in, a plan comes out.
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
	// shortPrompt is the number of tokens that a decode engine prefills between
	// the tokens of its answers without pausing them: two pieces of its prefill.
	shortPrompt = 1024
	// decodeShare is the prefill speed of a decode engine against that of a
	// prefill engine.
	decodeShare = 0.5
	// startRate is the prefill speed of an engine that isn't known yet, in
	// tokens a second.
	startRate = 250_000.0
	// longAnswer is the number of events from which an answer counts as long.
	longAnswer = 8
	// fillFirst is the share of its room up to which an engine that is reserved
	// for long answers gets some before another is reserved.
	fillFirst = 0.8
	// manyAnswers is the number of answers from which the steps of an engine get
	// so long that the longest answers may not end in time.
	manyAnswers = 36
	// reserveShare leaves room for the long answers that begin until the next
	// heartbeats.
	reserveShare = 1.15
	// crowdedTime is the expected time to the first event from which prefill
	// engines count as crowded.
	crowdedTime = 70 * time.Millisecond
	// fewAnswers is the number of long answers that may be paused for prompts
	// while they are: an engine computes more prompts in their time.
	fewAnswers = 8
	// fewShare bounds them as well: one for so many slots of the engine.
	fewShare = 6
	// fullShare is the share of its room from which an engine counts as full.
	fullShare = 0.92
	// fillCost is what a full engine's slower steps cost, as time.
	fillCost = 10 * time.Millisecond
	// sampleNear and sampleFar are the numbers of prefill engines that are
	// compared, in the own data centre and in others: two choices balance a load
	// that is known late almost as well as all.
	sampleNear = 3
	sampleFar  = 2
	// stretchCost is what each answer on an engine costs another long one, as
	// time: it makes all steps longer, and the longest answers may not end within
	// their time.
	stretchCost = 1200 * time.Microsecond
	// strayCost is what an engine costs that should hold the shared parts next.
	strayCost = 10 * time.Millisecond
	// outsideCost is what a long answer outside of the reserved engines costs.
	outsideCost = 100 * time.Millisecond
	// awayCost is what another data centre costs, as time: its distance, and
	// the price of the bytes between.
	awayCost = 15 * time.Millisecond
	// slotTime is how long a long answer takes in an engine's batch: a full batch
	// frees one of its slots in the time of one answer divided by their number.
	slotTime = 3 * time.Second
	// spareSlots are kept free for what other instances send meanwhile.
	spareSlots = 2
	// fullCost is what an engine without memory costs, as time.
	fullCost = 300 * time.Millisecond
	// handCost is the time to hand a KV cache over.
	handCost = 6 * time.Millisecond
	// fetchCost is the time to fetch shared parts.
	fetchCost = 3 * time.Millisecond
	// fetchMiss is the share of shared parts that the engine which should hold
	// them is expected to lack.
	fetchMiss = 0.3
	// partLife is how long a part is taken to stay in an engine's cache.
	partLife = 3 * time.Second
	// maxParts bounds the parts that are remembered for an engine.
	maxParts = 4096
	// reportLife is how long a report counts.
	reportLife = 2 * time.Second
)

// ErrNone tells that no engine can take the request.
var ErrNone = errors.New("no engine can take the request")

// Ask is a request that needs engines.
type Ask struct {
	ID     string // of the attempt
	Pool   string
	Prompt *server.Prompt
	Avoid  []string // engines that failed this request
	Later  bool     // it can't be on time, and waits behind those that can
}

// Plan is a choice of engines.
type Plan struct {
	Prefill  state.Engine // no name if the decode engine prefills
	Decode   state.Engine
	Fetch    string        // URL of an engine that may hold shared parts
	Expected time.Duration // until the first event
	Work     int           // prompt tokens to be computed
	Wait     time.Duration // of Expected, in the prefill queue
}

// Split reports whether prefill and decode run on two engines.
func (p *Plan) Split() bool { return p.Prefill.Name != "" }

// Placer holds what an instance knows of the engines.
type Placer struct {
	centre string
	hosts  map[string]*host
	pools  map[string][]*host // by rank
	common map[roleKey]*float64
}

// roleKey names the engines of a pool with one role.
type roleKey struct {
	pool string
	role state.Role
}

// New returns a placer without engines, for an instance in a data centre.
func New(centre string) *Placer {
	return &Placer{centre: centre, hosts: make(map[string]*host), pools: make(map[string][]*host), common: make(map[roleKey]*float64)}
}

// Update takes the engines of a new version of the state.
func (p *Placer) Update(engines []state.Engine, routing *state.Routing) {
	hosts := make(map[string]*host, len(engines))
	pools := make(map[string][]*host)
	for _, e := range engines {
		h := p.hosts[e.Name]
		if h == nil || h.engine.URL != e.URL || h.engine.Serial != e.Serial || h.engine.Role != e.Role {
			h = &host{sends: make(map[string]send), parts: make(map[string]time.Time), slow: 1, rank: xxhash.Sum64String(e.Name)}
		}
		h.engine = e
		key := roleKey{e.Pool, e.Role}
		if p.common[key] == nil {
			one := 1.0
			p.common[key] = &one
		}
		h.common = p.common[key]
		if routing != nil {
			if pool, ok := routing.Pool(e.Pool); ok && pool.Spec != nil {
				h.spec = *pool.Spec
			}
		}
		hosts[e.Name] = h
		pools[e.Pool] = append(pools[e.Pool], h)
	}
	for _, list := range pools {
		slices.SortFunc(list, func(a, b *host) int {
			return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.engine.Name, b.engine.Name))
		})
	}
	p.hosts, p.pools = hosts, pools
}

// Hear takes reports and the work of all other instances.
func (p *Placer) Hear(reports []proto.Report, others []proto.Share) {
	for _, h := range p.hosts {
		h.others = proto.Share{}
	}
	for _, r := range reports {
		if h := p.hosts[r.Engine]; h != nil {
			h.report, h.reported = r, true
		}
	}
	for _, s := range others {
		if h := p.hosts[s.Engine]; h != nil {
			h.others = s
		}
	}
}

// Loads returns own work at the engines, by name.
func (p *Placer) Loads() []proto.Share {
	var list []proto.Share
	for name, h := range p.hosts {
		if len(h.sends) == 0 {
			continue
		}
		s := h.own
		s.Engine = name
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b proto.Share) int { return cmp.Compare(a.Engine, b.Engine) })
	return list
}

// Sent records own work that goes to the engines of a plan.
func (p *Placer) Sent(now time.Time, a *Ask, plan *Plan) {
	target := send{decode: true, long: p.long(a), tokens: a.Output() / 2}
	if target.long {
		target.tokens += a.Prompt.Tokens
	}
	if plan.Split() {
		if h := p.hosts[plan.Prefill.Name]; h != nil {
			h.add(a.ID, send{prefill: plan.Work, later: a.Later})
			h.remember(now, a)
		}
	} else {
		target.prefill, target.later = plan.Work, a.Later
	}
	if h := p.hosts[plan.Decode.Name]; h != nil {
		h.add(a.ID, target)
		h.remember(now, a)
	}
}

// Prefilled records that a prompt was computed, after a time. It teaches how
// fast the engine is.
func (p *Placer) Prefilled(a *Ask, plan *Plan, took time.Duration) {
	name := plan.Prefill.Name
	if !plan.Split() {
		name = plan.Decode.Name
	}
	h := p.hosts[name]
	if h == nil {
		return
	}
	if plan.Split() {
		h.drop(a.ID)
		if !a.Later {
			h.learn(plan, took)
		}
		return
	}
	if s, found := h.sends[a.ID]; found {
		s.prefill = 0
		h.add(a.ID, s)
	}
	if plan.Work > shortPrompt && !a.Later {
		h.learn(plan, took)
	}
}

// Done forgets own work at the engines of a plan.
func (p *Placer) Done(a *Ask, plan *Plan) {
	for _, name := range []string{plan.Prefill.Name, plan.Decode.Name} {
		if h := p.hosts[name]; h != nil {
			h.drop(a.ID)
		}
	}
}

// Pick chooses the engines of a request.
func (p *Placer) Pick(now time.Time, a *Ask) (Plan, error) {
	var prefill, decode []*host
	for _, h := range p.pools[a.Pool] {
		if !h.usable(now, a) {
			continue
		}
		if h.engine.Role == state.RolePrefill {
			prefill = append(prefill, h)
		} else {
			decode = append(decode, h)
		}
	}
	if len(decode) == 0 {
		return Plan{}, fmt.Errorf("pool %s: %w", a.Pool, ErrNone)
	}
	answers := p.reserve(decode)
	best := Plan{Expected: -1}
	if a.Prompt.Tokens <= shortPrompt {
		best.better(p.direct(now, a, p.roomiest(decode, answers, a), nil))
		return best, nil
	}
	homes := homesOf(decode, a)
	target := p.roomiest(decode, answers, a)
	if !p.long(a) {
		target = p.quickest(a, append(homes, target))
	}
	for _, h := range p.sample(prefill, a) {
		best.better(p.split(now, a, h, homes[0], target))
	}
	if best.Expected < 0 {
		best.better(p.direct(now, a, homes[0], homes[0]))
	}
	if p.long(a) || a.Later {
		return best, nil
	}
	crowded := best.Expected > crowdedTime
	for _, h := range p.helpers(a, decode, answers, homes, crowded) {
		best.better(p.direct(now, a, h, homes[0]))
	}
	return best, nil
}

func (p *Plan) better(q Plan) {
	if p.Expected < 0 || q.Expected < p.Expected {
		*p = q
	}
}

func (p *Placer) away(h *host) time.Duration {
	if h.engine.Centre == p.centre {
		return 0
	}
	return awayCost
}
