package lead_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/conn/link"
	"verbenahaven.example/core/conn/list"
	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/process/node"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/keepd/conf"
	"verbenahaven.example/keepd/lead"
)

func heartbeat(name string, phase state.Phase) proto.BeatRequest {
	return proto.BeatRequest{Member: state.Member{Name: name, Kind: state.MemberEntry, Phase: phase}, Holder: name + "/1"}
}

func (b *bench) phase(name string) state.Phase {
	for _, m := range b.store.View(0).Members {
		if m.Name == name {
			return m.Phase
		}
	}
	return ""
}

func code(err error) string {
	var r *link.Remote
	if errors.As(err, &r) {
		return r.Code
	}
	return ""
}

// The list alone never ends a member that sends heartbeats and never brings
// back one that is leaving; it shortens the wait for one that is silent.
func TestPlatformListIsOnlyAHint(t *testing.T) {
	var listed atomic.Value
	listed.Store([]list.Instance{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(listed.Load())
	}))
	defer s.Close()
	b := newBench(t, func(s2 *conf.Settings) { s2.Platform.List = s.URL })
	beat := func(name string, p state.Phase) state.Phase {
		t.Helper()
		r, err := b.Beat(t.Context(), name, heartbeat(name, p))
		if err != nil {
			t.Fatal(err)
		}
		return r.Phase
	}
	beat("live", state.PhaseServing)
	beat("silent", state.PhaseServing)
	beat("leaver", state.PhaseServing)
	beat("leaver", state.PhaseLeaving)
	b.until(t, "look at the list", func() bool { return b.meter.Value("list", "overruled") > 0 })
	if p := b.phase("live"); p != state.PhaseServing {
		t.Errorf("a live member is %s since the list left it out", p)
	}
	listed.Store([]list.Instance{{Name: "live"}, {Name: "leaver"}})
	b.clock.move(1600 * time.Millisecond) // more than half of the lease
	beat("live", state.PhaseServing)
	b.until(t, "loss of the silent member", func() bool { return b.phase("silent") == state.PhaseLost })
	if live, leaver := b.phase("live"), b.phase("leaver"); live != state.PhaseServing || leaver != state.PhaseLeaving {
		t.Errorf("live is %s, leaver is %s", live, leaver)
	}
	b.clock.move(1500 * time.Millisecond) // the lease of the leaver is over
	beat("live", state.PhaseServing)
	b.until(t, "end of the leaver", func() bool { return b.phase("leaver") == state.PhaseGone })
}

func TestOnlyTheLeaderAnswers(t *testing.T) {
	b := newBench(t, nil)
	b.log.set(1, 0, nil)
	_, beat := b.Beat(t.Context(), "e", heartbeat("e", state.PhaseServing))
	_, once := b.Once(t.Context(), "e", proto.OnceRequest{Step: proto.OnceBegin, Key: "k", Attempt: "1", Holder: "e/1"})
	_, grant := b.Slice(t.Context(), "e", proto.SliceRequest{Name: "e"})
	for _, err := range []error{beat, once, grant} {
		var r *link.Remote
		if !errors.As(err, &r) || r.Code != link.CodeNotLeader || r.Detail != "keep2" {
			t.Errorf("without a lease: %v", err)
		}
	}
	if _, err := b.Watch(t.Context(), "e", proto.WatchRequest{}); err != nil {
		t.Errorf("every member serves the state: %v", err)
	}
}

// A command that may have been taken up is never reported as refused.
func TestOutcomeOfTexts(t *testing.T) {
	b := newBench(t, nil)
	for _, c := range []struct {
		fail    error
		code    string
		certain bool
	}{
		{errors.Join(node.ErrLost, node.ErrStopped), link.CodeInternal, false},
		{node.ErrLost, link.CodeInternal, false},
		{node.ErrStopped, link.CodeStopping, true},
		{node.ErrFull, link.CodeFull, true},
		{node.ErrNotLeader, link.CodeNotLeader, true},
	} {
		b.log.set(1, time.Second, c.fail)
		_, err := b.Run(t.Context(), "keep2", proto.RunRequest{Operator: "operator", Number: 9, Text: "declare model m"})
		r, certain := lead.Refusal(err)
		if r == nil || r.Code != c.code || certain != c.certain {
			t.Errorf("%v: %v, certain %v", c.fail, err, certain)
		}
	}
}

func TestPeersSpeakForThemselves(t *testing.T) {
	b := newBench(t, nil)
	_, beat := b.Beat(t.Context(), "other", heartbeat("e", state.PhaseServing))
	_, once := b.Once(t.Context(), "other", proto.OnceRequest{Step: proto.OnceBegin, Key: "k", Attempt: "1", Holder: "e/1"})
	_, grant := b.Slice(t.Context(), "other", proto.SliceRequest{Name: "e"})
	_, text := b.Run(t.Context(), "e", proto.RunRequest{Operator: "operator", Text: "ask models"})
	for i, err := range []error{beat, once, grant, text} {
		if code(err) != link.CodeBad {
			t.Errorf("call %d: %v", i, err)
		}
	}
}

// A call whose holder is silent becomes unknown; heartbeats keep it running.
func TestHolderIsHeard(t *testing.T) {
	b := newBench(t, nil)
	ask := func(holder, attempt string, step proto.OnceStep) proto.Verdict {
		t.Helper()
		r, err := b.Once(t.Context(), holder[:1], proto.OnceRequest{Step: step, Key: "k", Attempt: attempt, Holder: holder})
		if err != nil {
			t.Fatal(err)
		}
		return r.Verdict
	}
	if v := ask("e/1", "1", proto.OnceBegin); v != proto.VerdictStart {
		t.Fatal(v)
	}
	for range 4 {
		b.clock.move(2 * time.Second)
		if _, err := b.Beat(t.Context(), "e", heartbeat("e", state.PhaseServing)); err != nil {
			t.Fatal(err)
		}
	}
	if v := ask("f/1", "2", proto.OnceBegin); v != proto.VerdictBusy {
		t.Fatal(v)
	}
	b.clock.move(6 * time.Second)
	b.until(t, "unknown outcome", func() bool { return ask("f/1", "2", proto.OnceBegin) == proto.VerdictUnknown })
	if v := ask("e/1", "1", proto.OnceFinish); v != proto.VerdictDone {
		t.Fatal(v)
	}
}
