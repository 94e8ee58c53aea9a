package guide

import (
	"time"

	"verbenahaven.example/core/request/route"
	"verbenahaven.example/core/version/state"
)

// Lease is the right to use the engines of a plan for one attempt.
type Lease struct {
	Plan     route.Plan
	Decision route.Decision
	Streams  int // on all engines of the model
	Room     int
	Step     time.Duration
	guide    *Guide
	attempt  string
}

// Weigh chooses engines without using them.
func (g *Guide) Weigh(now time.Time, a *route.Ask) (*Lease, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !g.guard() {
		return &Lease{guide: g}, ErrStale
	}
	return g.pick(now, a)
}

func (g *Guide) pick(now time.Time, a *route.Ask) (*Lease, error) {
	p, d, err := g.router.Pick(now, a)
	l := &Lease{Plan: p, Decision: d, guide: g, attempt: a.Request}
	if err != nil {
		return l, err //nolint:wrapcheck // told apart by the caller
	}
	l.Streams, l.Room = g.router.Busy(a.Model)
	if report, ok := g.router.Load(p.Decode.Name); ok {
		l.Step = report.Step
	}
	return l, nil
}

// Use takes the engines of a plan for an attempt. It fails if one of them has
// stopped serving since the choice. The function move is called when the
// decode engine is to leave.
func (g *Guide) Use(now time.Time, attempt string, a *route.Ask, l *Lease, move func()) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := &l.Plan
	if !g.guard() || !g.serving(p.Decode.Name) || (p.Split() && !g.serving(p.Prefill.Name)) {
		return false
	}
	l.attempt = attempt
	g.router.Sent(now, attempt, a, p)
	g.busy[p.Decode.Name]++
	if p.Split() {
		g.busy[p.Prefill.Name]++
	}
	if g.moves[p.Decode.Name] == nil {
		g.moves[p.Decode.Name] = make(map[string]mover)
	}
	g.moves[p.Decode.Name][attempt] = mover{ask: *a, move: move}
	return true
}

// Prefilled tells that the prefill engine has done its part and that its KV
// cache was taken over.
func (l *Lease) Prefilled() {
	l.guide.mutex.Lock()
	defer l.guide.mutex.Unlock()
	l.prefilled()
}

func (l *Lease) prefilled() {
	if name := l.Plan.Prefill.Name; name != "" {
		l.guide.router.Done(l.attempt, name)
		l.guide.less(name)
		l.Plan.Prefill = state.Engine{}
	}
}

// Return gives the engines back.
func (l *Lease) Return() {
	g := l.guide
	g.mutex.Lock()
	defer g.mutex.Unlock()
	l.prefilled()
	name := l.Plan.Decode.Name
	g.router.Done(l.attempt, name)
	g.less(name)
	delete(g.moves[name], l.attempt)
	if len(g.moves[name]) == 0 {
		delete(g.moves, name)
	}
}

func (g *Guide) less(name string) {
	g.busy[name]--
	if g.busy[name] == 0 {
		delete(g.busy, name)
	}
	if g.busy[name] < 0 {
		panic("guide: fewer than no requests at " + name)
	}
}
