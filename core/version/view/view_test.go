package view_test

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
)

// history is the reference: the engines and their tombstones at each version of
// a changing state.
type history struct {
	engines []map[string]state.Engine
	removed []map[string]uint64
}

func (h *history) view(version, since uint64) state.View {
	v := state.View{Version: version, Since: since}
	for _, e := range h.engines[version] {
		if e.Version > since {
			v.Engines = append(v.Engines, e)
		}
	}
	if since == 0 {
		return v
	}
	for name, at := range h.removed[version] {
		if at > since {
			v.Removed = append(v.Removed, state.Tombstone{Noun: state.NounEngine, Name: name, Version: at})
		}
	}
	return v
}

// Snapshots and deltas may arrive in any order, from the leader's state or from
// another follower. After each the store must hold exactly the objects of its
// current version, and the version must never decrease.
func TestFollowersHoldExactState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{engines: []map[string]state.Engine{{}}, removed: []map[string]uint64{{}}}
		for version := uint64(1); version <= 30; version++ {
			engines, removed := map[string]state.Engine{}, map[string]uint64{}
			for k, v := range h.engines[version-1] {
				engines[k] = v
			}
			for k, v := range h.removed[version-1] {
				removed[k] = v
			}
			name := fmt.Sprint("e", rapid.IntRange(0, 4).Draw(t, "engine"))
			if _, ok := engines[name]; ok && rapid.Bool().Draw(t, "remove") {
				delete(engines, name)
				removed[name] = version
			} else {
				engines[name] = state.Engine{Name: name, Version: version}
				delete(removed, name)
			}
			h.engines, h.removed = append(h.engines, engines), append(h.removed, removed)
		}
		stores := []*view.Store{view.New(), view.New()}
		for range 40 {
			i := rapid.IntRange(0, 1).Draw(t, "store")
			s := stores[i]
			before := s.Current().Version()
			var v state.View
			if rapid.Bool().Draw(t, "from the other follower") {
				v = stores[1-i].Current().View(before)
			} else {
				since := uint64(rapid.IntRange(0, 30).Draw(t, "since"))
				v = h.view(uint64(rapid.IntRange(int(max(since, 1)), 30).Draw(t, "version")), since)
			}
			err := s.Apply(v)
			after := s.Current().Version()
			if after < before || (err != nil) != (after == before) {
				t.Fatalf("version %d before Apply, %d after, error %v", before, after, err)
			}
			if err != nil && !errors.Is(err, view.ErrStale) && !errors.Is(err, view.ErrGap) {
				t.Fatal(err)
			}
			got := map[string]state.Engine{}
			for _, e := range s.Current().Engines() {
				got[e.Name] = e
			}
			if !reflect.DeepEqual(got, h.engines[after]) {
				t.Fatalf("engines at version %d: %v, want %v", after, got, h.engines[after])
			}
		}
	})
}
