package proof_test

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/trial/fleet"
)

// TestOnceLeaderChangeLatency sends ledger calls while the leader stops
// gracefully, then while one is killed. No call fails, and the longest stays
// within a bound for each case.
func TestOnceLeaderChangeLatency(t *testing.T) {
	g := startKeeperGroup(t, fleet.Options{Commands: "declare model spec"})
	k := ledgerClient(t, g.Fleet, filepath.Dir(g.Keepers()[0].LogPath()))
	for _, c := range []struct {
		name  string
		end   func(*fleet.Process)
		bound time.Duration
	}{
		{"stopped", func(p *fleet.Process) {
			if err := p.Stop(10 * time.Second); err != nil {
				t.Error(err)
			}
		}, 800 * time.Millisecond},
		{"killed", func(p *fleet.Process) { p.Kill() }, 3 * time.Second},
	} {
		old := g.leader()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			time.Sleep(200 * time.Millisecond)
			c.end(old)
		}()
		var longest time.Duration
		for start, i := time.Now(), 0; time.Since(start) < 2*time.Second; i++ {
			sent := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			q := proto.OnceRequest{Step: proto.OnceBegin, Key: fmt.Sprint(c.name, i), Attempt: "1", Holder: "entry1/1"}
			if _, err := k.Once(ctx, q); err != nil {
				t.Error(err)
			}
			cancel()
			longest = max(longest, time.Since(sent))
		}
		<-ended
		t.Logf("leader %s: longest call %s", c.name, longest)
		if longest > c.bound {
			t.Errorf("leader %s: a call took %s, want at most %s", c.name, longest, c.bound)
		}
		if err := old.Start(); err != nil {
			t.Fatal(err)
		}
	}
}
