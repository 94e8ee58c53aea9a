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
	// fullCost is what an engine without room costs, as time.
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

// send is own work at an engine.
type send struct {
	prefill int
	decode  bool
	long    bool
	tokens  int
}

// host is one engine as this instance sees it.
type host struct {
	health
	engine   state.Engine
	spec     state.Spec
	report   proto.Report
	others   proto.Share
	sends    map[string]send
	own      proto.Share
	slow     float64  // prefill time against that of the pool's engines of its role
	common   *float64 // prefill time of the pool's engines of its role against startRate
	parts    map[string]time.Time
	rank     uint64 // fixed place among the engines of a pool
	reported bool
}

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

func (h *host) add(id string, s send) {
	h.drop(id)
	h.sends[id] = s
	h.count(s, 1)
}

func (h *host) drop(id string) {
	s, found := h.sends[id]
	if !found {
		return
	}
	delete(h.sends, id)
	h.count(s, -1)
}

func (h *host) count(s send, sign int) {
	h.own.Prefill += sign * s.prefill
	h.own.Tokens += sign * s.tokens
	if s.decode {
		h.own.Streams += sign
	}
	if s.long {
		h.own.Long += sign
	}
}

// Sent records own work that goes to the engines of a plan.
func (p *Placer) Sent(now time.Time, a *Ask, plan *Plan) {
	target := send{decode: true, long: p.long(a), tokens: a.Prompt.Tokens + a.Output()}
	if plan.Split() {
		if h := p.hosts[plan.Prefill.Name]; h != nil {
			h.add(a.ID, send{prefill: plan.Work})
			h.remember(now, a)
		}
	} else {
		target.prefill = plan.Work
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
		h.learn(plan, took)
		return
	}
	if s, found := h.sends[a.ID]; found {
		s.prefill = 0
		h.add(a.ID, s)
	}
	if plan.Work > shortPrompt {
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

const (
	// slowWeight is the weight of a new observation of an engine's speed.
	slowWeight = 0.05
	// mostRatio bounds what one observation may tell, and how far an engine may
	// differ from the others.
	mostRatio = 4.0
	// mostSlow bounds how far the engines of a pool may differ from startRate.
	mostSlow = 8.0
)

func (h *host) learn(plan *Plan, took time.Duration) {
	expected := plan.Wait + h.prefillTime(plan.Work)
	if expected <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(expected), 1/mostRatio), mostRatio)
	// Each instance sees little of one engine, but soon enough of all together.
	*h.common = min(max(*h.common*(1+(ratio-1)*slowWeight), 1/mostSlow), mostSlow)
	h.slow = min(max(h.slow*(1+(ratio-1)*slowWeight/2), 1/mostRatio), mostRatio)
}

func (h *host) prefillTime(tokens int) time.Duration {
	d := float64(tokens) * h.slow * *h.common / startRate * float64(time.Second)
	if h.engine.Role != state.RolePrefill {
		d /= decodeShare
	}
	return time.Duration(d)
}

// queue is the time until the engine has computed what it was given.
func (h *host) queue() time.Duration {
	return h.prefillTime(h.own.Prefill + h.others.Prefill)
}

// streams is the number of answers that the engine generates or has waiting.
func (h *host) streams() int {
	return max(h.own.Streams+h.others.Streams, h.report.Running+h.report.Waiting)
}

// fill is the share of the engine's room that is taken.
func (h *host) fill() float64 {
	fill := h.report.Used
	if h.spec.Slots > 0 {
		fill = max(fill, float64(h.streams())/float64(h.spec.Slots))
	}
	if h.spec.Tokens > 0 {
		fill = max(fill, float64(h.own.Tokens+h.others.Tokens)/float64(h.spec.Tokens))
	}
	return fill
}

func (h *host) usable(now time.Time, a *Ask) bool {
	if h.engine.Phase != state.PhaseServing || slices.Contains(a.Avoid, h.engine.Name) || !h.healthy(now) {
		return false
	}
	dead := h.reported && !h.report.Alive && now.Sub(h.report.At) < reportLife
	return !dead
}

// remember notes the shared parts that the engine will hold.
func (h *host) remember(now time.Time, a *Ask) {
	if len(h.parts) > maxParts {
		for id, at := range h.parts {
			if now.Sub(at) > partLife {
				delete(h.parts, id)
			}
		}
	}
	if len(h.parts) > maxParts {
		clear(h.parts)
	}
	for _, part := range a.shared() {
		h.parts[part.ID] = now
	}
}

// known counts the prompt tokens that the engine is taken to hold.
func (h *host) known(now time.Time, a *Ask) int {
	tokens := 0
	for _, part := range a.shared() {
		if at, found := h.parts[part.ID]; !found || now.Sub(at) > partLife {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// shared returns the parts that other requests may have; the last is the
// request's own.
func (a *Ask) shared() []server.Part {
	if len(a.Prompt.Parts) < 2 {
		return nil
	}
	return a.Prompt.Parts[:len(a.Prompt.Parts)-1]
}

// Output is the expected length of the answer, in tokens.
func (a *Ask) Output() int {
	if a.Prompt.Guess > 0 {
		return min(a.Prompt.Guess, a.Prompt.Output)
	}
	return a.Prompt.Output
}

// long tells whether the answer has so many events that pauses between them
// matter.
func (p *Placer) long(a *Ask) bool {
	stride := 1
	if list := p.pools[a.Pool]; len(list) > 0 {
		stride = max(1, list[0].spec.Stride)
	}
	return a.Output() > longAnswer*stride
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
	homes := homesOf(p.near(decode), a)
	target := p.roomiest(decode, answers, a)
	if !p.long(a) {
		target = p.quickest(append(homes, target))
	}
	for _, h := range p.sample(prefill, a) {
		best.better(p.split(now, a, h, homes[0], target))
	}
	if best.Expected < 0 {
		best.better(p.direct(now, a, homes[0], homes[0]))
	}
	if p.long(a) {
		return best, nil
	}
	crowded := best.Expected > crowdedTime
	for _, h := range p.helpers(decode, answers, homes, crowded) {
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

// sample draws the prefill engines that are compared: some of the nearest, some
// others. The draw differs between requests: what is known of the engines is a
// heartbeat old, and all instances would send to the one that was free then.
func (p *Placer) sample(prefill []*host, a *Ask) []*host {
	if len(prefill) <= sampleNear+sampleFar {
		return prefill
	}
	list := slices.Clone(prefill)
	draws := make(map[*host]uint64, len(list))
	for _, h := range list {
		draws[h] = xxhash.Sum64String(a.ID + "/" + h.engine.Name)
	}
	slices.SortFunc(list, func(x, y *host) int {
		return cmp.Or(cmp.Compare(p.away(x), p.away(y)), cmp.Compare(draws[x], draws[y]))
	})
	near := 0
	for near < len(list) && p.away(list[near]) == 0 {
		near++
	}
	chosen := slices.Clone(list[:min(near, sampleNear)])
	return append(chosen, list[near:min(len(list), near+sampleFar)]...)
}

// reserve returns the decode engines that take long answers. The others may
// prefill long prompts themselves: both on one engine would pause the answers.
// The order is the same at each instance, and goes round the data centres.
func (p *Placer) reserve(decode []*host) []*host {
	turn := make(map[string]int)
	turns := make(map[*host]int, len(decode))
	for _, h := range decode {
		turns[h] = turn[h.engine.Centre]
		turn[h.engine.Centre]++
	}
	order := slices.Clone(decode)
	slices.SortStableFunc(order, func(a, b *host) int { return cmp.Compare(turns[a], turns[b]) })
	long, room := 0, 0.0
	for _, h := range order {
		long += h.own.Long + h.others.Long
	}
	n := 0
	for n < len(order) && (n < min(len(turn), (len(order)+1)/2) || room < float64(long)*reserveShare) {
		room += min(float64(max(1, order[n].spec.Slots))*fillFirst, manyAnswers)
		n++
	}
	return order[:n]
}

// helpers returns the decode engines that may compute a long prompt themselves:
// the homes of its parts and the one with the least to do, as far as they
// aren't reserved for long answers. While all is crowded, a few answers that
// are left from before don't keep an engine from helping.
func (p *Placer) helpers(decode, answers, homes []*host, crowded bool) []*host {
	var list []*host
	var free *host
	for _, h := range decode {
		bear := 0
		if crowded {
			bear = min(fewAnswers, h.spec.Slots/fewShare)
		}
		if h.own.Long+h.others.Long > bear || slices.Contains(answers, h) {
			continue
		}
		if slices.Contains(homes, h) {
			list = append(list, h)
		}
		if free == nil || h.queue()+p.away(h) < free.queue()+p.away(free) {
			free = h
		}
	}
	if free != nil && !slices.Contains(list, free) {
		list = append(list, free)
	}
	return list
}

// roomiest chooses the engine that decodes a long answer, or one with a short
// prompt: of those reserved for answers, the nearest with room.
func (p *Placer) roomiest(decode, answers []*host, a *Ask) *host {
	var best *host
	var least time.Duration
	for _, h := range decode {
		fill := h.fill()
		cost := p.away(h) + time.Duration(fill*float64(fillCost))
		if p.long(a) {
			cost = p.away(h) + time.Duration(h.streams())*stretchCost
		}
		if !slices.Contains(answers, h) {
			cost += outsideCost
		}
		if fill >= fullShare {
			cost += time.Duration(fill * float64(fullCost))
		}
		if best == nil || cost < least {
			best, least = h, cost
		}
	}
	return best
}

// quickest chooses among engines that may decode a short answer; the first are
// preferred.
func (p *Placer) quickest(list []*host) *host {
	var best *host
	var least time.Duration
	for i, h := range list {
		cost := h.wait() + time.Duration(i)*strayCost
		if best == nil || cost < least {
			best, least = h, cost
		}
	}
	return best
}

// wait is the time until an engine goes on with a prompt that was prefilled
// elsewhere.
func (h *host) wait() time.Duration {
	fill := h.fill()
	d := h.queue() + time.Duration(fill*float64(fillCost))
	if fill >= fullShare {
		d += time.Duration(fill * float64(fullCost))
	}
	return d
}

// near returns the engines of the own data centre if there are some to choose
// from, else all.
func (p *Placer) near(list []*host) []*host {
	var own []*host
	for _, h := range list {
		if p.away(h) == 0 {
			own = append(own, h)
		}
	}
	if len(own) < leastNear {
		return list
	}
	return own
}

// leastNear is the number of decode engines from which a data centre keeps
// shared parts of its own.
const leastNear = 4

// homesOf returns up to two decode engines that should hold the shared parts
// of a prompt: the same at each instance.
func homesOf(decode []*host, a *Ask) []*host {
	key := a.ID
	if parts := a.shared(); len(parts) > 0 {
		key = parts[len(parts)-1].ID
	}
	var first, second *host
	var high, next uint64
	for _, h := range decode {
		n := xxhash.Sum64String(key + "/" + h.engine.Name)
		switch {
		case first == nil || n > high:
			second, next = first, high
			first, high = h, n
		case second == nil || n > next:
			second, next = h, n
		}
	}
	if second == nil {
		return []*host{first}
	}
	return []*host{first, second}
}

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
	plan := Plan{Prefill: h.engine, Decode: target.engine, Wait: h.queue()}
	work, fetch := h.missing(now, a, home)
	plan.Work = work
	plan.Expected = p.away(h) + handCost + plan.Wait + h.prefillTime(work) + target.wait()
	if fetch {
		plan.Fetch = home.engine.URL
		plan.Expected += fetchCost
	}
	return plan
}

// direct is the plan in which h prefills and decodes.
func (p *Placer) direct(now time.Time, a *Ask, h, home *host) Plan {
	plan := Plan{Decode: h.engine, Wait: h.queue()}
	work, fetch := h.missing(now, a, home)
	plan.Work = work
	plan.Expected = p.away(h) + plan.Wait + h.prefillTime(work)
	if fetch {
		plan.Fetch = home.engine.URL
		plan.Expected += fetchCost
	}
	if fill := h.fill(); fill >= fullShare {
		plan.Expected += time.Duration(fill * float64(fullCost))
	}
	return plan
}
