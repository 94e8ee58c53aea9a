package guide

import (
	"math/rand/v2"
	"time"

	"verbenahaven.example/core/version/state"
)

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
