package roster_test

import (
	"fmt"
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/roster"
	"verbenahaven.example/core/version/state"
)

var members = []state.Member{
	{Name: "a", Kind: state.MemberEntry, Phase: state.PhaseServing},
	{Name: "b", Kind: state.MemberEntry, Phase: state.PhaseServing},
	{Name: "gone", Kind: state.MemberEntry, Phase: state.PhaseLost},
}

func beat(name string, version uint64, running uint32) proto.BeatRequest {
	return proto.BeatRequest{
		Member: state.Member{Name: name}, Version: version, Holder: name + "@1",
		InFlight: map[string]uint32{"e": running}, Demand: []proto.Demand{{Service: "s", Requests: 2}},
	}
}

func settings() roster.Settings {
	return roster.Settings{Lease: time.Second, Holder: 2 * time.Second}
}

func TestSettledNeedsEveryMember(t *testing.T) {
	r := roster.New(0, settings())
	steps := []struct {
		beat proto.BeatRequest
		want bool
	}{
		{beat("a", 7, 0), false}, // b wasn't heard yet
		{beat("b", 6, 0), false}, // b doesn't know the version
		{beat("b", 7, 1), false}, // b still has a request there
		{beat("b", 7, 0), true},
	}
	for i, s := range steps {
		r.Beat(time.Duration(i), s.beat)
		if got := r.Settled(members, "e", 7); got != s.want {
			t.Fatalf("step %d: settled %v", i, got)
		}
	}
}

func TestSilence(t *testing.T) {
	r := roster.New(10*time.Second, settings())
	check := func(at time.Duration, lost, vanished string) {
		t.Helper()
		now := 10*time.Second + at
		got := fmt.Sprint(r.Lost(now, members), r.Vanished(now, []string{"a@1", "b@1", "c@1"}))
		if got != lost+" "+vanished {
			t.Fatalf("after %s: %s", at, got)
		}
	}
	check(time.Second, "[]", "[]") // a new leader gives everyone a whole lease
	r.Beat(11*time.Second, beat("a", 1, 0))
	check(1900*time.Millisecond, "[b]", "[]")
	check(2500*time.Millisecond, "[a b]", "[b@1 c@1]")
	r.Heard(12500*time.Millisecond, "b@1")
	check(2600*time.Millisecond, "[a b]", "[c@1]")
}

func ExampleRoster_Demand() {
	r := roster.New(0, settings())
	r.Beat(0, beat("a", 1, 0))
	r.Beat(0, beat("b", 1, 0))
	fmt.Println(r.Demand(0)["s"].Requests, len(r.Demand(time.Minute)))
	// Output: 4 0
}
