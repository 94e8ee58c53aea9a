// Package beat sends the heartbeats of an entry instance to the keepers. A
// heartbeat renews the membership lease, reports load and progress, and brings
// state changes back.
package beat

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/codec"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/tally"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
	"verbenahaven.example/entryd/watch"
)

const (
	defaultInterval = 500 * time.Millisecond
	urgentInterval  = 100 * time.Millisecond // after a failure, and while a planned change waits for requests on this instance
	beatTimeout     = time.Second
	flushPoll       = 20 * time.Millisecond // between two heartbeats while counts are flushed
)

// Holder identifies this run of the instance's process. Heartbeats carry it, so
// that run-once calls of an earlier run are known to be lost.
type Holder string

// Traffic supplies what heartbeats report about an instance, and takes what
// their replies bring.
type Traffic interface {
	// Sweep does periodic work that is due at the given time.
	Sweep(now time.Time)
	// Versions returns the current state version, and the newest version before
	// which no running request began.
	Versions() (current, settled uint64)
	// InFlight returns the number of this instance's requests at each backend
	// server that isn't serving.
	InFlight() map[string]uint32
	// Digest returns the demand over the interval since the last heartbeat, and
	// the load reports.
	Digest(interval time.Duration) ([]proto.Demand, []proto.Report)
	// OwnWork returns this instance's own work at the engines.
	OwnWork() []proto.EngineWork
	// Speeds returns what was observed of the engines' speeds since it last
	// returned them, if that is due.
	Speeds(now time.Time) []proto.EngineSpeed
	// Limits returns what was heard of backend servers' limits and the leader may not have.
	Limits(now time.Time) []proto.ServerLimit
	// Notices returns what backend servers said of themselves and the leader may not have.
	Notices(now time.Time) []proto.ServerNotice
	// MarkReported records that the leader has what Limits and Notices returned at a time.
	MarkReported(taken time.Time)
	// Delegates reports whether another instance schedules the generations, so
	// that this one needs no loads.
	Delegates() bool
	// Revisions returns the newest known revisions of the reports and of others' work.
	Revisions() (reports, work uint64)
	// ApplyReply takes the leader's reply.
	ApplyReply(now time.Time, r proto.HeartbeatReply)
	// MarkCurrent records that a reply that was applied held all changes of the state,
	// up to a version. sent is the elapsed time at which the heartbeat was sent.
	MarkCurrent(sent time.Duration, version uint64)
}

// Beat sends heartbeats.
type Beat struct {
	keeper  proto.Keeper
	traffic Traffic
	watch   *watch.Watch
	store   *view.Store
	meter   *meter.Registry
	clock   clock.Clock
	sendNow chan struct{}

	holder Holder
	usage  *tally.Tally // nil if usage isn't counted

	mutex             sync.Mutex
	heartbeatInterval time.Duration
	member            state.Member
	leaveConfirmed    bool          // all live instances know that this one is leaving
	leaseEnd          time.Duration // elapsed time at which the lease ends
	lastDigest        time.Duration
	connected         bool
}

// New returns a heartbeat sender for a member.
func New(
	m state.Member, h Holder, k proto.Keeper, g Traffic, w *watch.Watch, v *view.Store, r *meter.Registry, c clock.Clock,
) *Beat {
	return &Beat{
		keeper: k, traffic: g, heartbeatInterval: defaultInterval, watch: w, store: v, meter: r, clock: c, holder: h, member: m, sendNow: make(chan struct{}, 1), lastDigest: c.Elapsed(),
	}
}

// ReportUsage makes heartbeats carry what a tally counts. It must be called before Run.
func (b *Beat) ReportUsage(t *tally.Tally) { b.usage = t }

// FlushUsage sends heartbeats until the leader has all that was counted, or ctx ends.
func (b *Beat) FlushUsage(ctx context.Context) {
	for b.usage.Unsent() > 0 && ctx.Err() == nil {
		b.wake()
		clock.Sleep(ctx, flushPoll)
	}
}

// SetInterval sets the time between heartbeats.
func (b *Beat) SetInterval(period time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.heartbeatInterval = period
}

func (b *Beat) interval() time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.heartbeatInterval
}

// Leave makes all further heartbeats say that the instance is leaving.
func (b *Beat) Leave() {
	b.mutex.Lock()
	b.member.Phase = state.PhaseLeaving
	b.mutex.Unlock()
	b.wake()
}

// wake makes Run send a heartbeat at once.
func (b *Beat) wake() {
	select {
	case b.sendNow <- struct{}{}:
	default:
	}
}

// LeaveConfirmed reports whether all live instances know that this one is
// leaving, so that none lists its address any more.
func (b *Beat) LeaveConfirmed() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.leaveConfirmed
}

// HoldsLease reports whether this instance holds its lease. Without it, other
// instances may leave without waiting for this one to learn of it.
func (b *Beat) HoldsLease() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.clock.Elapsed() < b.leaseEnd
}

// Run sends heartbeats until ctx ends: at regular intervals, and at once when a
// new state version arrives, since a planned change waits for that.
func (b *Beat) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := b.store.Changed()
		b.traffic.Sweep(b.clock.Now())
		wait := b.send(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-b.sendNow:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// send sends one heartbeat and returns the time until the next.
func (b *Beat) send(ctx context.Context) time.Duration {
	taken := b.clock.Now()
	r := b.request(taken)
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	sent := b.clock.Elapsed()
	b.usage.Fill(sent, b.clock.Now(), &r)
	if dropped := b.usage.TakeDropped(); dropped > 0 {
		b.meter.Add(int64(dropped), "usage", "dropped")
	}
	reply, err := b.keeper.Heartbeat(ctx, r)
	b.recordResult(err)
	if err != nil {
		return urgentInterval
	}
	b.traffic.MarkReported(taken)
	if len(reply.Delta) > 0 {
		var v state.View
		if err := codec.Unpack(reply.Delta, &v); err != nil {
			b.meter.Count("beat", "bad_news")
			klog.ErrorS(err, "decode state changes of a heartbeat reply")
			return urgentInterval
		}
		b.watch.ApplyHeartbeat(v)
	}
	b.watch.SetNewestVersion(reply.Version)
	b.usage.Apply(b.clock.Elapsed(), &reply)
	b.traffic.ApplyReply(b.clock.Now(), reply)
	if reply.Interval > 0 {
		b.watch.MarkCurrent(sent, reply.Version)
		b.traffic.MarkCurrent(sent, reply.Version)
		b.SetInterval(reply.Interval)
	}
	b.mutex.Lock()
	b.leaveConfirmed = reply.Phase == state.PhaseLeaving && reply.LeavingApplied
	b.leaseEnd = sent + reply.Lease
	b.mutex.Unlock()
	if r.DrainedVersion < r.Version || len(r.InFlight) > 0 {
		return min(urgentInterval, b.interval())
	}
	return b.interval()
}

func (b *Beat) request(now time.Time) proto.HeartbeatRequest {
	b.mutex.Lock()
	m := b.member
	passed := b.clock.Elapsed() - b.lastDigest
	b.lastDigest += passed
	b.mutex.Unlock()
	r := proto.HeartbeatRequest{Member: m, Holder: string(b.holder)}
	r.Version, r.DrainedVersion = b.traffic.Versions()
	r.InFlight = b.traffic.InFlight()
	r.Demand, r.Reports = b.traffic.Digest(passed)
	r.OwnWork = b.traffic.OwnWork()
	r.ReportsRevision, r.WorkRevision = b.traffic.Revisions()
	r.Speeds, r.Delegates = b.traffic.Speeds(now), b.traffic.Delegates()
	r.Limits = b.traffic.Limits(now)
	r.Notices = b.traffic.Notices(now)
	return r
}

func (b *Beat) recordResult(err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if err != nil {
		b.meter.Count("beat", "failed")
	}
	if up := err == nil; up != b.connected {
		b.connected = up
		klog.InfoS("control connection", "up", up, "err", err)
	}
}
