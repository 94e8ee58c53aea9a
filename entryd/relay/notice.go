package relay

import (
	"context"
	"hash/maphash"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"verbenahaven.example/core/conn/httpc"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/request/notice"
	"verbenahaven.example/core/version/state"
)

// quietSpreadDivisor divides the time until servers take requests again into the time over
// which refused callers come back.
const quietSpreadDivisor = 8

// hearNotice takes what the head of a backend server's answer to a request says of the
// server itself. The request's ID is empty for one of the instance's own.
func (s *Proxy) hearNotice(name, id string, k *notice.Ticket, a *http.Response) {
	head := s.codec.ParseHead(a)
	if head.Misdirected {
		s.fleet.sendLost(k) // another server answered
		return
	}
	c := s.fleet.hearNotice(s.clock.Now(), name, k, notice.Statement{Leaving: head.Leaving, RetryAfter: head.RetryAfter})
	if c.Leaving {
		s.meter.Count("notice", "leaving")
		s.log.Info("server leaving", "server", name, "request", id, "in_flight", c.InFlight)
	}
	if c.Quiet > 0 {
		s.meter.Count("notice", "quiet")
		s.log.Info("server quiet", "server", name, "request", id, "for_ms", c.Quiet.Milliseconds(), "in_flight", c.InFlight)
	}
}

// beginOwn makes a request of the instance's own, a release of a KV cache or a probe of the
// path, follow what its server says of itself, and tell what that answers. It returns a
// function that ends the request, or false if the server wants no requests.
func (s *Proxy) beginOwn(name string, q *httpc.Request) (end func(), ok bool) {
	ticket, err := s.fleet.sendOwn(s.clock.Now(), name)
	if err != nil {
		s.meter.Count("notice", "kept")
		return nil, false
	}
	q.OnHead = func(a *http.Response) { s.hearNotice(name, "", ticket, a) }
	return func() { s.fleet.sendLost(ticket) }, true
}

func (f *Fleet) hearNotice(now time.Time, name string, k *notice.Ticket, s notice.Statement) notice.Change {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	c := f.notices.Hear(now, k, s)
	if c.Leaving {
		if link, _ := f.delegate.Broker(now); link != "" {
			f.broker.TellNotices(link, f.notices.List(now, name))
		}
	}
	if c.Leaving || len(f.leaving) > 0 {
		f.applyLeaving(now)
	}
	return c
}

// sendLost records that a request got no answer.
func (f *Fleet) sendLost(k *notice.Ticket) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.notices.Lost(k)
}

// LearnNotices takes what servers have just told another instance. It implements
// broker.Handler.
func (f *Fleet) LearnNotices(list []proto.ServerNotice) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.clock.Now()
	f.learnNotices(now, list)
}

// learnNotices does the same. The caller holds the mutex.
func (f *Fleet) learnNotices(now time.Time, list []proto.ServerNotice) {
	if f.notices.Learn(now, list) {
		f.meter.Count("notice", "learned")
	}
	f.applyLeaving(now)
}

// Notices returns what servers told this instance and the leader may not have.
func (f *Fleet) Notices(now time.Time) []proto.ServerNotice {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.notices.Unreported(now)
}

// MarkReported records that the leader has what Limits and Notices returned at a time.
func (f *Fleet) MarkReported(taken time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.limits.MarkReported(taken)
	f.notices.MarkReported(taken)
}

// startID identifies one start of a server at one address: by its serial, or else by its
// build, of which the list may know nothing for a moment.
func startID(url, build string, serial int64) string {
	if serial != 0 {
		return url + "@" + strconv.FormatInt(serial, 10)
	}
	return url + "/" + build
}

// updateStarts sets the servers of the snapshot. The caller holds the mutex.
func (f *Fleet) updateStarts() {
	starts := make(map[string]string)
	f.engineNames = make(map[string]string)
	for _, e := range f.snapshot.Engines() {
		f.engineNames[e.URL] = e.Name
		starts[e.Name] = startID(e.URL, e.Build, e.StartSerial)
	}
	for _, s := range f.snapshot.AllServers() {
		starts[s.Name] = startID(s.URL, s.Build, 0)
	}
	f.notices.Update(f.clock.Now(), starts)
}

// applyLeaving places requests anew if other servers than before say that they are
// leaving. The caller holds the mutex.
func (f *Fleet) applyLeaving(now time.Time) {
	leaving := f.notices.AllLeaving(now)
	if !maps.Equal(leaving, f.leaving) {
		f.leaving = leaving
		f.updateServers()
	}
}

// updateServers passes the servers of the snapshot to the placement, those that say that
// they are leaving as such. The caller holds the mutex.
func (f *Fleet) updateServers() {
	engines, servers := slices.Clone(f.snapshot.Engines()), slices.Clone(f.snapshot.AllServers())
	for i := range engines {
		engines[i] = f.asHeard(engines[i])
	}
	for i := range servers {
		if f.leaving[servers[i].Name] && servers[i].Phase == state.PhaseServing {
			servers[i].Phase = state.PhaseLeaving
		}
	}
	f.local.Update(engines, f.snapshot.Routing())
	f.servers.Update(servers)
}

// asHeard returns an engine with the phase that it states itself. The caller holds the
// mutex.
func (f *Fleet) asHeard(e state.Engine) state.Engine {
	if f.leaving[e.Name] && e.Phase == state.PhaseServing {
		e.Phase = state.PhaseLeaving
	}
	return e
}

// engine returns an engine as this instance knows it. The caller holds the mutex.
func (f *Fleet) engine(name string) (state.Engine, bool) {
	e, found := f.snapshot.Engine(name)
	return f.asHeard(e), found
}

// servingEngine returns an engine that may take requests of a pool. The caller holds the
// mutex.
func (f *Fleet) servingEngine(pool, name string) (state.Engine, bool) {
	e, found := f.engine(name)
	return e, found && e.Pool == pool && e.Phase == state.PhaseServing
}

// mayFetch reports whether the engine at a URL may be asked for what it keeps of a prompt.
// The caller holds the mutex.
func (f *Fleet) mayFetch(pool, url string) bool {
	_, found := f.servingEngine(pool, f.engineNames[url])
	return found
}

// serverAt returns the name of the server at an address, and false if there is none.
func (f *Fleet) serverAt(address string) (name string, found bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, e := range f.snapshot.Engines() {
		if server.HostPort(e.URL) == address {
			name, found = e.Name, true
		}
	}
	for _, s := range f.snapshot.AllServers() {
		if server.HostPort(s.URL) == address {
			name, found = s.Name, true
		}
	}
	return name, found
}

// sendOwn counts a request of the instance's own to a server.
func (f *Fleet) sendOwn(now time.Time, name string) (*notice.Ticket, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.notices.Send(now, name) //nolint:wrapcheck // one of two known errors
}

// quietFor returns how long all servers of a pool that could answer want no requests, and
// false if one takes them.
func (f *Fleet) quietFor(now time.Time, pool string, build *string) (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	shortest, found := time.Duration(0), false
	if len(f.notices.Waiting(now)) == 0 {
		return 0, false
	}
	see := func(name, itsPool, itsBuild string, phase state.Phase) {
		if itsPool != pool || phase != state.PhaseServing || f.leaving[name] || build != nil && itsBuild != *build {
			return
		}
		if wait := f.notices.Wait(now, name); !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	for _, e := range f.snapshot.Engines() {
		if e.Role != state.RolePrefill {
			see(e.Name, e.Pool, e.Build, e.Phase)
		}
	}
	for _, s := range f.snapshot.AllServers() {
		see(s.Name, s.Service, s.Build, s.Phase)
	}
	return shortest, found && shortest > 0
}

// quietError reports that all servers that could take a call want no requests now.
type quietError struct{ retryAfter time.Duration }

// Error implements error.
func (e *quietError) Error() string { return "all servers ask for a pause" }

// hold returns why the next attempt of the call can't be made now, or nil.
func (f *inflightCall) hold(ctx context.Context) error {
	if wait, quiet := f.allQuiet(); quiet {
		return &quietError{wait}
	}
	return f.permit(ctx)
}

// allQuiet reports whether all servers that could take the call want no requests, and when
// its caller should come back: no earlier, and not all callers at once.
func (f *inflightCall) allQuiet() (retryAfter time.Duration, quiet bool) {
	wait, quiet := f.fleet.quietFor(f.clock.Now(), f.targetPool.Name, f.build)
	if !quiet {
		return 0, false
	}
	f.declined = true
	f.meter.Count("notice", "refused")
	wait = max(wait, busyRetryAfter)
	spread := int64(max(wait/quietSpreadDivisor, 1))
	return wait + time.Duration(maphash.String(spreadSeed, f.call.ID)%uint64(spread)), true
}

var spreadSeed = maphash.MakeSeed()
