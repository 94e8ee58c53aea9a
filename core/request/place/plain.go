package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"verbenahaven.example/core/request/pace"
	"verbenahaven.example/core/version/state"
)

// plainServer is what this instance knows of one plain server.
type plainServer struct {
	health
	server state.Server
	sent   []sentCall // requests of this instance that are in flight
}

// Servers is the load balancer for plain servers, backend servers that run no
// model.
type Servers struct {
	centre  string
	byName  map[string]*plainServer
	servers []*plainServer // by name
	times   workTimes
	slots   map[string]*slotCount // by pool
	scratch []time.Duration       // reused by loadCost
	limits  *pace.Table           // of the servers' own limits, nil for none
}

// NewServers returns a load balancer without servers for an instance in the
// data centre.
func NewServers(centre string) *Servers {
	return &Servers{centre: centre, byName: make(map[string]*plainServer), times: make(workTimes), slots: make(map[string]*slotCount)}
}

// SetLimits sets the table of the limits that servers name.
func (s *Servers) SetLimits(t *pace.Table) { s.limits = t }

// Update replaces the servers by those of a new version of the state. What is
// known of servers that remain is kept.
func (s *Servers) Update(list []state.Server) {
	byName := make(map[string]*plainServer, len(list))
	s.servers = s.servers[:0]
	for _, v := range list {
		p := s.byName[v.Name]
		if p == nil || p.server.URL != v.URL {
			p = &plainServer{}
		}
		p.server = v
		byName[v.Name] = p
		s.servers = append(s.servers, p)
	}
	slices.SortFunc(s.servers, func(a, b *plainServer) int { return cmp.Compare(a.server.Name, b.server.Name) })
	s.byName = byName
	maps.DeleteFunc(s.slots, func(pool string, _ *slotCount) bool {
		return !slices.ContainsFunc(list, func(v state.Server) bool { return v.Service == pool })
	})
}

// accepts reports whether the server may take a request.
func (p *plainServer) accepts(pool string, avoid []string, build *string) bool {
	if p.server.Service != pool || p.server.Phase != state.PhaseServing || slices.Contains(avoid, p.server.Name) {
		return false
	}
	return build == nil || p.server.Build == *build
}

// Pick chooses the server of a pool with the least expected wait for a request of
// the route, and counts it as in flight there. Ejected servers are chosen
// only if there are no others. Build is the software build that must answer, nil for
// any. TieBreaker differs between requests, so that servers of equal cost take turns.
func (s *Servers) Pick(now time.Time, pool, route string, avoid []string, build *string, tieBreaker uint64) (state.Server, error) {
	var best *plainServer
	var lowest time.Duration
	limited := pace.Forever
	for _, healthy := range []bool{true, false} {
		for _, p := range s.servers {
			if !p.accepts(pool, avoid, build) || healthy && !p.healthy(now) {
				continue
			}
			if wait := s.limits.Wait(now, p.server.Name); wait > 0 {
				limited = min(limited, wait)
				continue
			}
			cost := s.cost(now, p)
			if best == nil || cost < lowest || cost == lowest && (tieBreaker&1 == 0) == (p.server.Name < best.server.Name) {
				best, lowest = p, cost
			}
		}
		if best != nil {
			best.sent = append(best.sent, sentCall{id: tieBreaker, at: now, key: workKey{pool, route, best.server.Centre}})
			s.limits.Take(best.server.Name)
			return best.server, nil
		}
	}
	return state.Server{}, noBackend(pool, limited)
}

// cost returns the cost of a server for a request: that of its load, of distance
// and of rejections.
func (s *Servers) cost(now time.Time, p *plainServer) time.Duration {
	cost := s.loadCost(now, p) + time.Duration(p.rejections.current(now)*float64(plainRejectionCost))
	if p.server.Centre != s.centre {
		cost += minCrossCentreCost
	}
	return cost
}

// RecordLoss ejects a server because it was unreachable or its connection
// broke.
func (s *Servers) RecordLoss(now time.Time, name string) {
	if p := s.byName[name]; p != nil {
		p.recordLoss(now, "")
	}
}

// RecordAnswer records a successful or a failed answer of a server.
func (s *Servers) RecordAnswer(now time.Time, name string, ok bool) {
	if p := s.byName[name]; p != nil {
		p.recordAnswer(now, ok)
	}
}
