package guide

import (
	"time"

	"verbenahaven.example/core/request/route"
	"verbenahaven.example/core/version/state"
)

// Lease reserves the engines of a plan for one attempt.
type Lease struct {
	Plan     route.Plan
	Decision route.Decision
	Streams  int           // running on all engines of the model
	Room     int           // streams that these engines can run
	Step     time.Duration // time per decode step of the decode engine
	guide    *Guide
	attempt  string
}

// Weigh chooses engines without reserving them.
func (g *Guide) Weigh(now time.Time, a *route.Ask) (*Lease, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.mayDispatch() {
		return &Lease{guide: g}, ErrStale
	}
	return g.pick(now, a)
}

func (g *Guide) pick(now time.Time, a *route.Ask) (*Lease, error) {
	p, d, err := g.router.Pick(now, a)
	l := &Lease{Plan: p, Decision: d, guide: g, attempt: a.Request}
	if err != nil {
		return l, err //nolint:wrapcheck // the caller distinguishes the router's errors
	}
	l.Streams, l.Room = g.router.Busy(a.Model)
	if report, ok := g.router.Load(p.Decode.Name); ok {
		l.Step = report.Step
	}
	return l, nil
}

// Use reserves the engines of a plan for an attempt. It reports false if one of
// them has stopped serving since they were chosen, or if this instance may not
// dispatch work. Sweep calls move when the decode engine is leaving.
func (g *Guide) Use(now time.Time, attempt string, a *route.Ask, l *Lease, move func()) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := &l.Plan
	if !g.mayDispatch() || !g.isServing(p.Decode.Name) || (p.Split() && !g.isServing(p.Prefill.Name)) {
		return false
	}
	l.attempt = attempt
	g.router.Sent(now, attempt, a, p)
	g.inFlight[p.Decode.Name]++
	if p.Split() {
		g.inFlight[p.Prefill.Name]++
	}
	if g.streams[p.Decode.Name] == nil {
		g.streams[p.Decode.Name] = make(map[string]activeStream)
	}
	g.streams[p.Decode.Name][attempt] = activeStream{ask: *a, move: move}
	return true
}

// Prefilled releases the prefill engine: its work is done and its KV cache has
// been transferred.
func (l *Lease) Prefilled() {
	l.guide.mutex.Lock()
	defer l.guide.mutex.Unlock()
	l.releasePrefill()
}

func (l *Lease) releasePrefill() {
	if name := l.Plan.Prefill.Name; name != "" {
		l.guide.router.Done(l.attempt, name)
		l.guide.decrementInFlight(name)
		l.Plan.Prefill = state.Engine{}
	}
}

// Return releases the engines.
func (l *Lease) Return() {
	g := l.guide
	g.mutex.Lock()
	defer g.mutex.Unlock()
	l.releasePrefill()
	name := l.Plan.Decode.Name
	g.router.Done(l.attempt, name)
	g.decrementInFlight(name)
	delete(g.streams[name], l.attempt)
	if len(g.streams[name]) == 0 {
		delete(g.streams, name)
	}
}

func (g *Guide) decrementInFlight(name string) {
	g.inFlight[name]--
	if g.inFlight[name] == 0 {
		delete(g.inFlight, name)
	}
	if g.inFlight[name] < 0 {
		panic("guide: negative in-flight count for " + name)
	}
}
