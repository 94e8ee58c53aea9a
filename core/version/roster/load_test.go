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

// The load kept incrementally equals the sum over the last heartbeats of the other
// live instances, once the leases of lost ones have ended.
func TestLoadOfOtherInstances(t *testing.T) {
	const lease = time.Second
	rapid.Check(t, func(t *rapid.T) {
		r := roster.New(0, roster.Settings{Lease: lease, HolderTimeout: time.Second})
		type beat struct {
			at    time.Duration
			loads []proto.EngineWork
		}
		last := make(map[string]beat)
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(400*time.Millisecond)).Draw(t, "wait"))
			name := fmt.Sprint("i", rapid.IntRange(0, 3).Draw(t, "instance"))
			engines := rapid.IntRange(0, 3).Draw(t, "engines")
			loads := make([]proto.EngineWork, 0, engines)
			for e := range engines {
				loads = append(loads, proto.EngineWork{Engine: fmt.Sprint("e", e), PrefillTokens: rapid.IntRange(1, 100).Draw(t, "tokens"), LongStreams: 1})
			}
			r.RecordHeartbeat(now, proto.HeartbeatRequest{Member: state.Member{Name: name}, OwnWork: loads})
			last[name] = beat{now, loads}
		}
		// The load of lost instances is dropped when the total is recomputed.
		now += 500 * time.Millisecond
		want := make(map[string]int)
		for name, hb := range last {
			if name == "i0" || now-hb.at > lease {
				continue
			}
			for _, l := range hb.loads {
				want[l.Engine] += l.PrefillTokens
			}
		}
		got := make(map[string]int)
		for _, l := range r.LoadsExcept(now, "i0") {
			if l.PrefillTokens > 0 {
				got[l.Engine] = l.PrefillTokens
			}
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("load of the others is %v, want %v", got, want)
		}
	})
}

// A member knows the newest report of each engine after each reply that reaches it,
// though each change is sent to it only once. All reports of a later term are new.
func TestReportsAreSentOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known, seen := make(map[string]proto.Report), uint64(0)
		for term := uint64(1); term <= 2; term++ {
			r := roster.New(0, roster.Settings{Lease: time.Second, Term: term})
			newest := make(map[string]proto.Report)
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				p := proto.Report{
					Engine: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "engine"), At: time.Unix(rapid.Int64Range(0, 99).Draw(t, "at"), 0),
					Alive: rapid.Bool().Draw(t, "alive"), Running: rapid.IntRange(0, 2).Draw(t, "running"),
				}
				r.RecordReport(p)
				newest[p.Engine] = p
				if rapid.Bool().Draw(t, "lost") {
					continue
				}
				list, revision := r.ReportsSince(seen)
				for _, p := range list {
					known[p.Engine] = p
				}
				seen = revision
				for name, want := range newest {
					got := known[name]
					if got.At = want.At; got != want {
						t.Fatalf("%s: known %+v, newest %+v", name, got, want)
					}
				}
				if again, _ := r.ReportsSince(seen); len(again) != 0 {
					t.Fatalf("reports sent again: %+v", again)
				}
			}
		}
	})
}

// What all instances observe of the engines' speed ends up in the estimates of
// one roster, and sets how often it is worth hearing of the engines' work.
func TestSpeedsOfAllInstancesAreLearned(t *testing.T) {
	r := roster.New(0, roster.Settings{Lease: time.Second})
	r.SetEngines(map[string]string{"e1": "g", "e2": "g"})
	if r.PrefillTime() != 0 || r.Speed("e1").PrefillRate != 0 {
		t.Fatal("a speed is known before anything was observed")
	}
	for i := range 40 {
		tokens := 1 + float64(i%5)
		seconds := 0.1 + tokens/50
		r.RecordHeartbeat(time.Duration(i)*time.Millisecond, proto.HeartbeatRequest{
			Member: state.Member{Name: fmt.Sprint("entry", i%10)},
			Speeds: []proto.EngineSpeed{{
				Engine: "e1", Prefills: 1, Tokens: tokens, Seconds: seconds, TokensSquared: tokens * tokens, TokensSeconds: tokens * seconds,
			}},
		})
	}
	r.SetEngines(map[string]string{"e1": "g", "e2": "g"})
	if s := r.Speed("e2"); s.PrefillRate != 50_000 || s.PrefillDelay != 100*time.Millisecond {
		t.Errorf("estimate %+v", s)
	}
	if d := r.PrefillTime(); d != 160*time.Millisecond {
		t.Errorf("mean time of a prefill %v, want 160ms", d)
	}
}

// An instance that returns after its lease, but before its old load was dropped,
// counts once.
func TestReturningInstanceCountsOnce(t *testing.T) {
	r := roster.New(0, roster.Settings{Lease: time.Second})
	beat := func(now time.Duration) {
		r.RecordHeartbeat(now, proto.HeartbeatRequest{Member: state.Member{Name: "a"}, OwnWork: []proto.EngineWork{{Engine: "e", Streams: 3}}})
	}
	beat(0)
	r.LoadsExcept(900*time.Millisecond, "b") // counts all loads anew
	beat(1100 * time.Millisecond)
	if loads := r.LoadsExcept(1100*time.Millisecond, "b"); len(loads) != 1 || loads[0].Streams != 3 {
		t.Fatalf("loads %+v, want 3 streams", loads)
	}
}
