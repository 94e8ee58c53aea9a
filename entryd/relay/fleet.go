package relay

import (
	"slices"
	"sync"
	"time"

	"verbenahaven.example/core/conn/delta"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/notice"
	"verbenahaven.example/core/request/origin"
	"verbenahaven.example/core/request/pace"
	"verbenahaven.example/core/request/peers"
	"verbenahaven.example/core/request/place"
	"verbenahaven.example/core/request/reach"
	"verbenahaven.example/core/request/retry"
	"verbenahaven.example/core/request/sched"
	"verbenahaven.example/core/request/speed"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
)

// speedInterval is the least time between two reports of the observed speeds of
// engines: they change with an engine's condition, not with its load.
const speedInterval = 500 * time.Millisecond

// Fleet is an instance's view of the backend servers, safe for concurrent use:
// the current state version, request placement, the retry budget, and the
// requests in flight.
type Fleet struct {
	name       string
	centre     string
	broker     Broker
	meter      *meter.Registry
	clock      clock.Clock
	setKeepers func(keepers []string) // see NewFleet
	path       *path

	mutex             sync.Mutex
	snapshot          *view.Snapshot
	newSnapshot       chan struct{}    // closed and replaced with each snapshot
	local             *sched.Scheduler // for all of the data centre if this instance is its broker, else while the broker is silent
	delegate          sched.Delegate
	servers           *place.Servers
	limits            *pace.Table
	notices           *notice.Table
	leaving           map[string]bool      // servers that say that they are leaving, as the placement knows them
	limitsTold        map[string]time.Time // last message to the broker, by limited server
	engineNames       map[string]string    // of snapshot, by URL
	serving           []state.Member       // of snapshot; kept, since limits are looked up for each request
	isBroker          bool
	origins           *origin.Table
	builds            *origin.Builds
	budget            *retry.SharedBudget
	requestsByVersion map[uint64]int // running requests by the version they began under
	inFlight          map[string]int // generations by engine
	peers             *peers.Chooser
	losses            lossReports
	evidence          pathEvidence // nil for none
	pickCount         uint64       // picks of plain servers, for round robin
	lastReply         time.Time    // last heartbeat reply of the leader
	confirmed         confirmations
	otherWork         *delta.Receiver[proto.EngineWork]
	reportRevision    uint64    // newest known revision of the load reports
	refetchReports    bool      // reports of then unknown engines may have been dropped
	speedsSent        time.Time // last call of Speeds that returned them
	gaps              *speed.Gaps
	gapNews           uint64 // number of slowdowns and recoveries told to brokers
}

// NewFleet returns a fleet at state version 0 for an instance in a data centre.
// setKeepers is called with the link addresses of the instances that store the
// state, as the leader reports them.
func NewFleet(
	name, centre string, budget *retry.SharedBudget, broker Broker, m *meter.Registry, c clock.Clock, setKeepers func(keepers []string),
) *Fleet {
	f := &Fleet{
		name:              name,
		centre:            centre,
		broker:            broker,
		meter:             m,
		clock:             c,
		setKeepers:        setKeepers,
		path:              newPath(reach.NewPools(), c),
		peers:             peers.New(name, centre),
		snapshot:          view.New().Current(),
		newSnapshot:       make(chan struct{}),
		local:             sched.New(centre),
		otherWork:         delta.NewReceiver(proto.WorkEngine),
		servers:           place.NewServers(centre),
		origins:           origin.NewTable(),
		builds:            origin.NewBuilds(),
		budget:            budget,
		requestsByVersion: make(map[uint64]int),
		inFlight:          make(map[string]int),
		gaps:              speed.NewGaps(),
		confirmed:         newConfirmations(),
	}
	f.notices = notice.New(name)
	f.limits, f.limitsTold = pace.New(f.limitShare), make(map[string]time.Time)
	f.local.SetLimits(f.limits)
	f.servers.SetLimits(f.limits)
	return f
}

// SetSnapshot makes a newer state version current. An older one is a programming
// error and panics.
func (f *Fleet) SetSnapshot(snapshot *view.Snapshot) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := f.clock.Now()
	if snapshot.Version() < f.snapshot.Version() {
		panic("relay: state version must not decrease")
	}
	f.snapshot = snapshot
	close(f.newSnapshot)
	f.newSnapshot = make(chan struct{})
	f.refetchReports = true
	f.updateStarts()
	f.leaving = f.notices.AllLeaving(now)
	f.updateServers()
	f.path.setServers(snapshot)
	broker, found := sched.Broker(snapshot.LiveEntries(), f.centre)
	f.updateSenders(found && broker.Name == f.name)
	f.local.SetBroker(f.isBroker)
	if !found || broker.Name == f.name {
		broker.LinkAddress = ""
	}
	f.delegate.SetBroker(broker.LinkAddress)
	if mixed := f.builds.Update(now, snapshot.Version(), snapshot.Engines(), snapshot.AllServers()); len(mixed) > 0 {
		f.tellOrigins(f.origins.Begun(now, mixed))
	}
}

// SetDispatchGuard does nothing: an isolated instance goes on with the state that
// it has.
func (f *Fleet) SetDispatchGuard(func() bool) {}

// Sweep does nothing: an engine that is leaving finishes its streams.
func (f *Fleet) Sweep(time.Time) {}

// BeginRequest counts a request under the current state version. It returns that
// version and a function to be called when the request ends.
func (f *Fleet) BeginRequest() (*view.Snapshot, func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	s := f.snapshot
	f.requestsByVersion[s.Version()]++
	return s, func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if f.requestsByVersion[s.Version()]--; f.requestsByVersion[s.Version()] == 0 {
			delete(f.requestsByVersion, s.Version())
		}
	}
}

// isServing reports whether an engine may take new requests.
func (f *Fleet) isServing(name string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	e, found := f.engine(name)
	return found && e.Phase == state.PhaseServing
}

// Snapshot returns the current state version.
func (f *Fleet) Snapshot() *view.Snapshot {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.snapshot
}

// Ready reports whether a routing table and at least one backend server are
// known.
func (f *Fleet) Ready() bool {
	s := f.Snapshot()
	return s.Routing() != nil && (len(s.Engines()) > 0 || len(s.AllServers()) > 0)
}

// Versions returns the current state version, and the newest version before
// which no running request began.
func (f *Fleet) Versions() (current, settled uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	settled = f.snapshot.Version()
	for version := range f.requestsByVersion {
		settled = min(settled, version)
	}
	return f.snapshot.Version(), settled
}

// InFlight returns the number of this instance's requests at each engine that
// isn't in the serving phase.
func (f *Fleet) InFlight() map[string]uint32 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	list := make(map[string]uint32)
	for name, n := range f.inFlight {
		if e, ok := f.snapshot.Engine(name); ok && e.Phase != state.PhaseServing {
			list[name] = uint32(n)
		}
	}
	return list
}

// Digest returns the demand since the last call, as rates over the interval. It
// returns no load reports: the leader reads them from the engines.
func (f *Fleet) Digest(interval time.Duration) ([]proto.Demand, []proto.Report) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.countLengths()
	return f.local.TakeDemand(interval), nil
}

// countLengths counts how the lengths of answers compare with the predicted ones.
// The caller holds the mutex.
func (f *Fleet) countLengths() {
	e := f.local.TakeLengthErrors()
	f.meter.Add(int64(e.Near), "length", "near")
	f.meter.Add(int64(e.Shorter), "length", "shorter")
	f.meter.Add(int64(e.Longer), "length", "longer")
	f.meter.Add(int64(e.AboveHigh), "length", "above_high")
	f.meter.Add(int64(e.Predicted), "length", "predicted")
	f.meter.Add(int64(e.Observed), "length", "observed")
}

// OwnWork returns the work at the engines that was scheduled here.
func (f *Fleet) OwnWork() []proto.EngineWork {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.local.OutstandingWork(f.clock.Now())
}

// Delegates reports whether another instance schedules the generations, so that
// this one needs no loads.
func (f *Fleet) Delegates() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.delegate.Relies()
}

// ApplyReply applies the leader's reply to a heartbeat. After a new state version
// all load reports are requested again, since those of engines that weren't
// known before were dropped.
func (f *Fleet) ApplyReply(now time.Time, reply proto.HeartbeatReply) {
	f.setKeepers(reply.KeeperAddresses)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lastReply = now
	if f.reportRevision = reply.ReportsRevision; f.refetchReports {
		f.reportRevision, f.refetchReports = 0, false
	}
	for i := range reply.Reports {
		reply.Reports[i].At = now.Add(-reply.Reports[i].Age)
	}
	f.local.ApplyReports(now, reply.Reports, f.otherWork.Apply(delta.Change[proto.EngineWork]{
		Base: reply.WorkBase, Revision: reply.WorkRevision, Items: reply.OtherWork, Gone: reply.WorkGone,
	}))
	f.limits.Learn(now, reply.Limits)
	f.learnNotices(now, reply.Notices)
	f.builds.Learn(now, reply.Version, reply.FormerBuilds)
	f.observeFleet(reply.Version)
}

// observeFleet tells the retry budget how many instances there are, if all that the leader
// knew when it replied is known here. The caller holds the mutex.
func (f *Fleet) observeFleet(version uint64) {
	if f.snapshot.Version() < version {
		return
	}
	live := f.snapshot.LiveEntries()
	member := uint64(0)
	for _, m := range live {
		if m.Name == f.name {
			member = m.Version
		}
	}
	f.budget.ObserveFleet(f.clock.Elapsed(), member, len(live))
}

// Revisions returns the newest revisions of the load reports and of others' work that are known
// here, or 0 to request all of them.
func (f *Fleet) Revisions() (reports, work uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.reportRevision, f.otherWork.Revision()
}

// reportAge returns the time since the leader's last reply, which carries the
// engines' loads.
func (f *Fleet) reportAge(now time.Time) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return now.Sub(f.lastReply)
}

// SetRetryBudget changes the bounds of the retry budget.
func (f *Fleet) SetRetryBudget(window time.Duration, ratio, slack float64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.budget.SetLimits(window, ratio, slack)
}

// Speeds returns what was observed of the engines' speeds since the last call
// that returned any, at most once per speedInterval.
func (f *Fleet) Speeds(now time.Time) []proto.EngineSpeed {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if now.Sub(f.speedsSent) < speedInterval {
		return nil
	}
	f.speedsSent = now
	return f.local.TakeSpeeds()
}

// pickServer chooses a plain server and counts a request there. release removes it
// again; answered says whether the server ran it to its end.
func (f *Fleet) pickServer(
	now time.Time, pool, route string, avoid []string, build *string,
) (s state.Server, release func(answered bool), err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.pickCount++
	id := f.pickCount
	avoid = append(slices.Clone(avoid), f.notices.Waiting(now)...)
	s, err = f.servers.Pick(now, pool, route, avoid, build, id)
	if err != nil {
		return s, nil, err //nolint:wrapcheck // the error names the pool
	}
	return s, func(answered bool) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.servers.RecordDone(f.clock.Now(), s.Name, id, answered)
	}, nil
}

// recordServerLoss records that a plain server couldn't be reached or broke the
// connection.
func (f *Fleet) recordServerLoss(now time.Time, name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.servers.RecordLoss(now, name)
}

// recordServerRejection records that a plain server turned a request away.
func (f *Fleet) recordServerRejection(now time.Time, name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.servers.RecordRejection(now, name)
}

// recordServerAnswer records that a plain server answered; ok is false for an
// answer that reports a failure.
func (f *Fleet) recordServerAnswer(now time.Time, name string, ok bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.servers.RecordAnswer(now, name, ok)
}
