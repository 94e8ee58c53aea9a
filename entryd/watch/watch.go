// Package watch replicates the cluster state to an entry instance by long polls.
// The instances form a distribution tree below the keepers, so the leader
// doesn't have to send every change to every instance.
package watch

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/process/pace"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
)

const (
	// watchTimeout is how long a long poll waits for a change. Each level of
	// the tree adds up to this much to the age of the state.
	watchTimeout  = 300 * time.Millisecond
	replySlack    = 500 * time.Millisecond // for the reply to arrive
	parentBackoff = 5 * time.Second        // during which a failed parent is not used
	// retryPause is the mean pause after the first failed poll of a keeper, which grows to
	// maxRetryPause, and the pause between checks while heartbeats bring the state.
	retryPause    = 100 * time.Millisecond
	maxRetryPause = 800 * time.Millisecond
	maxParentLag  = time.Second // after which a parent that lacks the newest version is left
)

// Settings configures the distribution tree and the staleness limit.
type Settings struct {
	Name       string
	Fanout     int
	StaleAfter time.Duration
}

// Subscriber receives new versions of the state.
type Subscriber interface {
	// SetSnapshot makes a newer state version current.
	SetSnapshot(s *view.Snapshot)
	// SetDispatchGuard sets a condition that is checked whenever work is given to
	// a backend server: while it is false, none is given.
	SetDispatchGuard(f func() bool)
}

// Watch keeps the local copy of the state up to date.
type Watch struct {
	settings   Settings
	store      *view.Store
	keeper     proto.Keeper
	subscriber Subscriber
	meter      *meter.Registry
	clock      clock.Clock
	peers      *peers

	applying         sync.Mutex // held while a state is stored and handed over, so that states are handed over in order
	mutex            sync.Mutex
	hasState         bool          // a state has been received
	currentAt        time.Duration // elapsed time at which the state was last known to be current
	confirmedAt      time.Duration // the same, with the time that the news took on its last hop
	leader           string
	source           string
	newestVersion    uint64        // newest version named in a heartbeat reply
	newestVersionAt  time.Duration // elapsed time at which newestVersion was received
	avoidParentUntil time.Duration // elapsed time before which no parent is used
	heartbeatAt      time.Duration // elapsed time at which a heartbeat last brought the state
	needFullView     bool          // a delta didn't apply: request the full state
}

// New returns a watch and a function that closes its connections.
func New(
	s Settings, v *view.Store, k proto.Keeper, g Subscriber, t *tls.Config, m *meter.Registry, c clock.Clock,
) (*Watch, func()) {
	w := &Watch{settings: s, store: v, keeper: k, subscriber: g, meter: m, clock: c, peers: newPeers(t)}
	g.SetDispatchGuard(func() bool { return !w.Isolated(c.Elapsed()) })
	return w, w.peers.close
}

// Register adds the handler for the children of this instance.
func (w *Watch) Register(s *link.Server) {
	link.Handle(s, proto.KindWatch, w.serveWatch)
}

// serveWatch answers the long poll of a child, or of another instance whose
// state is old.
func (w *Watch) serveWatch(ctx context.Context, _ string, r proto.WatchRequest) (proto.WatchReply, error) {
	timer := time.NewTimer(min(r.MaxWait, watchTimeout))
	defer timer.Stop()
	for {
		changed := w.store.Changed()
		s := w.store.Current()
		if s.Version() > r.AfterVersion {
			return w.reply(s.View(r.AfterVersion)), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return w.reply(state.View{Version: s.Version(), Since: s.Version()}), nil
		case <-ctx.Done():
			return proto.WatchReply{}, ctx.Err() //nolint:wrapcheck // the server is closing
		}
	}
}

func (w *Watch) reply(v state.View) proto.WatchReply {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return proto.WatchReply{View: v, Leader: w.leader, Age: w.clock.Elapsed() - w.currentAt}
}

// heartbeatFreshness is how long polls are skipped after a heartbeat brought the
// state.
const heartbeatFreshness = 700 * time.Millisecond

// ApplyHeartbeat applies the state changes that came with a heartbeat reply.
func (w *Watch) ApplyHeartbeat(v state.View) {
	w.apply(proto.WatchReply{View: v}, "leader", 0) // MarkCurrent confirms it
}

// MarkCurrent records that the leader's heartbeat reply held all changes, up to a
// version, so the state is current. sent is the elapsed time at which the heartbeat was
// sent.
func (w *Watch) MarkCurrent(sent time.Duration, version uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.heartbeatAt = w.clock.Elapsed()
	w.currentAt = max(w.currentAt, sent)
	if w.store.Current().Version() >= version {
		w.confirmedAt = max(w.confirmedAt, sent)
	}
}

// SinceConfirmed returns the time since the state was certainly current. Unlike Age it
// counts the time from a request to its reply, since the state may have changed
// meanwhile.
func (w *Watch) SinceConfirmed() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.clock.Elapsed() - w.confirmedAt
}

func (w *Watch) recentHeartbeat() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.heartbeatAt > 0 && w.clock.Elapsed()-w.heartbeatAt < heartbeatFreshness
}

// Run keeps the state up to date until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	backoff := pace.NewBackoff(retryPause, maxRetryPause)
	for ctx.Err() == nil {
		if w.recentHeartbeat() {
			clock.Sleep(ctx, retryPause)
			continue
		}
		parent, ok := w.parent()
		var err error
		if ok {
			err = w.watchPeer(ctx, parent)
		} else {
			err = w.watchKeeper(ctx)
		}
		w.recordAge()
		if err == nil {
			backoff.Reset()
			continue
		}
		w.meter.Count("watch", "failed")
		if ok {
			w.avoidParent()
			continue
		}
		backoff.Fail()
		clock.Sleep(ctx, backoff.Pause(rand.Float64()))
	}
}

// RunPeers polls other instances while the state is older than peerPollAge,
// until ctx ends.
func (w *Watch) RunPeers(ctx context.Context) {
	for ctx.Err() == nil {
		if w.Age() > peerPollAge {
			w.peers.pollSample(ctx, w)
		}
		clock.Sleep(ctx, peerPollPeriod)
	}
}

// parent returns the instance that this one polls. Without a parent, or for a
// while after the last one failed, it polls the keepers.
func (w *Watch) parent() (state.Member, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.clock.Elapsed() < w.avoidParentUntil {
		return state.Member{}, false
	}
	return Parent(w.store.Current().LiveEntries(), w.settings.Name, w.settings.Fanout)
}

// Parent returns an instance's parent in the tree over the sorted instances. The
// first is the root and has none; each has up to fanout children.
func Parent(entries []state.Member, name string, fanout int) (state.Member, bool) {
	for i, m := range entries {
		if m.Name == name && i > 0 {
			return entries[(i-1)/fanout], true
		}
	}
	return state.Member{}, false
}

func (w *Watch) avoidParent() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.avoidParentUntil = w.clock.Elapsed() + parentBackoff
	w.meter.Count("watch", "fallback")
}

func (w *Watch) request(wait time.Duration) proto.WatchRequest {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	r := proto.WatchRequest{Name: w.settings.Name, AfterVersion: w.store.Current().Version(), MaxWait: wait}
	if w.needFullView {
		r.AfterVersion = 0
	}
	return r
}

func (w *Watch) watchKeeper(ctx context.Context) error {
	sent := w.clock.Elapsed()
	r, err := w.keeper.Watch(ctx, w.request(watchTimeout))
	if err != nil {
		return err //nolint:wrapcheck // only counted
	}
	w.apply(r, "keeper", sent)
	return nil
}

var errParentBehind = errors.New("the parent's state is out of date")

func (w *Watch) watchPeer(ctx context.Context, m state.Member) error {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout+replySlack)
	defer cancel()
	sent := w.clock.Elapsed()
	r, err := w.peers.watch(ctx, m, w.request(watchTimeout))
	if err != nil {
		return err
	}
	w.apply(r, m.Name, sent)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.store.Current().Version() < w.newestVersion && w.clock.Elapsed()-w.newestVersionAt > maxParentLag {
		return errParentBehind
	}
	if r.Age > w.settings.StaleAfter {
		return errParentBehind
	}
	return nil
}

// apply stores a received view, asked for at the elapsed time sent. A view of the same
// version only updates the age of the state; an older one is ignored.
func (w *Watch) apply(r proto.WatchReply, source string, sent time.Duration) {
	w.applying.Lock()
	defer w.applying.Unlock()
	have := w.store.Current().Version()
	if r.View.Version < have {
		w.meter.Count("watch", "older")
		return
	}
	if r.View.Version > have {
		err := w.store.Apply(r.View)
		w.mutex.Lock()
		w.needFullView = errors.Is(err, view.ErrGap)
		w.mutex.Unlock()
		if err != nil {
			w.meter.Count("watch", "refused")
			return
		}
		if have == 0 {
			w.recordSource(r, source, sent) // else it takes no work by the first state
		}
		w.subscriber.SetSnapshot(w.store.Current())
		w.meter.Set(int64(r.View.Version), "version")
	}
	w.recordSource(r, source, sent)
}

// recordSource records where the state was received from and when it was current.
func (w *Watch) recordSource(r proto.WatchReply, source string, sent time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.hasState {
		klog.InfoS("state in force", "version", r.View.Version, "from", source)
	}
	// A reply that arrives later than that was held up, or this process stood still.
	arrived := min(w.clock.Elapsed(), sent+watchTimeout)
	w.currentAt = max(w.currentAt, arrived-r.Age)
	w.confirmedAt = max(w.confirmedAt, sent-r.Age)
	w.hasState, w.source = true, source
	if r.Leader != "" {
		w.leader = r.Leader
	}
}

// SetNewestVersion records the version that the leader named in a heartbeat
// reply.
func (w *Watch) SetNewestVersion(version uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if version > w.newestVersion {
		w.newestVersion, w.newestVersionAt = version, w.clock.Elapsed()
	}
}

// Age returns the time since the state was last known to be current.
func (w *Watch) Age() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.clock.Elapsed() - w.currentAt
}

// Stale reports whether the state is older than the limit in the settings.
// Requests that are served meanwhile are counted as stale.
func (w *Watch) Stale() bool {
	return w.Age() > w.settings.StaleAfter
}

// Leader returns the name of the last known leader.
func (w *Watch) Leader() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.leader
}

// Source returns the origin of the last received state: "leader", "keeper",
// "peer" or the name of the parent.
func (w *Watch) Source() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.source
}

func (w *Watch) recordAge() {
	w.meter.Set(w.Age().Milliseconds(), "age_ms")
}
