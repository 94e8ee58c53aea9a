package place

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"verbenahaven.example/core/version/state"
)

// busyCost is what one own request at a plain server costs, as time: the work
// of one request against the places of a small server.
const busyCost = 8 * time.Millisecond

// plain is a plain server as this instance sees it.
type plain struct {
	health
	server state.Server
	busy   int
}

// Servers chooses among plain servers.
type Servers struct {
	centre string
	known  map[string]*plain
	list   []*plain // by name
}

// NewServers returns a choice without servers, for an instance in a data
// centre.
func NewServers(centre string) *Servers {
	return &Servers{centre: centre, known: make(map[string]*plain)}
}

// Update takes the servers of a new version of the state.
func (s *Servers) Update(list []state.Server) {
	known := make(map[string]*plain, len(list))
	s.list = s.list[:0]
	for _, v := range list {
		p := s.known[v.Name]
		if p == nil || p.server.URL != v.URL {
			p = &plain{}
		}
		p.server = v
		known[v.Name] = p
		s.list = append(s.list, p)
	}
	slices.SortFunc(s.list, func(a, b *plain) int { return cmp.Compare(a.server.Name, b.server.Name) })
	s.known = known
}

// Pick chooses a server of a pool and counts a request there. Turn differs
// between requests, so that equal servers take turns.
func (s *Servers) Pick(now time.Time, pool string, avoid []string, turn uint64) (state.Server, error) {
	var best *plain
	var least time.Duration
	for _, healthy := range []bool{true, false} {
		for _, p := range s.list {
			if p.server.Service != pool || p.server.Phase != state.PhaseServing || slices.Contains(avoid, p.server.Name) {
				continue
			}
			if healthy && !p.healthy(now) {
				continue
			}
			cost := time.Duration(p.busy) * busyCost
			if p.server.Centre != s.centre {
				cost += awayCost
			}
			if best == nil || cost < least || cost == least && (turn&1 == 0) == (p.server.Name < best.server.Name) {
				best, least = p, cost
			}
		}
		if best != nil {
			best.busy++
			return best.server, nil
		}
	}
	return state.Server{}, fmt.Errorf("pool %s: %w", pool, ErrNone)
}

// Done takes a request off a server.
func (s *Servers) Done(name string) {
	if p := s.known[name]; p != nil && p.busy > 0 {
		p.busy--
	}
}

// Lost notes that a server couldn't be reached or broke off.
func (s *Servers) Lost(now time.Time, name string) {
	if p := s.known[name]; p != nil {
		p.lost(now)
	}
}

// Answered notes a server's answer, good or not.
func (s *Servers) Answered(now time.Time, name string, good bool) {
	if p := s.known[name]; p != nil {
		p.answered(now, good)
	}
}
