package picker

import (
	"math/rand/v2"
	"time"

	"verbenahaven.example/core/version/state"
)

// ReserveServer reserves a server of a plain service for one call. It uses the
// power of two choices: of two servers drawn at random, from the own data centre
// if it has any, the one with fewer calls. The returned function releases it.
func (g *Balancer) ReserveServer(now time.Time, service string, avoid []string) (state.Server, func(), error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.mayDispatch() {
		return state.Server{}, nil, ErrIsolated
	}
	var local, remote []state.Server
	shortest := time.Duration(0) // of the pauses
	for _, s := range g.snapshot.Servers(service) {
		if !g.isServing(s.Name) || contains(avoid, s.Name) || now.Before(g.avoidUntil[s.Name]) {
			continue
		}
		if wait := g.notices.Wait(now, s.Name); wait > 0 {
			if shortest == 0 || wait < shortest {
				shortest = wait
			}
			continue
		}
		if s.Centre == g.centre {
			local = append(local, s)
		} else {
			remote = append(remote, s)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	switch {
	case len(local) > 0:
	case shortest > 0:
		return state.Server{}, nil, &PausedError{shortest, ErrNoServer}
	default:
		return state.Server{}, nil, ErrNoServer
	}
	best := local[rand.IntN(len(local))]
	if other := local[rand.IntN(len(local))]; g.inFlight[other.Name] < g.inFlight[best.Name] {
		best = other
	}
	g.inFlight[best.Name]++
	return best, func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.decrementInFlight(best.Name)
	}, nil
}

// AvoidServer excludes a plain server from selection for failedServerPause.
func (g *Balancer) AvoidServer(now time.Time, name string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.avoidUntil[name] = now.Add(failedServerPause)
}

func contains(list []string, name string) bool {
	for _, v := range list {
		if v == name {
			return true
		}
	}
	return false
}
