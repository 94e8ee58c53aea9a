// Package notice keeps what backend servers say of themselves in their answers: that they
// are leaving, and that they want no requests from this machine for a while. The placement
// of requests, and each send, ask it.
//
// What a server says holds for the start of it that said so, so that it never applies to
// another server at the same address. It outlives changes of the list, which may leave a
// server out for a moment or repeat an older entry. That a server is
// leaving concerns all instances, and what one hears reaches the others. That it wants no
// requests concerns the machine that heard it.
//
// It answers loads on engines that are reclaimed within seconds and on servers that are
// overloaded: a request that is sent there nevertheless is lost or takes a retry. It is a
// state machine without I/O.
package notice

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenahaven.example/core/conn/proto"
)

const (
	// maxQuiet bounds the time for which a server gets no requests because of one answer:
	// a server that asks for more is more likely wrong than overloaded.
	maxQuiet = 5 * time.Minute
	// leavingMemory is how long a server counts as leaving since it last said so, if the
	// list goes on to say that it is ready. The list lags by seconds, and the drain of
	// a server that is reclaimed takes up to 3 s.
	leavingMemory = 30 * time.Second
	// minLeaving is the time since then after which an answer without the statement ends
	// it: answers that were on their way before it have arrived.
	minLeaving = 5 * time.Second
	// spreadDivisor divides the time that a server asked for into the time over which
	// instances come back to it, of at most maxSpread.
	spreadDivisor = 10
	maxSpread     = 500 * time.Millisecond
	// openSends is the number of requests in flight at a server from which they aren't
	// bounded any more after the time that it asked for. The bound begins with one, and
	// each answer doubles it.
	openSends = 16
	// unlistedMemory is how long the record of a start is kept that isn't listed: requests
	// that were placed there may still be sent.
	unlistedMemory = 30 * time.Second
)

var (
	// ErrLeaving reports that a server said that it is leaving.
	ErrLeaving = errors.New("the server says that it is leaving")
	// ErrQuiet reports that a server wants no requests now.
	ErrQuiet = errors.New("the server wants no requests now")
)

// Statement is what the head of an answer says.
type Statement struct {
	Leaving    bool
	RetryAfter time.Duration // 0 for none
}

// Change is what is new in a statement.
type Change struct {
	Leaving  bool
	Quiet    time.Duration // 0 if it asked for no time, or for none beyond what it asked for before
	InFlight int           // requests that the server has from this instance
}

// record is what one start of a server said.
type record struct {
	start       string
	unlistedAt  time.Time // zero while it is listed
	inFlight    int       // requests of this instance without an answer
	leaving     bool
	leavingAt   time.Time // when it last said so
	unreported  bool      // heard here, and the leader may not have it
	quietUntil  time.Time
	returnAt    time.Time // quietUntil with this instance's part of the spread
	returning   bool      // it hasn't shown yet that it takes requests again
	returnSends int       // that may be in flight then
	sentBack    int       // that are in flight since it may be returned to
}

// Ticket is a request that was sent to a server.
type Ticket struct {
	server string
	record *record // nil if the server is unknown, or once the request has ended
	back   bool    // sent after the time that the server had asked for
}

// Table holds what servers said to one instance. It isn't safe for concurrent use.
type Table struct {
	instance string
	records  map[string]*record // by name, of the start that is listed, or was last
	others   map[startKey]*record
}

// startKey names a start that isn't the one in Table.records.
type startKey struct{ server, start string }

// New returns an empty table for an instance.
func New(instance string) *Table {
	return &Table{instance: instance, records: make(map[string]*record), others: make(map[startKey]*record)}
}

// Update sets the servers that are listed, with what identifies their starts.
func (t *Table) Update(now time.Time, starts map[string]string) {
	for name, r := range t.records {
		start, listed := starts[name]
		if listed && start == r.start {
			r.unlistedAt = time.Time{}
			continue
		}
		if r.unlistedAt.IsZero() {
			r.unlistedAt = now
		}
		if listed {
			t.others[startKey{name, r.start}] = r
			delete(t.records, name)
		} else if r.isOutdated(now) {
			delete(t.records, name)
		}
	}
	for name, start := range starts {
		if t.records[name] != nil {
			continue
		}
		key := startKey{name, start}
		r := t.others[key]
		if r == nil {
			r = &record{start: start}
		}
		r.unlistedAt = time.Time{}
		t.records[name] = r
		delete(t.others, key)
	}
	maps.DeleteFunc(t.others, func(_ startKey, r *record) bool { return r.isOutdated(now) })
}

// isOutdated reports whether nothing of an unlisted start is worth knowing any more.
func (r *record) isOutdated(now time.Time) bool {
	return now.Sub(r.unlistedAt) > unlistedMemory && !now.Before(r.returnAt) && now.Sub(r.leavingAt) > leavingMemory
}

// Leaving reports whether a server said that it is leaving.
func (t *Table) Leaving(now time.Time, server string) bool {
	r := t.records[server]
	return r != nil && r.isLeaving(now)
}

func (r *record) isLeaving(now time.Time) bool {
	if r.leaving && now.Sub(r.leavingAt) > leavingMemory {
		r.leaving, r.unreported = false, false
	}
	return r.leaving
}

// Wait returns how long a server gets no requests because it asked for that, or because that
// time has just ended and enough requests are in flight there.
func (t *Table) Wait(now time.Time, server string) time.Duration {
	r := t.records[server]
	switch {
	case r == nil || !r.returning:
		return 0
	case now.Before(r.returnAt):
		return r.returnAt.Sub(now)
	case r.sentBack >= r.returnSends:
		return minWait
	}
	return 0
}

// minWait is the wait for a server while enough requests are in flight there.
const minWait = 50 * time.Millisecond

// Waiting returns the servers that get no requests now, sorted.
func (t *Table) Waiting(now time.Time) []string {
	var list []string
	for name := range t.records {
		if t.Wait(now, name) > 0 {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// Send counts a request that is sent now, unless the server is leaving or wants none.
// Nothing is kept of a server that was never listed.
func (t *Table) Send(now time.Time, server string) (*Ticket, error) {
	r := t.records[server]
	switch {
	case r == nil:
		return &Ticket{server: server}, nil
	case t.Leaving(now, server):
		return nil, ErrLeaving
	case t.Wait(now, server) > 0:
		return nil, ErrQuiet
	}
	r.inFlight++
	k := &Ticket{server: server, record: r, back: r.returning}
	if k.back {
		r.sentBack++
	}
	return k, nil
}

// end removes the request from those in flight. It returns the record of its server, or
// nil if the request has ended before or the server was unknown.
func (k *Ticket) end() *record {
	if k == nil || k.record == nil {
		return nil
	}
	r := k.record
	k.record = nil
	r.inFlight--
	if k.back {
		r.sentBack--
	}
	return r
}

// Lost records that a request got no answer.
func (t *Table) Lost(k *Ticket) { k.end() }

// Hear records what the head of the answer to a request says, and returns what is new.
func (t *Table) Hear(now time.Time, k *Ticket, s Statement) Change {
	r := k.end()
	if r == nil {
		return Change{}
	}
	var c Change
	if s.RetryAfter > 0 {
		c.Quiet = r.quiet(now, min(s.RetryAfter, maxQuiet), t.instance+"/"+k.server)
	} else if k.back && r.returning && !now.Before(r.returnAt) {
		r.returnSends *= 2
		r.returning = r.returnSends < openSends
	}
	switch {
	case s.Leaving:
		c.Leaving = !r.isLeaving(now)
		r.leaving, r.leavingAt, r.unreported = true, now, true
	case r.leaving && now.Sub(r.leavingAt) > minLeaving:
		r.leaving = false
	}
	if t.records[k.server] != r { // another start of the server is listed
		return Change{}
	}
	c.InFlight = r.inFlight
	return c
}

// quiet records that the server wants no requests for a while, and returns that time if it
// ends later than what is known. The time over which instances come back is drawn from the
// names of both.
func (r *record) quiet(now time.Time, d time.Duration, names string) time.Duration {
	until := now.Add(d)
	if !until.After(r.quietUntil) {
		return 0
	}
	spread := min(d/spreadDivisor, maxSpread)
	const steps = 1024
	share := xxhash.Sum64String(names) % steps
	r.quietUntil, r.returnAt = until, until.Add(spread*time.Duration(share)/steps)
	r.returning, r.returnSends = true, 1
	return d
}

// Learn takes what servers told other instances, and reports whether any is new. What
// another start of a server said is ignored.
func (t *Table) Learn(now time.Time, list []proto.ServerNotice) bool {
	changed := false
	for _, n := range list {
		r := t.records[n.Server]
		at := now.Add(-n.Age)
		if r == nil || r.start != n.Start || !n.Leaving || n.Age > leavingMemory || r.leaving && !at.After(r.leavingAt) {
			continue
		}
		changed = changed || !r.leaving
		r.leaving, r.leavingAt = true, at
	}
	return changed
}

// AllLeaving returns the servers that said that they are leaving.
func (t *Table) AllLeaving(now time.Time) map[string]bool {
	leaving := make(map[string]bool)
	for name := range t.records {
		if t.Leaving(now, name) {
			leaving[name] = true
		}
	}
	return leaving
}

// List returns what a server said that concerns all instances.
func (t *Table) List(now time.Time, server string) []proto.ServerNotice {
	if !t.Leaving(now, server) {
		return nil
	}
	return []proto.ServerNotice{t.records[server].notice(now, server)}
}

// Unreported returns what servers told this instance and the leader may not have.
func (t *Table) Unreported(now time.Time) []proto.ServerNotice {
	var list []proto.ServerNotice
	for name, r := range t.records {
		if !r.unreported || !t.Leaving(now, name) {
			continue
		}
		list = append(list, r.notice(now, name))
	}
	slices.SortFunc(list, compare)
	return list
}

// MarkReported records that the leader has what Unreported returned at a time.
func (t *Table) MarkReported(taken time.Time) {
	for _, r := range t.records {
		r.unreported = r.unreported && r.leavingAt.After(taken)
	}
}

func (r *record) notice(now time.Time, server string) proto.ServerNotice {
	return proto.ServerNotice{Server: server, Start: r.start, Leaving: r.leaving, Age: now.Sub(r.leavingAt)}
}

func compare(a, b proto.ServerNotice) int {
	return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Start, b.Start))
}
