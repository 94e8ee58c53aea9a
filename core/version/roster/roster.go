// Package roster is what the leader knows of the entry instances from their
// heartbeats: who is alive, whose requests still run on a backend server, and
// the demand that arrived. It is a pure state machine of the leader; a new
// leader starts it empty and gives each instance a whole lease to be heard.
package roster

import (
	"cmp"
	"slices"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/state"
)

// Settings are the times after which silence means loss.
type Settings struct {
	Lease  time.Duration // of an entry instance
	Holder time.Duration // of a holder of run-once calls
	Term   uint64        // of the leader: revisions of a later one are higher
}

// beat is the last heartbeat of an instance.
type beat struct {
	heard    time.Duration
	version  uint64
	inFlight map[string]uint32
	demand   []proto.Demand
	loads    []proto.Share
}

// Roster holds the heartbeats. It isn't safe for concurrent use.
type Roster struct {
	settings Settings
	began    time.Duration
	beats    map[string]beat
	holders  map[string]time.Duration // last heard
	reports  map[string]report        // newest, by engine
	revision uint64                   // of the newest report that told something new

	total  map[string]proto.Share // work of all instances, by engine
	summed time.Duration          // when it was made anew
}

// New returns the roster of a leader whose term began now.
func New(now time.Duration, s Settings) *Roster {
	return &Roster{
		settings: s,
		began:    now,
		beats:    make(map[string]beat),
		holders:  make(map[string]time.Duration),
		reports:  make(map[string]report),
		revision: s.Term << termShift,
		total:    make(map[string]proto.Share),
	}
}

// Beat takes a heartbeat.
func (r *Roster) Beat(now time.Duration, q proto.BeatRequest) {
	if r.alive(now, q.Member.Name) {
		r.sum(r.beats[q.Member.Name].loads, -1)
	}
	r.sum(q.Loads, 1)
	r.beats[q.Member.Name] = beat{heard: now, version: q.Version, inFlight: q.InFlight, demand: q.Demand, loads: q.Loads}
	if q.Holder != "" {
		r.holders[q.Holder] = now
	}
	for _, p := range q.Reports {
		if old, found := r.reports[p.Engine]; !found || !p.At.Before(old.At) {
			r.Heed(p)
		}
	}
}

// Heard tells that a holder took a step of a call.
func (r *Roster) Heard(now time.Duration, holder string) {
	r.holders[holder] = now
}

// Lost returns the members whose lease has run out.
func (r *Roster) Lost(now time.Duration, members []state.Member) []string {
	var names []string
	for _, m := range members {
		if m.Kind == state.MemberEntry && m.Phase != state.PhaseLost && m.Phase != state.PhaseGone && !r.alive(now, m.Name) {
			names = append(names, m.Name)
		}
	}
	return names
}

// Silent tells for how long a member wasn't heard. One that this leader never
// heard counts from the start of its term.
func (r *Roster) Silent(now time.Duration, name string) time.Duration {
	return now - max(r.began, r.beats[name].heard)
}

func (r *Roster) alive(now time.Duration, name string) bool {
	return r.Silent(now, name) <= r.settings.Lease
}

// Vanished returns those of the holders that were not heard for their time,
// and forgets the times of holders that hold nothing.
func (r *Roster) Vanished(now time.Duration, holders []string) []string {
	var names []string
	for _, h := range holders {
		if now-max(r.began, r.holders[h]) > r.settings.Holder {
			names = append(names, h)
		}
	}
	for h, heard := range r.holders {
		if now-heard > r.settings.Holder && !slices.Contains(holders, h) {
			delete(r.holders, h)
		}
	}
	return names
}

// Settled tells whether no member sends requests to a backend server that was
// marked at a version, or still has any running there. A member counts until
// the leader has marked it as lost.
func (r *Roster) Settled(members []state.Member, server string, version uint64) bool {
	for _, m := range members {
		if m.Kind != state.MemberEntry || m.Phase == state.PhaseLost || m.Phase == state.PhaseGone {
			continue
		}
		b, found := r.beats[m.Name]
		if !found || b.version < version || b.inFlight[server] > 0 {
			return false
		}
	}
	return true
}

// Demand sums what arrived at the live instances, by service.
func (r *Roster) Demand(now time.Duration) map[string]proto.Demand {
	total := make(map[string]proto.Demand)
	for name, b := range r.beats {
		if !r.alive(now, name) {
			continue
		}
		for _, d := range b.demand {
			t := total[d.Service]
			t.Service = d.Service
			t.Requests += d.Requests
			t.Prefill += d.Prefill
			t.Decode += d.Decode
			t.Refused += d.Refused
			total[d.Service] = t
		}
	}
	return total
}

// sumEvery is the time after which the sum of all work is made anew, so that it
// forgets instances that were lost.
const sumEvery = 500 * time.Millisecond

// Others sums the work at the engines of all live instances but one.
func (r *Roster) Others(now time.Duration, name string) []proto.Share {
	if now-r.summed >= sumEvery {
		r.summed = now
		clear(r.total)
		for other, b := range r.beats {
			if r.alive(now, other) {
				r.sum(b.loads, 1)
			}
		}
	}
	own := make(map[string]proto.Share)
	if r.alive(now, name) {
		for _, l := range r.beats[name].loads {
			own[l.Engine] = l
		}
	}
	list := make([]proto.Share, 0, len(r.total))
	for engine, t := range r.total {
		o := own[engine]
		t.Add(&o, -1)
		if t == (proto.Share{}) {
			continue // there is no work that isn't told of
		}
		t.Engine = engine
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b proto.Share) int { return cmp.Compare(a.Engine, b.Engine) })
	return list
}

// sum adds loads to the sum of all work, or takes them off it.
func (r *Roster) sum(loads []proto.Share, sign int) {
	for i := range loads {
		t := r.total[loads[i].Engine]
		t.Add(&loads[i], sign)
		r.total[loads[i].Engine] = t
	}
}

// report is a load report, and the revision since which it says what it says.
type report struct {
	proto.Report
	revision uint64
}

// termShift leaves room for the reports of a term between the revisions of two
// terms.
const termShift = 32

// Heed takes a load report. One that repeats what is known of a live engine
// isn't told again; that an engine is silent counts only for a time, and is.
func (r *Roster) Heed(p proto.Report) {
	same := r.reports[p.Engine].Report
	same.At = p.At
	if same == p && p.Alive {
		r.reports[p.Engine] = report{p, r.reports[p.Engine].revision}
		return
	}
	r.revision++
	r.reports[p.Engine] = report{p, r.revision}
}

// Reports lists what the newest load reports tell that is newer than a
// revision, by name, and the revision that it brings one to.
func (r *Roster) Reports(seen uint64) (list []proto.Report, revision uint64) {
	for _, p := range r.reports {
		if p.revision > seen {
			list = append(list, p.Report)
		}
	}
	slices.SortFunc(list, func(a, b proto.Report) int { return cmp.Compare(a.Engine, b.Engine) })
	return list, r.revision
}

// Report returns the newest load report of an engine.
func (r *Roster) Report(engine string) (proto.Report, bool) {
	p, found := r.reports[engine]
	return p.Report, found
}

// Live counts the instances that were heard within their lease.
func (r *Roster) Live(now time.Duration) int {
	n := 0
	for _, b := range r.beats {
		if now-b.heard <= r.settings.Lease {
			n++
		}
	}
	return n
}
