package lead_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/codec"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
)

// An instance that missed any number of changes, or started anew, has the leader's state after
// one reply; one with that state, or a newer one, gets none.
func TestHeartbeatBringsWhatIsMissing(t *testing.T) {
	b := newDiscoveringLeader(t, nil, newFakeFleet(4))
	random, declared := rand.New(rand.NewPCG(1, 0)), []string{}
	followers := []*view.Store{view.New(), view.New(), view.New()}
	beat := func(version uint64) proto.HeartbeatReply {
		t.Helper()
		q := heartbeat("entry", state.PhaseServing)
		q.Version = version
		r, err := b.Heartbeat(t.Context(), "entry", q)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	for n := range 300 {
		text := fmt.Sprintf("declare model m%d", n)
		if i := random.IntN(len(declared) + 1); i < len(declared) {
			text = "withdraw model " + declared[i]
			declared = slices.Delete(declared, i, i+1)
		} else {
			declared = append(declared, fmt.Sprint("m", n))
		}
		if _, err := b.RunCommands(t.Context(), "keep2", proto.RunRequest{Operator: "operator", Number: uint64(n + 1), Text: text}); err != nil {
			t.Fatal(err)
		}
		i := random.IntN(len(followers))
		if random.IntN(20) == 0 {
			followers[i] = view.New()
		}
		r := beat(followers[i].Current().Version())
		if len(r.Delta) > 0 {
			var v state.View
			if err := codec.Unpack(r.Delta, &v); err != nil {
				t.Fatal(err)
			}
			if err := followers[i].Apply(v); err != nil {
				t.Fatal(err)
			}
		}
		s := followers[i].Current()
		if want, got := b.store.View(0).Models, s.View(0).Models; s.Version() < r.Version || !reflect.DeepEqual(got, want) {
			t.Fatalf("state %d with models %v after a reply of %d with %v", s.Version(), got, r.Version, want)
		}
		for _, version := range []uint64{s.Version(), s.Version() + 100} {
			if r = beat(version); len(r.Delta) > 0 && version >= r.Version {
				t.Fatalf("a reply of version %d brings changes to version %d", r.Version, version)
			}
		}
	}
}
