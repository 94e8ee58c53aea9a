// Package picker selects backend servers for the requests of one entry
// instance. It combines the current state version, the router, and the counts
// of requests in flight, shared by all goroutines of the instance.
package picker

import (
	"errors"
	"maps"
	"sync"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/request/notice"
	"verbenahaven.example/core/request/route"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
)

// ErrNoServer means that no server of a plain service can take a call.
var ErrNoServer = errors.New("no server can take the call")

// ErrIsolated means that this instance is isolated: it can't know which backend
// servers are leaving, so it must not send them work.
var ErrIsolated = errors.New("cut off from all other instances")

// failedServerPause is how long a plain server that failed is avoided.
const failedServerPause = time.Second

// streamMoveDelay is how long streams may continue on a leaving engine before
// they are moved: most answers finish sooner.
const streamMoveDelay = 2 * time.Second

// activeStream is a stream that can be moved to another engine.
type activeStream struct {
	request route.Request
	move    func()
}

// Balancer selects backend servers. It is safe for concurrent use. One lock
// covers both the selection of a backend server and its in-flight count, so once
// a version is current no request goes to a server that this version excludes.
type Balancer struct {
	name   string
	centre string

	mutex             sync.Mutex
	mayDispatch       func() bool
	snapshot          *view.Snapshot
	router            *route.Router
	requestsByVersion map[uint64]int // running requests by the version at their start
	inFlight          map[string]int // by backend server
	avoidUntil        map[string]time.Time
	notices           *notice.Table
	streams           map[string]map[string]activeStream // by engine and attempt
	leavingSince      map[string]time.Time               // when an engine was first seen not serving
	listedLeaving     map[string]bool                    // marked as leaving in the platform's list
	demand            map[string]*proto.Demand
}

// New returns a balancer at version 0.
func New(name, centre string, policy route.Policy) *Balancer {
	return &Balancer{
		name:              name,
		centre:            centre,
		mayDispatch:       func() bool { return true },
		snapshot:          view.New().Current(),
		router:            route.New(name, centre, policy),
		requestsByVersion: make(map[uint64]int),
		inFlight:          make(map[string]int),
		avoidUntil:        make(map[string]time.Time),
		notices:           notice.New(name),
		streams:           make(map[string]map[string]activeStream),
		leavingSince:      make(map[string]time.Time),
		demand:            make(map[string]*proto.Demand),
	}
}

// SetDispatchGuard sets a condition that is checked whenever work is given to
// a backend server. The check also covers an instance that was paused between
// accepting a request and dispatching it.
func (g *Balancer) SetDispatchGuard(f func() bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.mayDispatch = f
}

// SetSnapshot makes a newer state version current. An older one is a programming
// error and panics.
func (g *Balancer) SetSnapshot(s *view.Snapshot) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if s.Version() < g.snapshot.Version() {
		panic("picker: state version must not decrease")
	}
	g.snapshot = s
	g.updateStarts()
	g.router.Update(g.effectiveEngines())
	g.router.SetInstances(len(g.snapshot.LiveEntries()))
}

// SetListedLeaving sets the backend servers that the platform's list marks as
// leaving.
func (g *Balancer) SetListedLeaving(leaving map[string]bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if maps.Equal(g.listedLeaving, leaving) {
		return
	}
	g.listedLeaving = leaving
	g.router.Update(g.effectiveEngines())
	g.router.SetInstances(len(g.snapshot.LiveEntries()))
}

// effectiveEngines returns the engines of the current version, with those that
// the platform's list marks as leaving in that phase.
func (g *Balancer) effectiveEngines() []state.Engine {
	list := g.snapshot.Engines()
	for i := range list {
		if g.listedLeaving[list[i].Name] && list[i].Phase == state.PhaseServing {
			list[i].Phase = state.PhaseLeaving
		}
	}
	return list
}

// Sweep moves streams off engines that have been leaving for streamMoveDelay,
// where another engine can take them.
func (g *Balancer) Sweep(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for name := range g.leavingSince {
		if len(g.streams[name]) == 0 || g.isServing(name) {
			delete(g.leavingSince, name)
		}
	}
	for name, streams := range g.streams {
		if g.isServing(name) {
			continue
		}
		since, ok := g.leavingSince[name]
		if !ok {
			g.leavingSince[name] = now
			continue
		}
		if now.Sub(since) >= streamMoveDelay {
			g.moveStreams(now, streams)
		}
	}
}

func (g *Balancer) moveStreams(now time.Time, streams map[string]activeStream) {
	for _, s := range streams {
		if _, _, err := g.router.Pick(now, &s.request); err == nil {
			s.move()
		}
	}
}

// BeginRequest counts a request under the current version. It returns that
// version and a function to call when the request ends.
func (g *Balancer) BeginRequest() (*view.Snapshot, func()) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	s := g.snapshot
	g.requestsByVersion[s.Version()]++
	return s, func() { g.endRequest(s.Version()) }
}

func (g *Balancer) endRequest(version uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.requestsByVersion[version]--
	if g.requestsByVersion[version] == 0 {
		delete(g.requestsByVersion, version)
	}
}

// Snapshot returns the current state version.
func (g *Balancer) Snapshot() *view.Snapshot {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.snapshot
}

// Versions returns the current state version, and the newest version before
// which no running request began.
func (g *Balancer) Versions() (current, settled uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	settled = g.snapshot.Version()
	for version := range g.requestsByVersion {
		settled = min(settled, version)
	}
	return g.snapshot.Version(), settled
}

// InFlight returns the number of requests at each backend server that isn't
// serving.
func (g *Balancer) InFlight() map[string]uint32 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	list := make(map[string]uint32)
	for name, n := range g.inFlight {
		if g.isServing(name) {
			continue
		}
		list[name] = uint32(n)
	}
	return list
}

func (g *Balancer) isServing(name string) bool {
	if g.listedLeaving[name] {
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
