package relay

import (
	"sync"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/request/admit"
	"verbenahaven.example/core/request/place"
	"verbenahaven.example/core/request/retry"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
)

// fewest is the number of instances that the retry budget is shared by while
// the others aren't known: more than most fleets have, so that nothing is
// overspent.
const fewest = 64

// Fleet shares one instance's knowledge of the backend servers between its
// goroutines: the version in force, the placement, the retry budget, and what
// is in flight.
type Fleet struct {
	name  string
	learn func(keepers []string)

	mutex    sync.Mutex
	snapshot *view.Snapshot
	placer   *place.Placer
	servers  *place.Servers
	budget   *retry.Shared
	pending  map[uint64]int    // requests by the version they began under
	busy     map[string]uint32 // requests by backend server
	demand   map[string]*proto.Demand
	gaps     map[string]*admit.Gap // by pool
	paces    map[string]float64    // seconds for an output token, by pool
	turn     uint64
	heard    time.Time // when the leader was heard last
	seen     uint64    // newest revision of the reports that is known
	renew    bool      // reports of engines that weren't known were dropped
}

// NewFleet returns a fleet at version 0 for an instance in a data centre. Learn
// is told the link addresses of the instances that keep the state.
func NewFleet(name, centre string, b *retry.Shared, learn func(keepers []string)) *Fleet {
	return &Fleet{
		name:     name,
		learn:    learn,
		snapshot: view.New().Current(),
		placer:   place.New(centre),
		servers:  place.NewServers(centre),
		budget:   b,
		pending:  make(map[uint64]int),
		busy:     make(map[string]uint32),
		demand:   make(map[string]*proto.Demand),
		gaps:     make(map[string]*admit.Gap),
		paces:    make(map[string]float64),
	}
}

// Enforce puts a newer version in force.
func (f *Fleet) Enforce(s *view.Snapshot) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if s.Version() < f.snapshot.Version() {
		panic("relay: version in force would go back")
	}
	f.snapshot = s
	f.renew = true
	f.placer.Update(s.Engines(), s.Routing())
	f.servers.Update(s.AllServers())
}

// Guard does nothing: an instance that is cut off goes on with what it knows.
func (f *Fleet) Guard(func() bool) {}

// Sweep does nothing: streams stay at engines that leave, which finish them.
func (f *Fleet) Sweep(time.Time) {}

// Begin counts a request under the version in force and returns that version
// and the request's end.
func (f *Fleet) Begin() (*view.Snapshot, func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	s := f.snapshot
	f.pending[s.Version()]++
	return s, func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if f.pending[s.Version()]--; f.pending[s.Version()] == 0 {
			delete(f.pending, s.Version())
		}
	}
}

// Snapshot returns the version in force.
func (f *Fleet) Snapshot() *view.Snapshot {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.snapshot
}

// Known tells whether a routing table and some backend servers are known.
func (f *Fleet) Known() bool {
	s := f.Snapshot()
	return s.Routing() != nil && (len(s.Engines()) > 0 || len(s.AllServers()) > 0)
}

// Versions returns the version in force and the newest of which no older
// request still runs.
func (f *Fleet) Versions() (current, settled uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	settled = f.snapshot.Version()
	for version := range f.pending {
		settled = min(settled, version)
	}
	return f.snapshot.Version(), settled
}

// InFlight counts own requests at engines that aren't serving.
func (f *Fleet) InFlight() map[string]uint32 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	list := make(map[string]uint32)
	for name, n := range f.busy {
		if e, ok := f.snapshot.Engine(name); ok && e.Phase != state.PhaseServing {
			list[name] = n
		}
	}
	return list
}

// Digest returns what arrived in an interval. Load reports are read by the
// leader.
func (f *Fleet) Digest(passed time.Duration) ([]proto.Demand, []proto.Report) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	list := make([]proto.Demand, 0, len(f.demand))
	for _, d := range f.demand {
		s := passed.Seconds()
		list = append(list, proto.Demand{
			Service: d.Service, Requests: d.Requests / s, Prefill: d.Prefill / s, Decode: d.Decode / s, Refused: d.Refused / s,
		})
	}
	clear(f.demand)
	return list, nil
}

// Loads returns own work at the engines.
func (f *Fleet) Loads() []proto.Share {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.placer.Loads()
}

// Heard takes what the leader told.
func (f *Fleet) Heard(now time.Time, r proto.BeatReply) {
	f.learn(r.Keepers)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.heard = now
	if f.seen = r.Seen; f.renew {
		f.seen, f.renew = 0, false
	}
	f.placer.Hear(r.Reports, r.Loads)
}

// Seen returns the newest revision of the reports that is known here.
func (f *Fleet) Seen() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.seen
}

// age is the time since the leader told of the engines' loads.
func (f *Fleet) age(now time.Time) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now.Sub(f.heard)
}

// Tune changes the bounds of the retry budget.
func (f *Fleet) Tune(window time.Duration, ratio, slack float64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.budget.Tune(window, ratio, slack)
}

// request counts a caller's request for a pool.
func (f *Fleet) request(at time.Duration, pool string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.budget.Request(at, pool)
}

// spend takes a repeat from the budget.
func (f *Fleet) spend(at time.Duration, pool string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	n := len(f.snapshot.Entries())
	if n == 0 {
		n = fewest
	}
	return f.budget.Spend(at, pool, n)
}

// want adds to what a pool was asked for.
func (f *Fleet) want(pool string, prefill, decode int, refused bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	d := f.demand[pool]
	if d == nil {
		d = &proto.Demand{Service: pool}
		f.demand[pool] = d
	}
	if refused {
		d.Refused++
	}
	d.Requests++
	d.Prefill += float64(prefill)
	d.Decode += float64(decode)
}

// margin is what the expected time to a pool's first event falls short.
func (f *Fleet) margin(now time.Time, pool string, limit time.Duration) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if g := f.gaps[pool]; g != nil {
		return g.Margin(now, limit)
	}
	return 0
}

// learnFirst takes the time that a first event was expected to need, and needed.
func (f *Fleet) learnFirst(now time.Time, pool string, expected, actual time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	g := f.gaps[pool]
	if g == nil {
		g = &admit.Gap{}
		f.gaps[pool] = g
	}
	g.Learn(now, expected, actual)
}

const (
	// startPace is the time for an output token before any answer was seen.
	startPace = 0.001 // seconds
	// paceMargin is how much slower than the mean an answer may be.
	paceMargin = 1.3
	// paceWeight is the weight of a new answer.
	paceWeight = 0.05
)

// lasts is how long an answer may take after its first event. Callers' guesses
// of the length are often far off, so it counts with the most.
func (f *Fleet) lasts(pool string, a *place.Ask) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	pace, found := f.paces[pool]
	if !found {
		pace = startPace
	}
	return time.Duration(pace * paceMargin * float64(a.Prompt.Output) * float64(time.Second))
}

// lasted learns how long an answer took after its first event.
func (f *Fleet) lasted(pool string, a *place.Ask, d time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if a.Output() == 0 {
		return
	}
	pace, found := f.paces[pool]
	if !found {
		pace = startPace
	}
	f.paces[pool] = pace*(1-paceWeight) + d.Seconds()/float64(a.Output())*paceWeight
}

// pick chooses engines and records the work there.
func (f *Fleet) pick(now time.Time, a *place.Ask) (place.Plan, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.placer.Pick(now, a) //nolint:wrapcheck // it names the pool
}

func (f *Fleet) sent(now time.Time, a *place.Ask, p *place.Plan) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.placer.Sent(now, a, p)
	f.busy[p.Decode.Name]++
	if p.Split() {
		f.busy[p.Prefill.Name]++
	}
}

func (f *Fleet) done(a *place.Ask, p *place.Plan) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.placer.Done(a, p)
	f.free(p.Decode.Name)
	if p.Split() {
		f.free(p.Prefill.Name)
	}
}

func (f *Fleet) free(name string) {
	if f.busy[name]--; f.busy[name] == 0 {
		delete(f.busy, name)
	}
}

func (f *Fleet) prefilled(a *place.Ask, p *place.Plan, took time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.placer.Prefilled(a, p, took)
}

// pickServer chooses a plain server; free takes the request off it.
func (f *Fleet) pickServer(now time.Time, pool string, avoid []string) (s state.Server, free func(), err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.turn++
	s, err = f.servers.Pick(now, pool, avoid, f.turn)
	if err != nil {
		return s, nil, err //nolint:wrapcheck // it names the pool
	}
	return s, func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.servers.Done(s.Name)
	}, nil
}

// lost notes that a backend server couldn't be reached or broke off.
func (f *Fleet) lost(now time.Time, name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.placer.Lost(now, name)
	f.servers.Lost(now, name)
}

// answered notes a backend server's answer, good or not.
func (f *Fleet) answered(now time.Time, name string, good bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.placer.Answered(now, name, good)
	f.servers.Answered(now, name, good)
}
