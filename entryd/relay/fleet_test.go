package relay

import (
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/conn/server"
	"verbenahaven.example/core/version/view"
)

// An instance that is shutting down must decide by the maximum length of an
// answer whether to take a call: with the caller's guess, an answer that got
// longer was cut at the end of the grace period.
func TestDecodeTimeUsesMaxOutput(t *testing.T) {
	f := newTestFleet()
	lowGuess := &server.Prompt{Tokens: 220, MaxOutput: 12_000, OutputHint: 500}
	if d := f.estimateDecodeTime("p", lowGuess); d < 12*time.Second {
		t.Fatalf("decode time of 12000 tokens: %s, want at least 12s", d)
	}
	short := &server.Prompt{Tokens: 9000, MaxOutput: 120}
	if d := f.estimateDecodeTime("p", short); d > 500*time.Millisecond {
		t.Fatalf("decode time of 120 tokens: %s, want at most 500ms", d)
	}
	for range 200 {
		f.observeDecodeTime("p", short.MaxOutput, 60*time.Millisecond)
	}
	if d := f.estimateDecodeTime("p", short); d < 60*time.Millisecond || d > 100*time.Millisecond {
		t.Fatalf("decode time after answers of 60ms: %s, want 60ms to 100ms", d)
	}
}

// Load reports of engines that weren't known yet are dropped, so all reports
// are requested again with each new state version.
func TestNewVersionRefetchesReports(t *testing.T) {
	f := newTestFleet()
	now := time.Unix(1000, 0)
	f.ApplyReply(now, proto.HeartbeatReply{ReportsRevision: 7})
	if n := f.ReportsRevision(); n != 7 {
		t.Fatalf("revision %d after a reply with 7", n)
	}
	f.SetSnapshot(view.New().Current())
	f.ApplyReply(now, proto.HeartbeatReply{ReportsRevision: 8}) // reply to a heartbeat sent before the new version
	if n := f.ReportsRevision(); n != 0 {
		t.Fatalf("revision %d after a new version, want 0 for all reports", n)
	}
	f.ApplyReply(now, proto.HeartbeatReply{ReportsRevision: 9})
	if n := f.ReportsRevision(); n != 9 {
		t.Fatalf("revision %d after a reply with 9", n)
	}
}
