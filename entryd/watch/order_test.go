package watch

import (
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
)

// slowSubscriber takes a while for each state, and notes those that came out of order.
type slowSubscriber struct {
	mutex   sync.Mutex
	version uint64
	older   int
}

func (s *slowSubscriber) SetDispatchGuard(func() bool) {}

func (s *slowSubscriber) SetSnapshot(v *view.Snapshot) {
	time.Sleep(time.Duration(v.Version()%2) * time.Millisecond) // the older one of a pair waits
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if v.Version() < s.version {
		s.older++
	}
	s.version = v.Version()
}

// Two sources brought states at once, and the older one was handed over last, which ends an
// instance.
func TestStatesOfTwoSourcesAreHandedOverInOrder(t *testing.T) {
	s := &slowSubscriber{}
	w, cleanup := New(Settings{Name: "a", Fanout: 4, StaleAfter: time.Minute}, view.New(), nil, s, nil, meter.New(), clock.System())
	defer cleanup()
	for version := uint64(1); version < 200; version += 2 {
		var group sync.WaitGroup
		for _, v := range []uint64{version, version + 1} {
			group.Go(func() { w.apply(proto.WatchReply{View: state.View{Version: v}}, "x", 0) })
			time.Sleep(100 * time.Microsecond)
		}
		group.Wait()
	}
	if s.older > 0 || s.version != 200 {
		t.Errorf("%d older states handed over after newer ones, the last is %d", s.older, s.version)
	}
}
