package watch_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
	"verbenahaven.example/entryd/watch"
)

// setClock shows the time that the test sets.
type setClock struct{ elapsed time.Duration }

func (c *setClock) Now() time.Time         { return time.Unix(0, 0).Add(c.elapsed) }
func (c *setClock) Elapsed() time.Duration { return c.elapsed }

type noSubscriber struct{}

func (noSubscriber) SetSnapshot(*view.Snapshot)   {}
func (noSubscriber) SetDispatchGuard(func() bool) {}

// slowKeeper answers one poll, whose reply takes some time.
type slowKeeper struct {
	proto.Keeper
	clock  *setClock
	reply  proto.WatchReply
	took   time.Duration
	cancel context.CancelFunc
	asked  bool
}

func (k *slowKeeper) Watch(context.Context, proto.WatchRequest) (proto.WatchReply, error) {
	if k.asked {
		k.cancel()
		return proto.WatchReply{}, errors.New("no answer")
	}
	k.asked = true
	k.clock.elapsed += k.took
	return k.reply, nil
}

// Keys that were removed while a reply was on its way must not count as checked.
func TestConfirmationCountsFromRequest(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply proto.WatchReply
		want  time.Duration
	}{
		{"newer state", proto.WatchReply{View: state.View{Version: 5}, Age: 400 * time.Millisecond}, 600 * time.Millisecond},
		{"same state", proto.WatchReply{View: state.View{Version: 3}}, 200 * time.Millisecond},
		{"older state", proto.WatchReply{View: state.View{Version: 2}}, time.Minute + 200*time.Millisecond},
		{"state after a gap", proto.WatchReply{View: state.View{Version: 9, Since: 4}}, time.Minute + 200*time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock, store := &setClock{elapsed: time.Minute}, view.New()
			if err := store.Apply(state.View{Version: 3}); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			k := &slowKeeper{clock: clock, reply: c.reply, took: 200 * time.Millisecond, cancel: cancel}
			w, cleanup := watch.New(watch.Settings{Name: "a", Fanout: 4}, store, k, noSubscriber{}, nil, meter.New(), clock)
			defer cleanup()
			w.Run(ctx)
			if d := w.SinceConfirmed(); d != c.want {
				t.Errorf("confirmed %s ago, want %s", d, c.want)
			}
		})
	}
}

// scriptedKeeper answers polls with one view after the other, and notes what is asked for.
type scriptedKeeper struct {
	proto.Keeper
	views  []state.View
	asked  []uint64
	cancel context.CancelFunc
}

func (k *scriptedKeeper) Watch(_ context.Context, r proto.WatchRequest) (proto.WatchReply, error) {
	k.asked = append(k.asked, r.AfterVersion)
	if len(k.asked) > len(k.views) {
		k.cancel()
		return proto.WatchReply{}, errors.New("no answer")
	}
	return proto.WatchReply{View: k.views[len(k.asked)-1]}, nil
}

// A follower that had missed changes would have gone on without them, or gone back to a keeper
// that had.
func TestFollowerAsksForWhatItMissed(t *testing.T) {
	clock, store := &setClock{elapsed: time.Minute}, view.New()
	ctx, cancel := context.WithCancel(t.Context())
	k := &scriptedKeeper{cancel: cancel, views: []state.View{{Version: 3}, {Version: 9, Since: 7}, {Version: 2}, {Version: 8}, {Version: 9, Since: 8}}}
	w, cleanup := watch.New(watch.Settings{Name: "a", Fanout: 4}, store, k, noSubscriber{}, nil, meter.New(), clock)
	defer cleanup()
	w.Run(ctx)
	if want := []uint64{0, 3, 0, 0, 8, 9}; !slices.Equal(k.asked, want) || store.Current().Version() != 9 {
		t.Errorf("asked for the changes after %v, want %v; the state is %d", k.asked, want, store.Current().Version())
	}
}

// A heartbeat confirms only a state that the instance has.
func TestHeartbeatConfirmsKnownState(t *testing.T) {
	clock, store := &setClock{elapsed: time.Minute}, view.New()
	if err := store.Apply(state.View{Version: 3}); err != nil {
		t.Fatal(err)
	}
	w, cleanup := watch.New(watch.Settings{Name: "a", Fanout: 4}, store, nil, noSubscriber{}, nil, meter.New(), clock)
	defer cleanup()
	w.MarkCurrent(59*time.Second, 3)
	w.MarkCurrent(60*time.Second, 4)
	if d := w.SinceConfirmed(); d != time.Second {
		t.Errorf("confirmed %s ago, want 1s", d)
	}
}

// An instance that stood still gave work by a state that it took for current, since the reply
// to an earlier request was there when it went on.
func TestInstanceThatStoodStillIsIsolated(t *testing.T) {
	for _, took := range []time.Duration{200 * time.Millisecond, 10 * time.Second} {
		clock, store := &setClock{elapsed: time.Minute}, view.New()
		ctx, cancel := context.WithCancel(t.Context())
		k := &slowKeeper{clock: clock, reply: proto.WatchReply{View: state.View{Version: 3}}, took: took, cancel: cancel}
		w, cleanup := watch.New(watch.Settings{Name: "a", Fanout: 4}, store, k, noSubscriber{}, nil, meter.New(), clock)
		w.Run(ctx)
		isolated := w.Isolated(clock.elapsed)
		w.MarkCurrent(clock.elapsed-took, 3)
		afterHeartbeat := w.Isolated(clock.elapsed)
		cleanup()
		if want := took > time.Second; isolated != want || afterHeartbeat != want {
			t.Errorf("reply after %v: isolated %v, after a heartbeat's %v; want %v", took, isolated, afterHeartbeat, want)
		}
	}
}

// readySubscriber asks whether the instance is isolated as soon as it has a state.
type readySubscriber struct {
	isolated func() bool
	refused  bool
}

func (s *readySubscriber) SetSnapshot(*view.Snapshot) { s.refused = s.isolated() }
func (s *readySubscriber) SetDispatchGuard(allowed func() bool) {
	s.isolated = func() bool { return !allowed() }
}

// An instance that had just started refused its first calls as cut off.
func TestFirstStateIsInForceAtOnce(t *testing.T) {
	clock, s := &setClock{elapsed: time.Minute}, &readySubscriber{}
	ctx, cancel := context.WithCancel(t.Context())
	k := &slowKeeper{clock: clock, reply: proto.WatchReply{View: state.View{Version: 3}}, cancel: cancel}
	w, cleanup := watch.New(watch.Settings{Name: "a", Fanout: 4}, view.New(), k, s, nil, meter.New(), clock)
	defer cleanup()
	if w.Run(ctx); s.refused {
		t.Error("the instance has a state and counts as isolated")
	}
}
