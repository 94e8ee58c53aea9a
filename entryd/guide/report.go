package guide

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/state"
)

// Report records an engine's load report.
func (g *Guide) Report(name string, l engine.Load) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.Report(name, l)
}

// Probe records the result of this instance's probe of an engine, and reports
// whether its liveness changed.
func (g *Guide) Probe(now time.Time, name string, alive bool) (changed bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	changed = g.router.Alive(name) != alive
	g.router.Probe(now, name, alive)
	return changed
}

// Cache applies a page of an engine's cache events, and returns the position
// from which to read next.
func (g *Guide) Cache(name string, page engine.CacheEvents) uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.router.Cache(name, page)
}

// Used returns the engines whose load reports are needed.
func (g *Guide) Used() []state.Engine {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.router.Used()
}

// Demand adds a request to the demand of a service, in prefill and decode
// tokens. Refused requests count too: the planner must see the demand, not what
// there is capacity for.
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

// reportersPerEngine is the number of instances that report one engine.
const reportersPerEngine = 3

// isReporter reports whether this instance is among those that report an engine,
// chosen by rendezvous hashing: the number of reports that the leader gets for
// an engine doesn't grow with the number of instances.
func (g *Guide) isReporter(engine string) bool {
	own := xxhash.Sum64String(engine + "/" + g.name)
	before := 0
	for _, m := range g.snapshot.Entries() {
		if m.Name != g.name && xxhash.Sum64String(engine+"/"+m.Name) < own {
			before++
		}
	}
	return before < reportersPerEngine
}

// Digest returns what a heartbeat carries: the demand as rates over the interval
// since the last one, and the load reports. It resets the demand.
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
		if !g.isReporter(e.Name) {
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

// Loads returns nil: each instance reads the engines' own reports.
func (g *Guide) Loads() []proto.Share { return nil }

// Seen returns 0: the reports come from this instance's own polls.
func (g *Guide) Seen() uint64 { return 0 }

// Heard ignores the loads in the leader's reply.
func (g *Guide) Heard(time.Time, proto.BeatReply) {}
