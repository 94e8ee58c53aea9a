// Package roster is the leader's table of heartbeats from entry instances. It
// detects lost instances, determines when a backend server is drained, sums demand
// and load, and keeps the newest load report of each engine. It is a state machine
// without I/O and isn't replicated: a new leader starts with an empty table and
// gives each instance a whole lease to send a heartbeat.
package roster

import (
	"cmp"
	"slices"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/request/speed"
	"verbenahaven.example/core/version/state"
)

// Settings holds the failure detection timeouts and the leader's term.
type Settings struct {
	Lease         time.Duration // after which an entry instance without heartbeats is lost
	HolderTimeout time.Duration // after which a silent holder of run-once calls is lost
	Term          uint64        // of the leader; revisions in a later term are higher
}

// heartbeat is the last heartbeat of an instance.
type heartbeat struct {
	arrived  time.Duration
	version  uint64            // of the state that the instance has applied
	inFlight map[string]uint32 // running requests, by backend server
	demand   []proto.Demand
	loads    []proto.EngineWork
	counted  bool // loads are part of the total
	placing  bool // schedules generations, so that it needs the loads of others
}

// Roster holds the heartbeats. It isn't safe for concurrent use.
type Roster struct {
	settings   Settings
	termStart  time.Duration            // of the leader's term
	heartbeats map[string]heartbeat     // newest, by instance
	holders    map[string]time.Duration // last contact
	reports    map[string]report        // newest, by engine
	revision   uint64                   // of the newest report with changed content

	speeds      *speed.Model  // of the engines
	prefillTime time.Duration // mean time of a prefill at the fastest group of engines; 0 if unknown

	totalLoad   map[string]proto.EngineWork // load of all instances, by engine
	recountedAt time.Duration               // when totalLoad was last computed from scratch
}

// New returns an empty roster of a leader whose term begins now.
func New(now time.Duration, s Settings) *Roster {
	return &Roster{
		settings:   s,
		termStart:  now,
		heartbeats: make(map[string]heartbeat),
		holders:    make(map[string]time.Duration),
		reports:    make(map[string]report),
		revision:   s.Term << revisionBits,
		totalLoad:  make(map[string]proto.EngineWork),
		speeds:     speed.New(),
	}
}

// RecordHeartbeat stores a heartbeat and the newer ones of its engine reports.
func (r *Roster) RecordHeartbeat(now time.Duration, q proto.HeartbeatRequest) {
	if old := r.heartbeats[q.Member.Name]; old.counted {
		r.addLoads(old.loads, -1)
	}
	r.addLoads(q.OwnWork, 1)
	r.heartbeats[q.Member.Name] = heartbeat{arrived: now, version: q.Version, inFlight: q.InFlight, demand: q.Demand, loads: q.OwnWork, counted: true, placing: !q.Delegates}
	if q.Holder != "" {
		r.holders[q.Holder] = now
	}
	for i := range q.Speeds {
		q.Speeds[i].Answers = float64(r.reports[q.Speeds[i].Engine].Running)
	}
	r.speeds.Observe(q.Speeds)
	for _, p := range q.Reports {
		if old, found := r.reports[p.Engine]; !found || !p.At.Before(old.At) {
			r.RecordReport(p)
		}
	}
}

// RecordHolder records contact with a holder that takes a step of a call.
func (r *Roster) RecordHolder(now time.Duration, holder string) {
	r.holders[holder] = now
}

// LostMembers returns the entry members whose lease has run out and that aren't
// marked as lost or gone yet.
func (r *Roster) LostMembers(now time.Duration, members []state.Member) []string {
	var names []string
	for _, m := range members {
		if m.Kind == state.MemberEntry && m.Phase != state.PhaseLost && m.Phase != state.PhaseGone && !r.alive(now, m.Name) {
			names = append(names, m.Name)
		}
	}
	return names
}

// SinceHeartbeat returns the time since the last heartbeat of a member, or since
// the start of the term if there was none in it.
func (r *Roster) SinceHeartbeat(now time.Duration, name string) time.Duration {
	return now - max(r.termStart, r.heartbeats[name].arrived)
}

// alive reports whether the lease of an instance still runs.
func (r *Roster) alive(now time.Duration, name string) bool {
	return r.SinceHeartbeat(now, name) <= r.settings.Lease
}

// LostHolders returns those of the given holders whose timeout has passed, and
// removes timed-out holders that aren't given, since they hold no calls.
func (r *Roster) LostHolders(now time.Duration, holders []string) []string {
	var names []string
	for _, h := range holders {
		if now-max(r.termStart, r.holders[h]) > r.settings.HolderTimeout {
			names = append(names, h)
		}
	}
	for h, heard := range r.holders {
		if now-heard > r.settings.HolderTimeout && !slices.Contains(holders, h) {
			delete(r.holders, h)
		}
	}
	return names
}

// Drained reports whether no entry member sends requests to a backend server that
// was taken out of service in the given version of the state, and none has a
// request running there. A member counts until the leader has marked it as lost.
func (r *Roster) Drained(members []state.Member, server string, version uint64) bool {
	for _, m := range members {
		if m.Kind != state.MemberEntry || m.Phase == state.PhaseLost || m.Phase == state.PhaseGone {
			continue
		}
		h, found := r.heartbeats[m.Name]
		if !found || h.version < version || h.inFlight[server] > 0 {
			return false
		}
	}
	return true
}

// Demand returns the demand at all live instances, by service.
func (r *Roster) Demand(now time.Duration) map[string]proto.Demand {
	total := make(map[string]proto.Demand)
	for name, h := range r.heartbeats {
		if !r.alive(now, name) {
			continue
		}
		for _, d := range h.demand {
			t := total[d.Service]
			t.Service = d.Service
			t.RequestRate += d.RequestRate
			t.PrefillRate += d.PrefillRate
			t.DecodeRate += d.DecodeRate
			t.RefusalRate += d.RefusalRate
			total[d.Service] = t
		}
	}
	return total
}

// recountInterval is how often the total load is computed from scratch, which
// drops the load of lost instances.
const recountInterval = 500 * time.Millisecond

// LoadsExcept returns the load of each engine from all live instances but one,
// sorted by engine.
func (r *Roster) LoadsExcept(now time.Duration, name string) []proto.EngineWork {
	if now-r.recountedAt >= recountInterval {
		r.recountedAt = now
		clear(r.totalLoad)
		for instance, h := range r.heartbeats {
			h.counted = r.alive(now, instance)
			if h.counted {
				r.addLoads(h.loads, 1)
			}
			r.heartbeats[instance] = h
		}
	}
	ownLoads := make(map[string]proto.EngineWork)
	if own := r.heartbeats[name]; own.counted {
		for _, l := range own.loads {
			ownLoads[l.Engine] = l
		}
	}
	list := make([]proto.EngineWork, 0, len(r.totalLoad))
	for engine, t := range r.totalLoad {
		ownLoad := ownLoads[engine]
		t.Add(&ownLoad, -1)
		if t == (proto.EngineWork{}) {
			continue // a missing engine has no load
		}
		t.Engine = engine
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b proto.EngineWork) int { return cmp.Compare(a.Engine, b.Engine) })
	return list
}

// Load returns the load of an engine from all live instances, as of the last recount
// and the heartbeats since.
func (r *Roster) Load(engine string) proto.EngineWork { return r.totalLoad[engine] }

// addLoads adds loads to the total (sign 1) or subtracts them (sign -1).
func (r *Roster) addLoads(loads []proto.EngineWork, sign int) {
	for i := range loads {
		t := r.totalLoad[loads[i].Engine]
		t.Add(&loads[i], sign)
		r.totalLoad[loads[i].Engine] = t
	}
}

// report is a load report with the revision in which its content last changed.
type report struct {
	proto.Report
	revision uint64
}

// revisionBits is the number of low bits that count the reports of a term; the
// term is in the bits above, so that revisions increase over terms.
const revisionBits = 32

// RecordReport stores a load report. A report with the content already known of a
// live engine gets no new revision, so it isn't sent to members again. A report
// that an engine is down is always sent again, because it is valid only for a
// limited time.
func (r *Roster) RecordReport(p proto.Report) {
	known := r.reports[p.Engine].Report
	if !p.Alive {
		p.Orders = known.Orders // nothing was read
	}
	known.At = p.At
	if known == p && p.Alive {
		r.reports[p.Engine] = report{p, r.reports[p.Engine].revision}
		return
	}
	r.revision++
	r.reports[p.Engine] = report{p, r.revision}
}

// RecordOrders stores how many orders an engine is known to have accepted.
func (r *Roster) RecordOrders(engine string, n uint64) {
	if p, found := r.reports[engine]; found {
		p.Orders = n
		r.reports[engine] = p
	}
}

// IsOvertaken reports whether a report counts fewer orders than the newest one of its
// engine. It is then a late copy of an earlier report, which would undo a change of roles,
// or the engine has started again.
func (r *Roster) IsOvertaken(p proto.Report) bool { return p.Orders < r.reports[p.Engine].Orders }

// ReportsSince returns the newest load reports whose content changed after a
// revision, sorted by engine, and the revision that includes them.
func (r *Roster) ReportsSince(since uint64) (list []proto.Report, revision uint64) {
	for _, p := range r.reports {
		if p.revision > since {
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

// LiveCount returns the number of instances with a heartbeat within their lease.
func (r *Roster) LiveCount(now time.Duration) int {
	n := 0
	for _, h := range r.heartbeats {
		if now-h.arrived <= r.settings.Lease {
			n++
		}
	}
	return n
}

// SetEngines sets the engines whose speed is learned, and the group of equally
// fast ones that each belongs to.
func (r *Roster) SetEngines(groups map[string]string) {
	r.speeds.Keep(groups)
	r.prefillTime = 0
	seen := make(map[string]bool)
	for _, g := range groups {
		if seen[g] {
			continue
		}
		seen[g] = true
		if t := r.speeds.Group(g).PrefillTime; t > 0 && (r.prefillTime == 0 || t < r.prefillTime) {
			r.prefillTime = t
		}
	}
}

// Speed returns what is expected of an engine.
func (r *Roster) Speed(engine string) speed.Estimate {
	return r.speeds.Estimate(engine)
}

// PrefillTime returns the mean time of a prefill at the fastest group of
// engines, or 0 if it is unknown.
func (r *Roster) PrefillTime() time.Duration { return r.prefillTime }

// PlacingCount returns the number of live instances that need the loads of
// others.
func (r *Roster) PlacingCount(now time.Duration) int {
	n := 0
	for _, h := range r.heartbeats {
		if h.placing && now-h.arrived <= r.settings.Lease {
			n++
		}
	}
	return n
}
