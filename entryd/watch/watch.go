// Package watch keeps an instance's state up to date. The instances form a
// tree below those that keep the state, so that the leader doesn't have to
// send every change to everybody.
package watch

import (
	"context"
	"crypto/tls"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
)

const (
	// hold is how long a watch waits for news. Each level of the tree adds as
	// much to the age of the state.
	hold     = 300 * time.Millisecond
	slack    = 500 * time.Millisecond // for the answer to travel
	fallback = 5 * time.Second        // away from a parent that failed
	pause    = 100 * time.Millisecond // after a failed watch
	behind   = time.Second            // a parent may lag so long
)

// Settings shape the tree.
type Settings struct {
	Name   string
	Fanout int
	Stale  time.Duration
}

// Subject is what the state is followed for.
type Subject interface {
	// Enforce puts a newer version in force.
	Enforce(s *view.Snapshot)
	// Guard sets what must hold whenever work is given to a backend server.
	Guard(f func() bool)
}

// Watch follows the state.
type Watch struct {
	settings Settings
	store    *view.Store
	keeper   proto.Keeper
	subject  Subject
	meter    *meter.Registry
	clock    clock.Clock
	peers    *peers

	mutex  sync.Mutex
	known  bool          // some state has arrived
	fresh  time.Duration // elapsed time at which the state was last known to be current
	leader string
	source string
	newest uint64        // version that the leader told in a heartbeat
	told   time.Duration // when
	avoid  time.Duration // use no parent before
	fed    time.Duration // when a heartbeat brought the state
	whole  bool          // a delta didn't fit: ask for everything
}

// New returns a watch and its clean-up.
func New(
	s Settings, v *view.Store, k proto.Keeper, g Subject, t *tls.Config, m *meter.Registry, c clock.Clock,
) (*Watch, func()) {
	w := &Watch{settings: s, store: v, keeper: k, subject: g, meter: m, clock: c, peers: newPeers(t)}
	g.Guard(func() bool { return !w.Isolated(c.Elapsed()) })
	return w, w.peers.close
}

// Register adds the handler for the children of this instance.
func (w *Watch) Register(s *link.Server) {
	link.Handle(s, proto.KindWatch, w.serve)
}

// serve answers a child, or another instance that looks for news.
func (w *Watch) serve(ctx context.Context, _ string, r proto.WatchRequest) (proto.WatchReply, error) {
	timer := time.NewTimer(min(r.Wait, hold))
	defer timer.Stop()
	for {
		changed := w.store.Changed()
		s := w.store.Current()
		if s.Version() > r.Have {
			return w.reply(s.View(r.Have)), nil
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
	return proto.WatchReply{View: v, Leader: w.leader, Age: w.clock.Elapsed() - w.fresh}
}

// feedLife is how long the state needn't be asked for after a heartbeat brought
// it.
const feedLife = 700 * time.Millisecond

// Feed takes what changed in the state from a reply to a heartbeat.
func (w *Watch) Feed(v state.View) {
	w.take(proto.WatchReply{View: v}, "leader")
}

// Fed tells that the leader answered a heartbeat with all that was new.
func (w *Watch) Fed() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.fed = w.clock.Elapsed()
	w.fresh = w.fed
}

func (w *Watch) isFed() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.fed > 0 && w.clock.Elapsed()-w.fed < feedLife
}

// Run follows the state until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.isFed() {
			clock.Sleep(ctx, pause)
			continue
		}
		parent, ok := w.parent()
		var err error
		if ok {
			err = w.askPeer(ctx, parent)
		} else {
			err = w.askKeeper(ctx)
		}
		w.note()
		if err == nil {
			continue
		}
		w.meter.Count("watch", "failed")
		if ok {
			w.leaveParent()
			continue
		}
		clock.Sleep(ctx, pause)
	}
}

// RunPeers looks for news at other instances while the state is old, until
// ctx ends.
func (w *Watch) RunPeers(ctx context.Context) {
	for ctx.Err() == nil {
		if w.Age() > old {
			w.peers.ask(ctx, w)
		}
		clock.Sleep(ctx, look)
	}
}

// parent returns the instance that this one watches. Without one, or while
// the last failed, it watches those that keep the state.
func (w *Watch) parent() (state.Member, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.clock.Elapsed() < w.avoid {
		return state.Member{}, false
	}
	return Parent(w.store.Current().Entries(), w.settings.Name, w.settings.Fanout)
}

// Parent finds an instance's parent in the tree over the sorted instances:
// the first has none, and each has up to fanout children.
func Parent(entries []state.Member, name string, fanout int) (state.Member, bool) {
	for i, m := range entries {
		if m.Name == name && i > 0 {
			return entries[(i-1)/fanout], true
		}
	}
	return state.Member{}, false
}

func (w *Watch) leaveParent() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.avoid = w.clock.Elapsed() + fallback
	w.meter.Count("watch", "fallback")
}

func (w *Watch) request(wait time.Duration) proto.WatchRequest {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	r := proto.WatchRequest{Name: w.settings.Name, Have: w.store.Current().Version(), Wait: wait}
	if w.whole {
		r.Have = 0
	}
	return r
}

func (w *Watch) askKeeper(ctx context.Context) error {
	r, err := w.keeper.Watch(ctx, w.request(hold))
	if err != nil {
		return err //nolint:wrapcheck // only counted
	}
	w.take(r, "keeper")
	return nil
}

var errOlder = errors.New("the parent is behind")

func (w *Watch) askPeer(ctx context.Context, m state.Member) error {
	ctx, cancel := context.WithTimeout(ctx, hold+slack)
	defer cancel()
	r, err := w.peers.watch(ctx, m, w.request(hold))
	if err != nil {
		return err
	}
	w.take(r, m.Name)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.store.Current().Version() < w.newest && w.clock.Elapsed()-w.told > behind {
		return errOlder
	}
	if r.Age > w.settings.Stale {
		return errOlder
	}
	return nil
}

// take applies what arrived. A view that isn't newer only tells how fresh the
// state is; an older one tells nothing.
func (w *Watch) take(r proto.WatchReply, source string) {
	have := w.store.Current().Version()
	if r.View.Version < have {
		w.meter.Count("watch", "older")
		return
	}
	if r.View.Version > have {
		err := w.store.Apply(r.View)
		w.mutex.Lock()
		w.whole = errors.Is(err, view.ErrGap)
		w.mutex.Unlock()
		if err != nil {
			w.meter.Count("watch", "refused")
			return
		}
		w.subject.Enforce(w.store.Current())
		w.meter.Set(int64(r.View.Version), "version")
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.known {
		klog.InfoS("state in force", "version", r.View.Version, "from", source)
	}
	w.fresh = max(w.fresh, w.clock.Elapsed()-r.Age)
	w.known, w.source = true, source
	if r.Leader != "" {
		w.leader = r.Leader
	}
}

// Told takes the version that the leader named in its reply to a heartbeat.
func (w *Watch) Told(version uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if version > w.newest {
		w.newest, w.told = version, w.clock.Elapsed()
	}
}

// Age is the time since the state was last known to be current.
func (w *Watch) Age() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.clock.Elapsed() - w.fresh
}

// Stale reports whether the state is older than the settings allow without
// counting.
func (w *Watch) Stale() bool {
	return w.Age() > w.settings.Stale
}

// Leader is the last known leader.
func (w *Watch) Leader() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.leader
}

// Source names where the state last came from.
func (w *Watch) Source() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.source
}

func (w *Watch) note() {
	w.meter.Set(w.Age().Milliseconds(), "age_ms")
}
