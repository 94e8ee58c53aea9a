// Package guide shares one instance's knowledge of its backend servers
// between its goroutines: the version in force, the router, and the requests
// in flight.
package guide

import (
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/request/route"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
)

// ErrNone tells that no server of a plain service can take a call.
var ErrNone = errors.New("no server can take the call")

// ErrStale tells that this instance can't know which backend servers are
// leaving, and must not give them work.
var ErrStale = errors.New("cut off from all other instances")

// dead is how long a plain server that failed is avoided.
const dead = time.Second

// patience is how long streams may go on at an engine that is leaving before
// they are moved: most answers end by themselves sooner.
const patience = 2 * time.Second

// mover moves one stream to another engine.
type mover struct {
	ask  route.Ask
	move func()
}

// Guide is safe for concurrent use. One lock covers the choice of a backend
// server and the count of what is in flight there: once a version has been
// put in force, no request goes where that version forbids it.
type Guide struct {
	name   string
	centre string

	mutex    sync.Mutex
	guard    func() bool
	snapshot *view.Snapshot
	router   *route.Router
	pending  map[uint64]int // requests by the version they began under
	busy     map[string]int // requests by backend server
	failed   map[string]time.Time
	moves    map[string]map[string]mover // by engine and attempt
	leaving  map[string]time.Time        // when an engine was first seen not to serve
	listed   map[string]bool             // leaving by the platform's list
	demand   map[string]*proto.Demand
}

// New returns a guide at version 0.
func New(name, centre string, policy route.Policy) *Guide {
	return &Guide{
		name:     name,
		centre:   centre,
		guard:    func() bool { return true },
		snapshot: view.New().Current(),
		router:   route.New(name, centre, policy),
		pending:  make(map[uint64]int),
		busy:     make(map[string]int),
		failed:   make(map[string]time.Time),
		moves:    make(map[string]map[string]mover),
		leaving:  make(map[string]time.Time),
		demand:   make(map[string]*proto.Demand),
	}
}

// Guard sets what must hold whenever work is given to a backend server: also
// when this instance was paused after it took a request.
func (g *Guide) Guard(f func() bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.guard = f
}

// Enforce puts a newer version in force.
func (g *Guide) Enforce(s *view.Snapshot) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if s.Version() < g.snapshot.Version() {
		panic("guide: version in force would go back")
	}
	g.snapshot = s
	g.router.Update(g.engines())
	g.router.Peers(len(g.snapshot.Entries()))
}

// Listed takes the backend servers that the platform's list calls leaving.
func (g *Guide) Listed(leaving map[string]bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if maps.Equal(g.listed, leaving) {
		return
	}
	g.listed = leaving
	g.router.Update(g.engines())
	g.router.Peers(len(g.snapshot.Entries()))
}

// engines returns the engines as they are to be used.
func (g *Guide) engines() []state.Engine {
	list := g.snapshot.Engines()
	for i := range list {
		if g.listed[list[i].Name] && list[i].Phase == state.PhaseServing {
			list[i].Phase = state.PhaseLeaving
		}
	}
	return list
}

// Sweep moves the streams that still run at engines which have been leaving
// for a while, where another engine can take them.
func (g *Guide) Sweep(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for name := range g.leaving {
		if len(g.moves[name]) == 0 || g.serving(name) {
			delete(g.leaving, name)
		}
	}
	for name, moves := range g.moves {
		if g.serving(name) {
			continue
		}
		since, ok := g.leaving[name]
		if !ok {
			g.leaving[name] = now
			continue
		}
		if now.Sub(since) >= patience {
			g.move(now, moves)
		}
	}
}

func (g *Guide) move(now time.Time, moves map[string]mover) {
	for _, m := range moves {
		if _, _, err := g.router.Pick(now, &m.ask); err == nil {
			m.move()
		}
	}
}

// Begin counts a request under the version in force and returns that version
// and its end.
func (g *Guide) Begin() (*view.Snapshot, func()) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := g.snapshot
	g.pending[s.Version()]++
	return s, func() { g.end(s.Version()) }
}

func (g *Guide) end(version uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.pending[version]--
	if g.pending[version] == 0 {
		delete(g.pending, version)
	}
}

// Snapshot returns the version in force.
func (g *Guide) Snapshot() *view.Snapshot {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.snapshot
}

// Versions returns the version in force and the newest of which no older
// request still runs.
func (g *Guide) Versions() (current, settled uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	settled = g.snapshot.Version()
	for version := range g.pending {
		settled = min(settled, version)
	}
	return g.snapshot.Version(), settled
}

// InFlight returns the requests at backend servers that aren't serving.
func (g *Guide) InFlight() map[string]uint32 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	list := make(map[string]uint32)
	for name, n := range g.busy {
		if g.serving(name) {
			continue
		}
		list[name] = uint32(n)
	}
	return list
}

func (g *Guide) serving(name string) bool {
	if g.listed[name] {
		return false
	}
	if e, ok := g.snapshot.Engine(name); ok {
		return e.Phase == state.PhaseServing
	}
	if s, ok := g.snapshot.Server(name); ok {
		return s.Phase == state.PhaseServing
	}
	return false
}

// Lease is the right to use the engines of a plan for one attempt.
type Lease struct {
	Plan     route.Plan
	Decision route.Decision
	Streams  int // on all engines of the model
	Room     int
	Step     time.Duration
	guide    *Guide
	attempt  string
}

// Weigh chooses engines without using them.
func (g *Guide) Weigh(now time.Time, a *route.Ask) (*Lease, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.guard() {
		return &Lease{guide: g}, ErrStale
	}
	return g.pick(now, a)
}

func (g *Guide) pick(now time.Time, a *route.Ask) (*Lease, error) {
	p, d, err := g.router.Pick(now, a)
	l := &Lease{Plan: p, Decision: d, guide: g, attempt: a.Request}
	if err != nil {
		return l, err //nolint:wrapcheck // told apart by the caller
	}
	l.Streams, l.Room = g.router.Busy(a.Model)
	if report, ok := g.router.Load(p.Decode.Name); ok {
		l.Step = report.Step
	}
	return l, nil
}

// Use takes the engines of a plan for an attempt. It fails if one of them has
// stopped serving since the choice. The function move is called when the
// decode engine is to leave.
func (g *Guide) Use(now time.Time, attempt string, a *route.Ask, l *Lease, move func()) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := &l.Plan
	if !g.guard() || !g.serving(p.Decode.Name) || (p.Split() && !g.serving(p.Prefill.Name)) {
		return false
	}
	l.attempt = attempt
	g.router.Sent(now, attempt, a, p)
	g.busy[p.Decode.Name]++
	if p.Split() {
		g.busy[p.Prefill.Name]++
	}
	if g.moves[p.Decode.Name] == nil {
		g.moves[p.Decode.Name] = make(map[string]mover)
	}
	g.moves[p.Decode.Name][attempt] = mover{ask: *a, move: move}
	return true
}

// Prefilled tells that the prefill engine has done its part and that its KV
// cache was taken over.
func (l *Lease) Prefilled() {
	l.guide.mutex.Lock()
	defer l.guide.mutex.Unlock()
	l.prefilled()
}

func (l *Lease) prefilled() {
	if name := l.Plan.Prefill.Name; name != "" {
		l.guide.router.Done(l.attempt, name)
		l.guide.less(name)
		l.Plan.Prefill = state.Engine{}
	}
}

// Return gives the engines back.
func (l *Lease) Return() {
	g := l.guide
	g.mutex.Lock()
	defer g.mutex.Unlock()
	l.prefilled()
	name := l.Plan.Decode.Name
	g.router.Done(l.attempt, name)
	g.less(name)
	delete(g.moves[name], l.attempt)
	if len(g.moves[name]) == 0 {
		delete(g.moves, name)
	}
}

func (g *Guide) less(name string) {
	g.busy[name]--
	if g.busy[name] == 0 {
		delete(g.busy, name)
	}
	if g.busy[name] < 0 {
		panic("guide: fewer than no requests at " + name)
	}
}

// Server takes a server of a plain service for one call: of two drawn, in the
// own data centre if there are any, the one with fewer calls. The returned
// function gives it back.
func (g *Guide) Server(now time.Time, service string, avoid []string) (state.Server, func(), error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.guard() {
		return state.Server{}, nil, ErrStale
	}
	var near, far []state.Server
	for _, s := range g.snapshot.Servers(service) {
		if !g.serving(s.Name) || contains(avoid, s.Name) || now.Before(g.failed[s.Name]) {
			continue
		}
		if s.Centre == g.centre {
			near = append(near, s)
		} else {
			far = append(far, s)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return state.Server{}, nil, ErrNone
	}
	best := near[rand.IntN(len(near))]
	if other := near[rand.IntN(len(near))]; g.busy[other.Name] < g.busy[best.Name] {
		best = other
	}
	g.busy[best.Name]++
	return best, func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.less(best.Name)
	}, nil
}

// Failed avoids a plain server for a while.
func (g *Guide) Failed(now time.Time, name string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.failed[name] = now.Add(dead)
}

func contains(list []string, name string) bool {
	for _, v := range list {
		if v == name {
			return true
		}
	}
	return false
}

// Report takes a load report of an engine.
func (g *Guide) Report(name string, l engine.Load) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.Report(name, l)
}

// Probe takes the result of an own probe of an engine.
func (g *Guide) Probe(now time.Time, name string, alive bool) (changed bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	changed = g.router.Alive(name) != alive
	g.router.Probe(now, name, alive)
	return changed
}

// Cache takes cache events of an engine and returns where to go on.
func (g *Guide) Cache(name string, page engine.CacheEvents) uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.router.Cache(name, page)
}

// Used lists the engines whose reports are needed.
func (g *Guide) Used() []state.Engine {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.router.Used()
}

// Demand adds to what a service was asked for. What is refused counts too: the
// planner must see what is wanted, not what there is room for.
func (g *Guide) Demand(service string, prefill, decode int, refused bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	d := g.demand[service]
	if d == nil {
		d = &proto.Demand{Service: service}
		g.demand[service] = d
	}
	if refused {
		d.Refused++
	}
	d.Requests++
	d.Prefill += float64(prefill)
	d.Decode += float64(decode)
}

// reporters is the number of instances that report one engine.
const reporters = 3

// reports tells whether this instance is among those that report an engine,
// by rendezvous hashing: what the leader hears of an engine doesn't grow with
// the number of instances.
func (g *Guide) reports(engine string) bool {
	own := xxhash.Sum64String(engine + "/" + g.name)
	before := 0
	for _, m := range g.snapshot.Entries() {
		if m.Name != g.name && xxhash.Sum64String(engine+"/"+m.Name) < own {
			before++
		}
	}
	return before < reporters
}

// Digest returns demand and reports for a heartbeat after the given interval.
func (g *Guide) Digest(passed time.Duration) ([]proto.Demand, []proto.Report) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	demand := make([]proto.Demand, 0, len(g.demand))
	for _, d := range g.demand {
		s := passed.Seconds()
		demand = append(demand, proto.Demand{
			Service: d.Service, Requests: d.Requests / s, Prefill: d.Prefill / s, Decode: d.Decode / s, Refused: d.Refused / s,
		})
	}
	clear(g.demand)
	used := g.router.Used()
	reports := make([]proto.Report, 0, len(used))
	for _, e := range used {
		if !g.reports(e.Name) {
			continue
		}
		l, _ := g.router.Load(e.Name)
		r := proto.Report{
			Engine: e.Name, At: l.At, Role: l.Role, Running: l.Running, Waiting: l.Waiting, Queue: l.Queue, Step: l.Step,
			Alive: g.router.Alive(e.Name), Prefill: l.Prefill, Batch: l.Batch,
		}
		if l.Total > 0 {
			r.Used = float64(l.Used) / float64(l.Total)
		}
		reports = append(reports, r)
	}
	return demand, reports
}
