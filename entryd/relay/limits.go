package relay

import (
	"net/http"
	"slices"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/request/pace"
	"verbenahaven.example/core/version/state"
)

// limitInterval is the least time between two messages to the broker about limits
// that haven't changed. They keep it from forgetting them.
const limitInterval = time.Second

// parseHead interprets the head of a backend server's answer, and takes what it says
// of the server's limit.
func (f *inflightCall) parseHead(name string, a *http.Response) server.ResponseHead {
	head := f.codec.ParseHead(a)
	if f.fleet.hearLimit(f.clock.Now(), name, head) {
		f.meter.Count("limit", "changed")
		f.log.Info("server limit", "server", name, "limited", head.Limited, "rate", head.Limit, "request", f.call.ID)
	}
	return head
}

// hearLimit records what a server's answer says of its limit, and reports whether it
// is new. The broker is told of it.
func (f *Fleet) hearLimit(now time.Time, name string, head server.ResponseHead) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if head.Misdirected {
		return false // of another server
	}
	changed := f.limits.Hear(now, name, head.Limited, head.Limit)
	if !changed && (!head.Limited || now.Sub(f.limitsTold[name]) < limitInterval) {
		return false
	}
	if f.limitsTold[name] = now; !head.Limited {
		delete(f.limitsTold, name)
	}
	if link, _ := f.delegate.Broker(now); link != "" {
		f.broker.TellLimits(link, []proto.ServerLimit{{Server: name, Limited: head.Limited, Rate: head.Limit}})
	}
	return changed
}

// LearnLimits takes what another instance has just heard. It implements
// broker.Handler.
func (f *Fleet) LearnLimits(limits []proto.ServerLimit) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.limits.Learn(f.clock.Now(), limits)
}

// Limits returns what was heard of limits and the leader may not have.
func (f *Fleet) Limits(now time.Time) []proto.ServerLimit {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.limits.Unreported(now)
}

// updateSenders sets the instances that share limits. The caller holds the mutex.
func (f *Fleet) updateSenders(isBroker bool) {
	f.isBroker = isBroker
	f.serving = slices.DeleteFunc(slices.Clone(f.snapshot.LiveEntries()), func(m state.Member) bool { return m.Phase != state.PhaseServing })
}

// limitShare returns the part of a server's limit that this instance may use. The
// caller holds the mutex.
func (f *Fleet) limitShare(name string, rate float64) float64 {
	self := state.Member{Name: f.name, Centre: f.centre}
	if e, found := f.snapshot.Engine(name); found {
		return pace.EngineShare(f.serving, self, e, rate, f.isBroker)
	}
	if s, found := f.snapshot.Server(name); found {
		return pace.ServerShare(f.serving, self, s, rate)
	}
	return 0
}
