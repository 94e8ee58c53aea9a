// Package flow simulates generations on a fleet of engines in virtual time. It
// drives the scheduler of the entry instances and the leader's table of
// heartbeats as they are, with a simple model of engines, callers and the delays
// between them, so that a decision can be tried at any size within seconds.
package flow

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/request/place"
	"verbenahaven.example/core/request/sched"
	"verbenahaven.example/core/request/speed"
	"verbenahaven.example/core/version/roster"
	"verbenahaven.example/core/version/state"
)

const (
	poolName = "model"
	// beatSpacing is the time between two heartbeats that the leader serves, and
	// minBeatInterval that between two of one scheduler.
	beatSpacing     = 700 * time.Microsecond
	minBeatInterval = 20 * time.Millisecond
	reportInterval  = 200 * time.Millisecond
	memberLease     = 1500 * time.Millisecond
	// decodeSlowdown is the time of a prefill on a decode engine relative to one
	// on a prefill engine.
	decodeSlowdown = 2
	// returnShare is the share of a caller's remaining time after which it
	// returns at the latest.
	returnShare = 3
)

// Fleet describes the engines and instances.
type Fleet struct {
	Centres      int
	Instances    int // in all data centres
	Engines      int // in all data centres
	PrefillShare float64
	Spec         state.EngineSpec
	Rate         float64       // prompt tokens per second of a prefill engine
	Delay        time.Duration // of a prefill, besides its tokens
	Start        time.Duration // of an answer, until its first event
	Step         time.Duration // for an output token
	Near, Far    time.Duration // one way within a data centre, and between two
	Brokers      bool          // one instance schedules for its data centre
	Uneven       bool          // one engine in four takes 0.55 of the time, the others 1.2
	FastDecode   bool          // the same, and the fast engines are in the decode role
	Slowdowns    bool          // engines take 2.5 times as long for 15% of the time
}

// PrefillEngines returns the number of engines in the prefill role.
func (f *Fleet) PrefillEngines() int { return int(math.Round(f.PrefillShare * float64(f.Engines))) }

// Capacity returns the requests of a load per second that the engines can serve
// if no shared part is cached: prompts at the prefill engines, answers at the
// others.
func (f *Fleet) Capacity(l *Load) float64 {
	prompts := float64(f.PrefillEngines()) * f.Rate / float64(l.Shared+l.Own)
	answer := f.Start + time.Duration(l.MaxOutput)*f.Step
	return min(prompts, float64((f.Engines-f.PrefillEngines())*f.Spec.BatchSize)/answer.Seconds())
}

// Load describes the requests: long prompts with short answers, and beside them
// questions with long answers.
type Load struct {
	Rate      float64 // requests per second, in the mean
	Swing     float64 // relative change of the rate, up and down in turn
	Period    time.Duration
	Shared    int // tokens of the shared part
	Parts     int // number of different shared parts
	Own       int // tokens of the request's own part, in the mean
	MaxOutput int
	Target    time.Duration
	TimeLeft  time.Duration
	Length    time.Duration
	Questions Questions
}

// Result counts what callers got.
type Result struct {
	Asked, OnTime, Late, Refused, Returned int
	Computed, Cached                       int // prompt tokens
	Crossed                                int // sends to another data centre
	Wait                                   time.Duration
	Questions, Answered                    int // questions, and those whose first event and all others were on time
	Paused                                 int // long answers with a pause above the limit
}

// AnsweredShare returns the share of questions whose events were all on time.
func (r *Result) AnsweredShare() float64 {
	return float64(r.Answered) / math.Max(1, float64(r.Questions))
}

// OnTimeShare returns the share of requests whose first event came in time.
func (r *Result) OnTimeShare() float64 { return float64(r.OnTime) / math.Max(1, float64(r.Asked)) }

// event is something that happens at a virtual time.
type event struct {
	at    time.Duration
	order int // breaks ties, so that runs repeat
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) } //nolint:forcetypeassert // only events are pushed
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// run is the state of one simulation.
type run struct {
	fleet   Fleet
	load    Load
	random  *rand.Rand
	now     time.Duration
	events  eventQueue
	order   int
	engines map[string]*engine
	nodes   []*node
	byPlace [][]*node // by data centre
	leader  *roster.Roster
	groups  map[string]string // of equally fast engines
	result  Result
}

// node is a scheduler: an instance, or the broker of a data centre.
type node struct {
	name      string
	centre    string
	scheduler *sched.Scheduler
	gaps      *speed.Gaps
	revision  uint64
}

func centreName(i int) string { return fmt.Sprint("centre", i) }

// Simulate runs a load on a fleet. Equal arguments give equal results.
func Simulate(f Fleet, l Load, seed uint64) Result {
	r := &run{
		fleet: f, load: l, random: rand.New(rand.NewPCG(seed, seed)), engines: make(map[string]*engine), //nolint:gosec // reproducible on purpose
		leader: roster.New(0, roster.Settings{Lease: memberLease, Term: 1}), byPlace: make([][]*node, f.Centres),
	}
	routing := &state.RoutingTable{
		Pools:  []state.Pool{{Name: poolName, Spec: &f.Spec}},
		Routes: []state.Route{{GapTarget: l.Questions.Gap, Weights: []state.PoolWeight{{Pool: poolName, Weight: 1}}}},
	}
	engines := r.makeEngines()
	schedulers := f.Instances
	if f.Brokers {
		schedulers = f.Centres
	}
	for i := range schedulers {
		n := &node{name: fmt.Sprint("entry", i), centre: centreName(i % f.Centres), scheduler: sched.New(centreName(i % f.Centres)), gaps: speed.NewGaps()}
		n.scheduler.Update(engines, routing)
		n.scheduler.SetBroker(f.Brokers)
		r.nodes = append(r.nodes, n)
		r.byPlace[i%f.Centres] = append(r.byPlace[i%f.Centres], n)
		interval := max(minBeatInterval, time.Duration(schedulers)*beatSpacing)
		r.at(time.Duration(r.random.Int64N(int64(interval))), func() { r.beat(n, interval) })
	}
	r.at(0, r.readReports)
	r.at(0, r.arrive)
	if l.Questions.Rate > 0 {
		r.at(0, r.ask)
	}
	for len(r.events) > 0 {
		e, _ := heap.Pop(&r.events).(event)
		if e.at > l.Length+max(l.TimeLeft, l.Questions.TimeLeft) {
			break
		}
		r.now = e.at
		e.run()
	}
	return r.result
}

func (r *run) makeEngines() []state.Engine {
	list := make([]state.Engine, 0, r.fleet.Engines)
	for i := range r.fleet.Engines {
		e := state.Engine{
			Name: fmt.Sprintf("engine%03d", i), URL: fmt.Sprintf("http://10.0.%d.%d:1", i/250, i%250), Centre: centreName(i % r.fleet.Centres),
			Pool: poolName, Role: state.RoleDecode, Phase: state.PhaseServing,
		}
		if i < r.fleet.PrefillEngines() {
			e.Role = state.RolePrefill
		}
		list = append(list, e)
		r.engines[e.URL] = &engine{
			run: r, name: e.Name, centre: e.Centre, role: e.Role, cache: newCache(r.fleet.Spec.KVTokens), machine: r.makeMachine(i),
		}
	}
	r.groups = make(map[string]string, len(list))
	for _, e := range list {
		r.groups[e.Name] = string(e.Role)
	}
	r.leader.SetEngines(r.groups)
	return list
}

func (r *run) at(t time.Duration, f func()) {
	r.order++
	heap.Push(&r.events, event{t, r.order, f})
}

func (r *run) after(d time.Duration, f func()) { r.at(r.now+d, f) }

func (r *run) clock() time.Time { return time.Unix(1000, 0).Add(r.now) }

// beat sends the heartbeat of a scheduler.
func (r *run) beat(n *node, interval time.Duration) {
	r.leader.RecordHeartbeat(r.now, proto.HeartbeatRequest{
		Member: state.Member{Name: n.name}, OwnWork: n.scheduler.OutstandingWork(r.clock()), Speeds: n.scheduler.TakeSpeeds(),
	})
	others := r.leader.LoadsExcept(r.now, n.name)
	var reports []proto.Report
	reports, n.revision = r.leader.ReportsSince(n.revision)
	r.after(2*r.fleet.Far, func() { n.scheduler.ApplyReports(r.clock(), reports, others) })
	if r.now < r.load.Length {
		r.after(interval, func() { r.beat(n, interval) })
	}
}

// readReports makes the leader read the engines' reports.
func (r *run) readReports() {
	r.leader.SetEngines(r.groups)
	for _, e := range r.engines {
		s := r.leader.Speed(e.name)
		r.leader.RecordReport(proto.Report{
			Engine: e.name, At: r.clock(), Alive: true, Role: e.role, Running: e.answers,
			PrefillRate: s.PrefillRate, PrefillDelay: s.PrefillDelay, StartTime: s.StartTime, EventGap: s.EventGap, SlowGap: s.SlowGap,
		})
	}
	if r.now < r.load.Length {
		r.after(reportInterval, r.readReports)
	}
}

// arrive makes a request and schedules the next arrival.
func (r *run) arrive() {
	if r.now >= r.load.Length {
		return
	}
	rate := r.load.Rate
	if r.load.Period > 0 && r.now/r.load.Period%2 == 0 {
		rate *= 1 + r.load.Swing
	} else {
		rate *= 1 - r.load.Swing
	}
	r.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), r.arrive)
	r.result.Asked++
	own := 1 + int(r.random.ExpFloat64()*float64(r.load.Own))
	id := fmt.Sprint(r.result.Asked)
	parts := []server.Part{{ID: fmt.Sprint("p", r.random.IntN(max(1, r.load.Parts))), Tokens: r.load.Shared}, {ID: "own" + id, Tokens: own}}
	c := &call{
		run: r, arrived: r.now, centre: r.random.IntN(r.fleet.Centres), target: r.load.Target, left: r.load.TimeLeft,
		prompt: &server.Prompt{Tokens: r.load.Shared + own, MaxOutput: r.load.MaxOutput, Parts: parts}, id: id,
	}
	c.try(true)
}

// call is one request of a caller.
type call struct {
	run     *run
	id      string
	centre  int
	arrived time.Duration
	target  time.Duration
	left    time.Duration
	gap     time.Duration // longest pause of a question's answer, 0 for other calls
	prompt  *server.Prompt
	node    *node
	tried   time.Duration // time of the current try
	request *sched.Request
	plan    place.Plan
	late    bool // the first event of a question
}

// isQuestion reports whether the call is a question, which the counts of prompts leave out.
func (c *call) isQuestion() bool { return c.gap > 0 }

// try schedules the call. A caller that is refused returns once.
func (c *call) try(first bool) {
	r := c.run
	c.tried = r.now
	nodes := r.byPlace[c.centre]
	c.node = nodes[r.random.IntN(len(nodes))]
	c.request = &sched.Request{TimeLeft: c.arrived + c.left - r.now, Admit: true}
	c.request.ID, c.request.Pool, c.request.Prompt, c.request.Target = c.id, poolName, c.prompt, c.target
	c.request.GapTarget = c.gap
	if !first {
		c.request.ID += "again"
	}
	d, err := c.node.scheduler.Decide(r.clock(), c.request)
	switch {
	case err != nil || d.Refused && !first:
		if !c.isQuestion() {
			r.result.Refused++
		}
		return
	case d.Refused:
		if !c.isQuestion() {
			r.result.Returned++
		}
		r.after(min(d.RetryAfter, c.request.TimeLeft/returnShare), func() { c.try(false) })
		return
	}
	c.plan = d.Plan
	c.request.Deferred = d.Deferred
	if !d.Plan.Split() {
		c.prefill(r.engines[d.Plan.Decode.URL], decodeSlowdown, func(took time.Duration) { c.answer(took) })
		return
	}
	c.prefill(r.engines[d.Plan.Prefill.URL], 1, func(took time.Duration) {
		c.tell(&proto.PlaceEvent{Kind: proto.PlacePrefilled, Took: took})
		c.answer(0)
	})
}

func (c *call) tell(e *proto.PlaceEvent) {
	e.ID = c.request.ID
	c.node.scheduler.Apply(c.run.clock(), e)
}

// prefill computes the prompt at an engine.
func (c *call) prefill(e *engine, slowdown float64, done func(took time.Duration)) {
	r := c.run
	way := c.distance(e)
	began := r.now
	r.after(way, func() {
		e.enqueue(&prefillJob{
			deferred: c.request.Deferred,
			compute: func() time.Duration {
				tokens := e.read(c.prompt, r.engines[c.plan.FetchURL])
				took := e.stretch(time.Duration(float64(tokens) * slowdown / r.fleet.Rate * float64(time.Second)))
				e.addPause(tokens, took)
				return took
			},
			done: func() { r.after(e.scale(r.fleet.Delay)+way, func() { done(r.now - began) }) },
		})
	})
}

// answer runs the answer at the decode engine. Prefilled is the time of a
// prefill at the same engine, 0 without one.
func (c *call) answer(prefilled time.Duration) {
	r, e := c.run, c.run.engines[c.plan.Decode.URL]
	way := time.Duration(0)
	if c.plan.Split() {
		way = c.distance(e)
		e.cache.keep(c.prompt)
	}
	began := r.now
	r.after(way, func() {
		e.takeSlot(c.request.Deferred, func() {
			start := e.scale(r.fleet.Start)
			r.after(start+way, func() { c.firstEvent(prefilled + r.now - began) })
			if c.isQuestion() {
				r.after(start, func() { c.nextEvent(e, &longAnswer{began: r.now, last: r.now}) })
				return
			}
			took := e.stretch(time.Duration(c.prompt.MaxOutput) * r.fleet.Step)
			r.after(start+took, func() {
				e.freeSlot()
				c.tell(&proto.PlaceEvent{Kind: proto.PlaceEnded, Took: max(took, 1), Tokens: c.prompt.MaxOutput})
			})
		})
	})
}

func (c *call) firstEvent(took time.Duration) {
	r := c.run
	since := r.now - c.arrived
	c.tell(&proto.PlaceEvent{Kind: proto.PlaceStarted, Took: took, Since: r.now - c.tried})
	switch {
	case c.isQuestion():
		c.late = since > c.target
		return
	case since <= r.load.Target:
		r.result.OnTime++
	case since <= r.load.TimeLeft:
		r.result.Late++
	default:
		r.result.Refused++
	}
	r.result.Wait += since
}

// distance returns the one-way delay to an engine, and counts sends to another
// data centre.
func (c *call) distance(e *engine) time.Duration {
	if e.centre == centreName(c.centre) {
		return c.run.fleet.Near
	}
	c.run.result.Crossed++
	return c.run.fleet.Far
}
