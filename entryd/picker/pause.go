package picker

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/request/notice"
	"verbenahaven.example/core/request/route"
	"verbenahaven.example/core/version/state"
)

// PausedError reports that all backend servers that could take a request want none now.
type PausedError struct {
	wait  time.Duration
	cause error
}

// Error implements error.
func (e *PausedError) Error() string { return "all servers ask for a pause" }

// Unwrap returns the error without the pauses.
func (e *PausedError) Unwrap() error { return e.cause }

// RetryAfter returns when to retry after an error of a choice: the end of the first pause, or
// the given time.
func RetryAfter(err error, otherwise time.Duration) time.Duration {
	var paused *PausedError
	if errors.As(err, &paused) {
		return max(paused.wait, otherwise)
	}
	return otherwise
}

// updateStarts tells the record of pauses which servers are known. The caller holds the mutex.
func (g *Balancer) updateStarts() {
	starts := make(map[string]string)
	for _, e := range g.snapshot.Engines() {
		starts[e.Name] = e.URL + "@" + strconv.FormatInt(e.StartSerial, 10)
	}
	for _, s := range g.snapshot.AllServers() {
		starts[s.Name] = s.URL
	}
	g.notices.Update(time.Now(), starts)
}

// pickUnpaused picks engines for a request among those that want requests now. The caller
// holds the mutex.
func (g *Balancer) pickUnpaused(now time.Time, r *route.Request) (*Reservation, error) {
	waiting := g.notices.Waiting(now)
	if len(waiting) == 0 {
		return g.pick(now, r)
	}
	unpaused := *r
	unpaused.Avoid = append(slices.Clone(r.Avoid), waiting...)
	l, err := g.pick(now, &unpaused)
	if err == nil || !errors.Is(err, route.ErrNoEngine) {
		return l, err
	}
	shortest := time.Duration(0)
	for _, e := range g.snapshot.Engines() {
		wait := g.notices.Wait(now, e.Name)
		if e.Model == r.Model && e.Phase == state.PhaseServing && wait > 0 && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	if shortest > 0 {
		err = &PausedError{shortest, err}
	}
	return l, err
}

// BeginSend counts a request that is sent now to a backend server, unless that wants none.
func (g *Balancer) BeginSend(now time.Time, name string) (*notice.Ticket, error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.notices.Send(now, name) //nolint:wrapcheck // one of two known errors
}

// EndSend takes what the head of the answer to a request says of the server, nil for a request
// without an answer.
func (g *Balancer) EndSend(now time.Time, k *notice.Ticket, a *http.Response) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if a == nil {
		g.notices.Lost(k)
		return
	}
	g.notices.Hear(now, k, notice.Statement{RetryAfter: server.Pause(a.StatusCode, a.Header)})
}
