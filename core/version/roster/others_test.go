package roster_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/roster"
	"verbenahaven.example/core/version/state"
)

// The kept sum of others' work is what adding the last heartbeats up gives, once
// those of lost instances have run out.
func TestOthersIsTheSumOfTheRest(t *testing.T) {
	const lease = time.Second
	rapid.Check(t, func(t *rapid.T) {
		r := roster.New(0, roster.Settings{Lease: lease, Holder: time.Second})
		type beat struct {
			at    time.Duration
			loads []proto.Share
		}
		last := make(map[string]beat)
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(400*time.Millisecond)).Draw(t, "wait"))
			name := fmt.Sprint("i", rapid.IntRange(0, 3).Draw(t, "instance"))
			engines := rapid.IntRange(0, 3).Draw(t, "engines")
			loads := make([]proto.Share, 0, engines)
			for e := range engines {
				loads = append(loads, proto.Share{Engine: fmt.Sprint("e", e), Prefill: rapid.IntRange(1, 100).Draw(t, "tokens"), Long: 1})
			}
			r.Beat(now, proto.BeatRequest{Member: state.Member{Name: name}, Loads: loads})
			last[name] = beat{now, loads}
		}
		// All that is lost is forgotten within the time between two sums.
		now += 500 * time.Millisecond
		want := make(map[string]int)
		for name, b := range last {
			if name == "i0" || now-b.at > lease {
				continue
			}
			for _, l := range b.loads {
				want[l.Engine] += l.Prefill
			}
		}
		got := make(map[string]int)
		for _, l := range r.Others(now, "i0") {
			if l.Prefill > 0 {
				got[l.Engine] = l.Prefill
			}
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("others have %v, want %v", got, want)
		}
	})
}
