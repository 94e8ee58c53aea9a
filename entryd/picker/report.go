package picker

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/state"
)

// RecordLoad records an engine's load report.
func (g *Balancer) RecordLoad(name string, l engine.LoadReport) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.router.RecordLoad(name, l)
}

// RecordProbe records the result of this instance's probe of an engine, and
// reports whether its liveness changed.
func (g *Balancer) RecordProbe(now time.Time, name string, alive bool) (changed bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	changed = g.router.Alive(name) != alive
	g.router.RecordProbe(now, name, alive)
	return changed
}

// ApplyCacheEvents applies a page of an engine's cache events, and returns the
// position from which to read next.
func (g *Balancer) ApplyCacheEvents(name string, page engine.CacheEvents) uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.router.ApplyCacheEvents(name, page)
}

// UsedEngines returns the engines whose load reports are needed.
func (g *Balancer) UsedEngines() []state.Engine {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.router.Engines()
}

// AddDemand adds a request to the demand of a service, in prefill and decode
// tokens. Refused requests count too: the planner must see the demand, not what
// there is capacity for.
func (g *Balancer) AddDemand(service string, prefill, decode int, refused bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	d := g.demand[service]
	if d == nil {
		d = &proto.Demand{Service: service}
		g.demand[service] = d
	}
	if refused {
		d.RefusalRate++
	}
	d.RequestRate++
	d.PrefillRate += float64(prefill)
	d.DecodeRate += float64(decode)
}

// reportersPerEngine is the number of instances that report one engine.
const reportersPerEngine = 3

// isReporter reports whether this instance is among those that report an engine,
// chosen by rendezvous hashing: the number of reports that the leader gets for
// an engine doesn't grow with the number of instances.
func (g *Balancer) isReporter(engine string) bool {
	own := xxhash.Sum64String(engine + "/" + g.name)
	before := 0
	for _, m := range g.snapshot.LiveEntries() {
		if m.Name != g.name && xxhash.Sum64String(engine+"/"+m.Name) < own {
			before++
		}
	}
	return before < reportersPerEngine
}

// Digest returns what a heartbeat carries: the demand as rates over the interval
// since the last one, and the load reports. It resets the demand.
func (g *Balancer) Digest(interval time.Duration) ([]proto.Demand, []proto.Report) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	demand := make([]proto.Demand, 0, len(g.demand))
	for _, d := range g.demand {
		s := interval.Seconds()
		demand = append(demand, proto.Demand{
			Service: d.Service, RequestRate: d.RequestRate / s, PrefillRate: d.PrefillRate / s, DecodeRate: d.DecodeRate / s, RefusalRate: d.RefusalRate / s,
		})
	}
	clear(g.demand)
	used := g.router.Engines()
	reports := make([]proto.Report, 0, len(used))
	for _, e := range used {
		if !g.isReporter(e.Name) {
			continue
		}
		l, _ := g.router.Load(e.Name)
		r := proto.Report{
			Engine: e.Name, At: l.MeasuredAt, Role: l.Role, Running: l.Running, Waiting: l.Waiting, PrefillQueueTokens: l.PrefillQueueTokens, TPOT: l.TPOT,
			Alive: g.router.Alive(e.Name), PrefillRate: l.PrefillRate, MaxBatch: l.MaxBatch,
		}
		if l.KVTotalTokens > 0 {
			r.KVUsage = float64(l.KVUsedTokens) / float64(l.KVTotalTokens)
		}
		reports = append(reports, r)
	}
	return demand, reports
}

// OwnWork returns nil: each instance reads the engines' own reports.
func (g *Balancer) OwnWork() []proto.EngineWork { return nil }

// Delegates returns false: each instance routes its own requests.
func (g *Balancer) Delegates() bool { return false }

// Speeds returns nothing: engines report their speed themselves.
func (g *Balancer) Speeds(time.Time) []proto.EngineSpeed { return nil }

// Revisions returns 0: the reports come from this instance's own polls.
func (g *Balancer) Revisions() (reports, work uint64) { return 0, 0 }

// Limits returns none: the engines of the product's own interface name no limits.
func (g *Balancer) Limits(time.Time) []proto.ServerLimit { return nil }

// Notices returns none: the engines of the product's own interface have no such header.
func (g *Balancer) Notices(time.Time) []proto.ServerNotice { return nil }

// MarkReported does nothing: there are neither limits nor notices.
func (g *Balancer) MarkReported(time.Time) {}

// ApplyReply ignores the loads in the leader's reply.
func (g *Balancer) ApplyReply(time.Time, proto.HeartbeatReply) {}

// MarkCurrent does nothing: no stream is taken up by builds.
func (g *Balancer) MarkCurrent(time.Duration, uint64) {}
