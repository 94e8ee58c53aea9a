// Package guide shares one instance's knowledge of its backend servers
// between its goroutines: the version in force, the router, and the requests
// in flight.
package guide

import (
	"errors"
	"maps"
	"sync"
	"time"

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
