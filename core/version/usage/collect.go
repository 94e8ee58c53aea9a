package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/state"
)

const (
	// recordInterval is the least time between two Recordings. What a leader received after
	// the last one is lost with it and a sender that is lost as well.
	recordInterval = time.Second
	// settleTime is the longest time that a heartbeat may take: one that arrives this long
	// after the end of a window was sent after it.
	settleTime = time.Second
	// closeTimeout is how long after its end a window is closed without the counts of
	// silent instances.
	closeTimeout = 5 * time.Second
	// maxRecorded bounds the counts in one command.
	maxRecorded = 5000
	// maxPending bounds the counts that wait to be recorded.
	maxPending = 200000
	// windowsAhead is how many windows a sender may be ahead of the leader's time.
	windowsAhead = 2
)

// Settings of a Collector.
type Settings struct {
	Window time.Duration // length of a window
	Lease  time.Duration // after which an instance without heartbeats is lost
	Term   uint64        // of the leader
}

// countKey identifies a count of one process run.
type countKey struct {
	window        int64
	from, account string
}

// Collector is the leader's part of the usage reports. It decides what is recorded, when
// windows are closed and which report is sent next. It isn't replicated: a new leader
// starts with an empty one, and the instances send it all counts of open windows again.
// It isn't safe for concurrent use.
type Collector struct {
	settings   Settings
	termStart  time.Duration
	clocks     *clocks
	known      bool                     // the true time is known
	complete   map[string]time.Duration // last heartbeat of an instance after which the leader had all of its counts
	pending    map[countKey]uint64      // received and not recorded yet
	recordedAt time.Duration
	reports    reports
}

// NewCollector returns the Collector of a leader whose term begins now.
func NewCollector(now time.Duration, s Settings) *Collector {
	return &Collector{
		settings: s, termStart: now, clocks: newClocks(s.Lease), recordedAt: now - recordInterval,
		complete: make(map[string]time.Duration), pending: make(map[countKey]uint64), reports: newReports(),
	}
}

// Receive takes the usage in a heartbeat and fills in the reply. entries is the number of
// entry instances. It returns the number of counts that came for closed windows and are
// dropped. Until the clocks of half of the instances are known, or as long as instances
// may be silent, nothing is taken and the sender keeps all.
func (c *Collector) Receive(now time.Duration, r *Record, entries int, q *proto.HeartbeatRequest, reply *proto.HeartbeatReply) (late int) {
	if q.TimeOfDay == 0 || q.UsageFrom == "" {
		return 0 // a build that doesn't count
	}
	prompt := c.clocks.put(now, q.Member.Name, q.TimeOfDay)
	c.known = c.known || 2*c.clocks.count >= entries || now-c.termStart > c.settings.Lease
	if !c.known {
		return 0
	}
	late, taken := c.take(now, r, q)
	if !taken {
		return late
	}
	if prompt && q.UsageTerm == c.settings.Term {
		c.complete[q.Member.Name] = now
	}
	reply.UsageTerm, reply.UsageClosed = c.settings.Term, r.NewestClosed()
	reply.ClockOffset = c.clocks.correction(now, q.TimeOfDay)
	return late
}

// take adds the counts of a heartbeat to those that wait to be recorded. It reports
// false if there is no room for all of them.
func (c *Collector) take(now time.Duration, r *Record, q *proto.HeartbeatRequest) (late int, taken bool) {
	current := c.windowAt(now)
	oldest := cmp.Or(r.Next(), current)
	from := q.Member.Name + "/" + q.UsageFrom
	for _, u := range q.Usage {
		if u.Window < oldest && r.Next() > 0 && u.Window >= r.First() {
			late++
		}
		if u.Window < oldest || u.Window > current+windowsAhead || u.Count <= r.Recorded(u.Window, from, u.Account) {
			continue
		}
		k := countKey{u.Window, from, u.Account}
		if _, found := c.pending[k]; !found && len(c.pending) >= maxPending {
			return late, false
		}
		c.pending[k] = max(c.pending[k], u.Count)
	}
	return late, true
}

// SinceEnd returns the time since the end of a window.
func (c *Collector) SinceEnd(now time.Duration, window int64) time.Duration {
	return c.clocks.trueTime(now) - time.Duration(window+1)*c.settings.Window
}

func (c *Collector) windowAt(now time.Duration) int64 {
	return int64(c.clocks.trueTime(now) / c.settings.Window)
}

// Step is the next command to be proposed, if any: at most one field is set.
type Step struct {
	Record *Recording
	Close  *Closing
	Silent []string // instances whose counts may be missing in the window that is closed
}

// Next returns the next command, given the record as it is committed. accounts reports
// whether requests belong to accounts; the first window begins after that.
func (c *Collector) Next(now time.Duration, r *Record, accounts bool, members []state.Member) Step {
	if !c.known || r.Next() == 0 && !accounts {
		return Step{}
	}
	c.dropRecorded(r)
	if r.Next() == 0 {
		return c.record(now, c.windowAt(now)+1)
	}
	if silent, due := c.mayClose(now, r.Next(), members); due {
		return Step{Close: &Closing{Window: r.Next(), Counts: c.grouped(r.Next())}, Silent: silent}
	}
	return c.record(now, 0)
}

// dropRecorded removes the counts that are recorded, and those of closed windows.
func (c *Collector) dropRecorded(r *Record) {
	maps.DeleteFunc(c.pending, func(k countKey, n uint64) bool {
		return r.Next() > 0 && k.window < r.Next() || n <= r.Recorded(k.window, k.from, k.account)
	})
}

// record returns a Recording of what is pending, if it is time for one.
func (c *Collector) record(now time.Duration, first int64) Step {
	if now-c.recordedAt < recordInterval || first == 0 && len(c.pending) == 0 {
		return Step{}
	}
	c.recordedAt = now
	return Step{Record: &Recording{First: first, Counts: c.grouped(0)}}
}

// mayClose reports whether a window can be closed: all live instances have sent their
// counts after its end, or have had the time for it. It returns those that haven't.
func (c *Collector) mayClose(now time.Duration, window int64, members []state.Member) (silent []string, due bool) {
	end := time.Duration(window+1)*c.settings.Window - c.clocks.median // elapsed time
	if now < end+settleTime {
		return nil, false
	}
	for _, m := range members {
		if m.Kind != state.MemberEntry || m.Phase == state.PhaseLost || m.Phase == state.PhaseGone {
			continue
		}
		if at, found := c.complete[m.Name]; !found || at < end+settleTime {
			silent = append(silent, m.Name)
		}
	}
	timeout := max(end+closeTimeout, c.termStart+2*c.settings.Lease)
	return silent, len(silent) == 0 || now >= timeout
}

// grouped returns what is pending for a window, or for any if it is 0, as far as it fits
// into one command: oldest windows first.
func (c *Collector) grouped(window int64) []Counted {
	keys := make([]countKey, 0, len(c.pending))
	for k := range c.pending {
		if window == 0 || k.window == window {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b countKey) int {
		return cmp.Or(cmp.Compare(a.window, b.window), cmp.Compare(a.from, b.from), cmp.Compare(a.account, b.account))
	})
	if window == 0 {
		keys = keys[:min(len(keys), maxRecorded)]
	}
	var list []Counted
	for _, k := range keys {
		if len(list) == 0 || list[len(list)-1].From != k.from {
			list = append(list, Counted{From: k.from})
		}
		last := &list[len(list)-1]
		last.Counts = append(last.Counts, proto.UsageCount{Window: k.window, Account: k.account, Count: c.pending[k]})
	}
	return list
}
