// Package pace keeps to the limits that backend servers name: how many requests a
// second a server takes from all instances together, for as long as it says so.
//
// It answers loads in which servers are overloaded and turn away what they can't take. Few instances
// send to such a server, each a fixed share, so that the limit holds without an
// exchange for each request: for an engine the broker of its data centre, for a plain
// server as many instances as it takes requests a second. What one instance hears
// reaches the others with the leader's replies.
//
// It is a state machine without I/O.
package pace

import (
	"cmp"
	"slices"
	"time"

	"verbenahaven.example/core/conn/proto"
)

const (
	// memory is how long a limit holds that isn't heard of again. Servers that
	// take less than a request in lifetimeRequests get as many to name it anew.
	memory         = 10 * time.Second
	memoryRequests = 3
	// minRate is the least rate at which requests are sent to a server, so that
	// the end of its limit is noticed.
	minRate = 0.1
	// burst is the number of requests that may be sent at once after a pause, and
	// burstTime the same as the time in which they are allowed.
	burst     = 1.0
	burstTime = 100 * time.Millisecond
)

// statement is the last that is known to have been said by a server.
type statement struct {
	limited    bool
	rate       float64 // requests a second from all instances together, if limited
	at         time.Time
	since      time.Time // when it was first heard, which is earlier for an end that was heard again
	unreported bool      // heard here, and the leader may not have it
}

// expired reports whether a statement is too old to hold.
func (s *statement) expired(now time.Time) bool {
	life := memory
	if s.limited {
		life = max(life, time.Duration(memoryRequests/max(s.rate, minRate)*float64(time.Second)))
	}
	return now.Sub(s.at) > life
}

// bucket counts the requests that may be sent to a server.
type bucket struct {
	tokens float64
	at     time.Time
}

// refill adds what has accrued since the last call.
func (b *bucket) refill(now time.Time, rate float64) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(b.tokens+rate*elapsed.Seconds(), max(burst, rate*burstTime.Seconds()))
		b.at = now
	}
}

// Table holds the limits that servers have named. A nil table has none. It isn't safe
// for concurrent use.
type Table struct {
	statements map[string]*statement // by server
	buckets    map[string]*bucket    // of limited servers
	share      func(server string, rate float64) float64
}

// New returns a table without limits. share returns the part of a server's limit that
// this instance may use, given the limit.
func New(share func(server string, rate float64) float64) *Table {
	return &Table{statements: make(map[string]*statement), buckets: make(map[string]*bucket), share: share}
}

// Hear records what a server's answer says, and reports whether it is new: a limit
// that wasn't known, another one, or its end.
func (t *Table) Hear(now time.Time, server string, limited bool, rate float64) bool {
	old := t.current(now, server)
	switch {
	case old == nil && !limited:
		return false
	case !limited && !old.limited:
		old.at = now
		return false
	}
	changed := old == nil || old.limited != limited || limited && old.rate != rate
	t.set(now, server, statement{limited: limited, rate: rate, at: now, since: now, unreported: true})
	return changed
}

// Learn takes what other instances have heard. Older statements than those known
// here are ignored: the end of a limit that wasn't known is kept, since the limit may still be
// on its way.
func (t *Table) Learn(now time.Time, list []proto.ServerLimit) {
	for _, l := range list {
		at := now.Add(-l.Age)
		old := t.current(now, l.Server)
		if old != nil && !at.After(old.at) {
			continue
		}
		t.set(now, l.Server, statement{limited: l.Limited, rate: l.Rate, at: at, since: at, unreported: old != nil && old.unreported})
	}
}

func (t *Table) set(now time.Time, server string, s statement) {
	t.statements[server] = &s
	switch {
	case !s.limited:
		delete(t.buckets, server)
	case t.buckets[server] == nil:
		t.buckets[server] = &bucket{at: now} // others were sent a moment ago
	}
}

// current returns the statement of a server that holds, or nil.
func (t *Table) current(now time.Time, server string) *statement {
	s := t.statements[server]
	if s == nil || !s.expired(now) {
		return s
	}
	delete(t.statements, server)
	delete(t.buckets, server)
	return nil
}

// Unreported returns what was heard here and the leader may not have.
func (t *Table) Unreported(now time.Time) []proto.ServerLimit {
	var list []proto.ServerLimit
	for server, s := range t.statements {
		if t.current(now, server) == nil || !s.unreported {
			continue
		}
		list = append(list, proto.ServerLimit{Server: server, Limited: s.limited, Rate: s.rate, Age: now.Sub(s.at)})
	}
	slices.SortFunc(list, func(a, b proto.ServerLimit) int { return cmp.Compare(a.Server, b.Server) })
	return list
}

// MarkReported records that the leader has what Unreported returned at a time. An end that was
// heard again since is no news to it.
func (t *Table) MarkReported(taken time.Time) {
	for _, s := range t.statements {
		s.unreported = s.unreported && s.since.After(taken)
	}
}

// Wait returns how long no request may be sent to a server, 0 if one may be sent now,
// and forever if this instance has no share of its limit.
func (t *Table) Wait(now time.Time, server string) time.Duration {
	if t == nil {
		return 0
	}
	s := t.current(now, server)
	if s == nil || !s.limited {
		return 0
	}
	rate := max(s.rate, minRate) * t.share(server, s.rate)
	if rate <= 0 {
		return Forever
	}
	b := t.buckets[server]
	b.refill(now, rate)
	if b.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second))
}

// Forever is the wait for a server whose limit has no share for this instance.
const Forever = time.Duration(1<<63 - 1)

// Take counts a request that is sent to a server.
func (t *Table) Take(server string) {
	if t == nil {
		return
	}
	if b := t.buckets[server]; b != nil {
		b.tokens--
	}
}
