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

func heartbeat(name string, phase state.Phase) proto.HeartbeatRequest {
	return proto.HeartbeatRequest{Member: state.Member{Name: name, Kind: state.MemberEntry, Phase: phase}, Holder: name + "/1"}
}

func (b *testLeader) memberPhase(name string) state.Phase {
	for _, m := range b.store.View(0).Members {
		if m.Name == name {
			return m.Phase
		}
	}
	return ""
}

func remoteCode(err error) string {
	var r *link.RemoteError
	if errors.As(err, &r) {
		return r.Code
	}
	return ""
}

// The platform's list lags: a member that is missing from it but sends
// heartbeats must stay, and a leaving member that is still on it must not serve
// again. A silent member that is missing from it is lost before its lease ends.
func TestInstanceListNeverExpiresLiveMember(t *testing.T) {
	var listed atomic.Value
	listed.Store([]list.Instance{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(listed.Load())
	}))
	defer server.Close()
	b := newTestLeader(t, func(settings *conf.Settings) { settings.Platform.List = server.URL })
	beat := func(name string, p state.Phase) state.Phase {
		t.Helper()
		r, err := b.Heartbeat(t.Context(), name, heartbeat(name, p))
		if err != nil {
			t.Fatal(err)
		}
		return r.Phase
	}
	beat("live", state.PhaseServing)
	beat("silent", state.PhaseServing)
	beat("leaver", state.PhaseServing)
	beat("leaver", state.PhaseLeaving)
	b.waitFor(t, "read of the platform's list", func() bool { return b.meter.Value("list", "overruled") > 0 })
	if p := b.memberPhase("live"); p != state.PhaseServing {
		t.Errorf("member with heartbeats but not on the list: phase %s, want serving", p)
	}
	listed.Store([]list.Instance{{Name: "live"}, {Name: "leaver"}})
	b.clock.advance(1600 * time.Millisecond) // more than half of the lease
	beat("live", state.PhaseServing)
	b.waitFor(t, "loss of the silent member", func() bool { return b.memberPhase("silent") == state.PhaseLost })
	if live, leaver := b.memberPhase("live"), b.memberPhase("leaver"); live != state.PhaseServing || leaver != state.PhaseLeaving {
		t.Errorf("phases: live %s, want serving; leaver %s, want leaving", live, leaver)
	}
	b.clock.advance(1500 * time.Millisecond) // past the lease of the leaver
	beat("live", state.PhaseServing)
	b.waitFor(t, "end of the leaver", func() bool { return b.memberPhase("leaver") == state.PhaseGone })
}

func TestRequestsNeedLeaderLease(t *testing.T) {
	b := newTestLeader(t, nil)
	b.log.set(1, 0, nil)
	_, beat := b.Heartbeat(t.Context(), "e", heartbeat("e", state.PhaseServing))
	_, once := b.Once(t.Context(), "e", proto.OnceRequest{Step: proto.OnceBegin, Key: "k", Attempt: "1", Holder: "e/1"})
	_, grant := b.LeaseLimits(t.Context(), "e", proto.GrantRequest{Name: "e"})
	for _, err := range []error{beat, once, grant} {
		var r *link.RemoteError
		if !errors.As(err, &r) || r.Code != link.CodeNotLeader || r.Detail != "keep2" {
			t.Errorf("without a lease: %v", err)
		}
	}
	if _, err := b.Watch(t.Context(), "e", proto.WatchRequest{}); err != nil {
		t.Errorf("watch without a lease: %v", err)
	}
}

// A command that may have been committed must never be reported as refused: the
// operator would assume that nothing has changed.
func TestUncertainOutcomeIsNoRefusal(t *testing.T) {
	b := newTestLeader(t, nil)
	for _, c := range []struct {
		fail    error
		code    string
		certain bool
	}{
		{errors.Join(node.ErrOutcomeUnknown, node.ErrStopped), link.CodeInternal, false},
		{node.ErrOutcomeUnknown, link.CodeInternal, false},
		{node.ErrStopped, link.CodeStopping, true},
		{node.ErrQueueFull, link.CodeOverloaded, true},
		{node.ErrNotLeader, link.CodeNotLeader, true},
		{node.ErrNoRoom, link.CodeNoRoom, true},
		{node.ErrTooLarge, link.CodeTooLarge, true},
	} {
		b.log.set(1, time.Second, c.fail)
		_, err := b.RunCommands(t.Context(), "keep2", proto.RunRequest{Operator: "operator", Number: 9, Text: "declare model m"})
		r, certain := lead.Refusal(err)
		if r == nil || r.Code != c.code || certain != c.certain {
			t.Errorf("%v: %v, certain %v", c.fail, err, certain)
		}
	}
}

func TestRejectsRequestsForOtherPeers(t *testing.T) {
	b := newTestLeader(t, nil)
	_, beat := b.Heartbeat(t.Context(), "other", heartbeat("e", state.PhaseServing))
	_, once := b.Once(t.Context(), "other", proto.OnceRequest{Step: proto.OnceBegin, Key: "k", Attempt: "1", Holder: "e/1"})
	_, grant := b.LeaseLimits(t.Context(), "other", proto.GrantRequest{Name: "e"})
	_, text := b.RunCommands(t.Context(), "e", proto.RunRequest{Operator: "operator", Text: "ask models"})
	for i, err := range []error{beat, once, grant, text} {
		if remoteCode(err) != link.CodeBadMessage {
			t.Errorf("call %d: %v", i, err)
		}
	}
}

// A run-once call whose holder is silent for too long gets an unknown outcome.
// The heartbeats of the holder's instance prevent that.
func TestHeartbeatsKeepHolderAlive(t *testing.T) {
	b := newTestLeader(t, nil)
	ask := func(holder, attempt string, step proto.OnceStep) proto.Verdict {
		t.Helper()
		r, err := b.Once(t.Context(), holder[:1], proto.OnceRequest{Step: step, Key: "k", Attempt: attempt, Holder: holder})
		if err != nil {
			t.Fatal(err)
		}
		return r.Verdict
	}
	if v := ask("e/1", "1", proto.OnceBegin); v != proto.VerdictProceed {
		t.Fatal(v)
	}
	for range 4 {
		b.clock.advance(2 * time.Second)
		if _, err := b.Heartbeat(t.Context(), "e", heartbeat("e", state.PhaseServing)); err != nil {
			t.Fatal(err)
		}
	}
	if v := ask("f/1", "2", proto.OnceBegin); v != proto.VerdictBusy {
		t.Fatal(v)
	}
	b.clock.advance(6 * time.Second)
	b.waitFor(t, "verdict that the outcome is unknown", func() bool { return ask("f/1", "2", proto.OnceBegin) == proto.VerdictOutcomeUnknown })
	if v := ask("e/1", "1", proto.OnceFinish); v != proto.VerdictRecorded {
		t.Fatal(v)
	}
}
