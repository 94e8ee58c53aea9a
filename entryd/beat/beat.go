// Package beat sends an entry instance's heartbeats.
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
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
	"verbenahaven.example/entryd/watch"
)

const (
	period  = 500 * time.Millisecond
	hurried = 100 * time.Millisecond // while a change waits for requests here
	timeout = time.Second
)

// Holder names this start of the instance. Heartbeats carry it, so that the
// run-once calls of an earlier start are known to be lost.
type Holder string

// Traffic is what heartbeats tell of an instance, and what they bring to it.
type Traffic interface {
	// Sweep does what is due at an instant.
	Sweep(now time.Time)
	// Versions returns the version in force and the newest of which no older
	// request still runs.
	Versions() (current, settled uint64)
	// InFlight counts own requests at backend servers that aren't serving.
	InFlight() map[string]uint32
	// Digest returns demand and load reports after an interval.
	Digest(passed time.Duration) ([]proto.Demand, []proto.Report)
	// Loads returns own work at the engines.
	Loads() []proto.Share
	// Seen returns the newest revision of the reports that is known here.
	Seen() uint64
	// Heard takes what the leader told.
	Heard(now time.Time, r proto.BeatReply)
}

// Beat sends heartbeats.
type Beat struct {
	keeper  proto.Keeper
	traffic Traffic
	watch   *watch.Watch
	store   *view.Store
	meter   *meter.Registry
	clock   clock.Clock
	now     chan struct{}

	holder Holder

	mutex  sync.Mutex
	every  time.Duration
	member state.Member
	left   bool          // all live instances know that this one is leaving
	until  time.Duration // end of the lease, on the clock
	last   time.Duration
	up     bool
}

// New returns heartbeats for a member.
func New(
	m state.Member, h Holder, k proto.Keeper, g Traffic, w *watch.Watch, v *view.Store, r *meter.Registry, c clock.Clock,
) *Beat {
	return &Beat{
		keeper: k, traffic: g, every: period, watch: w, store: v, meter: r, clock: c, holder: h, member: m, now: make(chan struct{}, 1), last: c.Elapsed(),
	}
}

// Every sets the time between heartbeats.
func (b *Beat) Every(period time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.every = period
}

func (b *Beat) period() time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.every
}

// Leave makes all further heartbeats say that the instance is leaving.
func (b *Beat) Leave() {
	b.mutex.Lock()
	b.member.Phase = state.PhaseLeaving
	b.mutex.Unlock()
	select {
	case b.now <- struct{}{}:
	default:
	}
}

// Left tells whether all live instances know that this one is leaving, so that
// none gives its address any more.
func (b *Beat) Left() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.left
}

// Current tells whether this instance holds its lease. Without it, the others
// may leave without waiting for this one to know.
func (b *Beat) Current() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.clock.Elapsed() < b.until
}

// Run sends heartbeats until ctx ends: regularly, and at once when another
// version has come into force, since a planned change waits for that.
func (b *Beat) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := b.store.Changed()
		b.traffic.Sweep(b.clock.Now())
		wait := b.send(ctx)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-b.now:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// send sends one heartbeat and returns the time until the next.
func (b *Beat) send(ctx context.Context) time.Duration {
	r := b.request()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := b.clock.Elapsed()
	reply, err := b.keeper.Beat(ctx, r)
	b.note(err)
	if err != nil {
		return hurried
	}
	if len(reply.News) > 0 {
		var v state.View
		if err := codec.Unpack(reply.News, &v); err != nil {
			b.meter.Count("beat", "bad_news")
			klog.ErrorS(err, "news not read")
			return hurried
		}
		b.watch.Feed(v)
	}
	if reply.Every > 0 {
		b.watch.Fed()
		b.Every(reply.Every)
	}
	b.watch.Told(reply.Version)
	b.traffic.Heard(b.clock.Now(), reply)
	b.mutex.Lock()
	b.left = reply.Phase == state.PhaseLeaving && reply.Settled
	b.until = sent + reply.Lease
	b.mutex.Unlock()
	if r.Settled < r.Version || len(r.InFlight) > 0 {
		return min(hurried, b.period())
	}
	return b.period()
}

func (b *Beat) request() proto.BeatRequest {
	b.mutex.Lock()
	m := b.member
	passed := b.clock.Elapsed() - b.last
	b.last += passed
	b.mutex.Unlock()
	r := proto.BeatRequest{Member: m, Holder: string(b.holder)}
	r.Version, r.Settled = b.traffic.Versions()
	r.InFlight = b.traffic.InFlight()
	r.Demand, r.Reports = b.traffic.Digest(passed)
	r.Loads, r.Seen = b.traffic.Loads(), b.traffic.Seen()
	return r
}

func (b *Beat) note(err error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if err != nil {
		b.meter.Count("beat", "failed")
	}
	if up := err == nil; up != b.up {
		b.up = up
		klog.InfoS("control connection", "up", up, "err", err)
	}
}
