package picker

import (
	"time"

	"verbenahaven.example/core/request/route"
	"verbenahaven.example/core/version/state"
)

// Reservation holds the engines chosen for one attempt, which Reserve reserves.
type Reservation struct {
	Plan     route.Plan
	Decision route.Decision
	Streams  int           // running on all engines of the model
	Capacity int           // streams that these engines can run
	TPOT     time.Duration // time per decode step of the decode engine
	balancer *Balancer
	attempt  string
}

// Choose chooses engines without reserving them.
func (g *Balancer) Choose(now time.Time, r *route.Request) (*Reservation, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.mayDispatch() {
		return &Reservation{balancer: g}, ErrIsolated
	}
	return g.pickUnpaused(now, r)
}

func (g *Balancer) pick(now time.Time, r *route.Request) (*Reservation, error) {
	p, d, err := g.router.Pick(now, r)
	l := &Reservation{Plan: p, Decision: d, balancer: g, attempt: r.ID}
	if err != nil {
		return l, err //nolint:wrapcheck // the caller distinguishes the router's errors
	}
	l.Streams, l.Capacity = g.router.StreamLoad(r.Model)
	if report, ok := g.router.Load(p.Decode.Name); ok {
		l.TPOT = report.TPOT
	}
	return l, nil
}

// Reserve reserves the chosen engines for an attempt, and reports whether it
// did: not if one of them has stopped serving since, or if this instance may not
// dispatch work. Sweep calls move when the decode engine is leaving.
func (g *Balancer) Reserve(now time.Time, attempt string, r *route.Request, l *Reservation, move func()) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := &l.Plan
	if !g.mayDispatch() || !g.isServing(p.Decode.Name) || (p.Split() && !g.isServing(p.Prefill.Name)) {
		return false
	}
	l.attempt = attempt
	g.router.RecordSent(now, attempt, r, p)
	g.inFlight[p.Decode.Name]++
	if p.Split() {
		g.inFlight[p.Prefill.Name]++
	}
	if g.streams[p.Decode.Name] == nil {
		g.streams[p.Decode.Name] = make(map[string]activeStream)
	}
	g.streams[p.Decode.Name][attempt] = activeStream{request: *r, move: move}
	return true
}

// ReleasePrefill releases the prefill engine: its work is done and its KV cache
// has been transferred.
func (l *Reservation) ReleasePrefill() {
	l.balancer.mutex.Lock()
	defer l.balancer.mutex.Unlock()
	l.releasePrefill()
}

func (l *Reservation) releasePrefill() {
	if name := l.Plan.Prefill.Name; name != "" {
		l.balancer.router.RecordDone(l.attempt, name)
		l.balancer.decrementInFlight(name)
		l.Plan.Prefill = state.Engine{}
	}
}

// Release releases the engines that are still reserved.
func (l *Reservation) Release() {
	g := l.balancer
	g.mutex.Lock()
	defer g.mutex.Unlock()
	l.releasePrefill()
	name := l.Plan.Decode.Name
	g.router.RecordDone(l.attempt, name)
	g.decrementInFlight(name)
	delete(g.streams[name], l.attempt)
	if len(g.streams[name]) == 0 {
		delete(g.streams, name)
	}
}

func (g *Balancer) decrementInFlight(name string) {
	g.inFlight[name]--
	if g.inFlight[name] == 0 {
		delete(g.inFlight, name)
	}
	if g.inFlight[name] < 0 {
		panic("picker: negative in-flight count for " + name)
	}
}

// LongestStep returns the longest reported time of a decode step at an engine that may
// generate answers of a model, 0 if none is known.
func (g *Balancer) LongestStep(model string) time.Duration {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.router.LongestStep(model)
}
