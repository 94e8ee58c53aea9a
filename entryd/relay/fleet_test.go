package relay

import (
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/core/version/view"
)

// Load reports of engines that weren't known yet are dropped, so all reports
// are requested again with each new state version.
func TestNewVersionRefetchesReports(t *testing.T) {
	f := newTestFleet()
	now := time.Unix(1000, 0)
	f.ApplyReply(now, proto.HeartbeatReply{ReportsRevision: 7})
	if n, _ := f.Revisions(); n != 7 {
		t.Fatalf("revision %d after a reply with 7", n)
	}
	f.SetSnapshot(view.New().Current())
	f.ApplyReply(now, proto.HeartbeatReply{ReportsRevision: 8}) // reply to a heartbeat sent before the new version
	if n, _ := f.Revisions(); n != 0 {
		t.Fatalf("revision %d after a new version, want 0 for all reports", n)
	}
	f.ApplyReply(now, proto.HeartbeatReply{ReportsRevision: 9})
	if n, _ := f.Revisions(); n != 9 {
		t.Fatalf("revision %d after a reply with 9", n)
	}
}
