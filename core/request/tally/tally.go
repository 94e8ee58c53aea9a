// Package tally counts the requests of client accounts at one entry instance, by
// window of true time. It serves deployments that bill each client for what backend
// servers began to run, while instances crash, leaders change and clocks are stepped:
// counts are cumulative and sent again until the window is closed, and the window of a
// request is determined by a clock that the leader corrects. It does no I/O.
package tally

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"verbenahaven.example/core/conn/proto"
)

const (
	// maxCounts bounds the counts that are kept, each of a window and an account.
	maxCounts = 20000
	// maxSent bounds the counts in one heartbeat.
	maxSent = 2000
	// maxEarly bounds the requests that are kept until the true time is known.
	maxEarly = 10000
	// anchorAging is by how much a measurement of the true time counts as less
	// precise for each second of its age: more than clocks drift apart.
	anchorAging = time.Millisecond
)

// countKey identifies a count.
type countKey struct {
	window  int64
	account string
}

// count is a cumulative count. Each change gets a revision of its own.
type count struct {
	requests uint64
	revision uint64
}

// earlyRequest is a request that was counted before the true time was known.
type earlyRequest struct {
	at      time.Duration
	account string
}

// anchor is a measurement of the true time.
type anchor struct {
	at        time.Duration // elapsed time of the measurement
	trueNanos int64         // Unix nanoseconds at that time
	roundTrip time.Duration // of the heartbeat that gave it; 0 for none yet
}

// sent is the heartbeat that was filled last.
type sent struct {
	at        time.Duration
	timeOfDay int64
	revision  uint64 // of the last count in it
}

// Tally holds an instance's counts of the windows that aren't closed yet. It is safe
// for concurrent use. A nil Tally counts nothing.
type Tally struct {
	window time.Duration
	from   string

	mutex    sync.Mutex
	counts   map[countKey]count
	early    []earlyRequest
	revision uint64 // of the last change
	acked    uint64 // revision up to which the leader of term has the counts
	term     uint64
	closed   int64 // newest closed window, 0 for none
	anchor   anchor
	sent     sent
	dropped  uint64
}

// New returns an empty Tally for windows of some length. from identifies the process
// run: counts of another run of the same instance add to those of this one.
func New(window time.Duration, from string) *Tally {
	return &Tally{window: window, from: from, counts: make(map[countKey]count)}
}

// Add counts a request of an account that began to run at an elapsed time.
func (t *Tally) Add(at time.Duration, account string) {
	if t == nil || account == "" {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.anchor.roundTrip > 0 {
		t.add(at, account)
		return
	}
	if len(t.early) == maxEarly {
		t.dropped++
		return
	}
	t.early = append(t.early, earlyRequest{at, account})
}

func (t *Tally) add(at time.Duration, account string) {
	k := countKey{t.windowAt(at), account}
	c, found := t.counts[k]
	if k.window <= t.closed || !found && len(t.counts) >= maxCounts {
		t.dropped++
		return
	}
	t.revision++
	t.counts[k] = count{requests: c.requests + 1, revision: t.revision}
}

// windowAt returns the window of an elapsed time.
func (t *Tally) windowAt(at time.Duration) int64 {
	return (t.anchor.trueNanos + int64(at-t.anchor.at)) / int64(t.window)
}

// Fill adds to a heartbeat what the leader doesn't have yet, oldest changes first, and
// the time of day. Heartbeats are sent one after the other.
func (t *Tally) Fill(now time.Duration, wall time.Time, q *proto.HeartbeatRequest) {
	if t == nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	changed := t.unsent()
	complete := len(changed) <= maxSent
	changed = changed[:min(len(changed), maxSent)]
	t.sent = sent{at: now, timeOfDay: wall.UnixMilli(), revision: t.acked}
	for _, k := range changed {
		c := t.counts[k]
		q.Usage = append(q.Usage, proto.UsageCount{Window: k.window, Account: k.account, Count: c.requests})
		t.sent.revision = c.revision
	}
	q.UsageFrom, q.TimeOfDay = t.from, t.sent.timeOfDay
	if complete {
		q.UsageTerm = t.term
	}
}

// unsent returns the counts that changed after the last acknowledgement, in the order
// of their changes.
func (t *Tally) unsent() []countKey {
	if t.acked == t.revision {
		return nil
	}
	var changed []countKey
	for k, c := range t.counts {
		if c.revision > t.acked {
			changed = append(changed, k)
		}
	}
	slices.SortFunc(changed, func(a, b countKey) int { return cmp.Compare(t.counts[a].revision, t.counts[b].revision) })
	return changed
}

// Apply takes the reply to the heartbeat that was filled last. A leader of another term
// gets all counts again, since it may not have those that an earlier one received last.
func (t *Tally) Apply(now time.Duration, r *proto.HeartbeatReply) {
	if t == nil || r.UsageTerm == 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.measure(now, r.ClockOffset)
	if r.UsageTerm == t.term {
		t.acked = t.sent.revision
	} else {
		t.term, t.acked = r.UsageTerm, 0
	}
	if r.UsageClosed > t.closed {
		t.closed = r.UsageClosed
		for k := range t.counts {
			if k.window <= t.closed {
				delete(t.counts, k)
			}
		}
	}
}

// measure takes the leader's estimate of the true time when it had the last heartbeat,
// which is taken to be in the middle of the round trip. An older measurement is kept
// while it is more precise and agrees with the new one.
func (t *Tally) measure(now time.Duration, offset time.Duration) {
	next := anchor{
		at: t.sent.at + (now-t.sent.at)/2, trueNanos: t.sent.timeOfDay*int64(time.Millisecond) + int64(offset), roundTrip: max(now-t.sent.at, 1),
	}
	old := t.anchor
	if old.roundTrip > 0 {
		age := next.at - old.at
		allowed := old.roundTrip + time.Duration(age.Seconds()*float64(anchorAging))
		difference := time.Duration(next.trueNanos - old.trueNanos - int64(age))
		if next.roundTrip > allowed && difference.Abs() <= (next.roundTrip+allowed)/2 {
			return
		}
	}
	t.anchor = next
	for _, e := range t.early {
		t.add(e.at, e.account)
	}
	t.early = nil
}

// Unsent returns the number of counts that the leader hasn't acknowledged.
func (t *Tally) Unsent() int {
	if t == nil {
		return 0
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.unsent()) + len(t.early)
}

// TakeDropped returns the number of requests since the last call that couldn't be
// counted: their window was closed, or too many counts are kept.
func (t *Tally) TakeDropped() uint64 {
	if t == nil {
		return 0
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	n := t.dropped
	t.dropped = 0
	return n
}
