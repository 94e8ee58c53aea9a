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

// The ledger goes on while its leader is stopped as planned, and soon after
// one is killed.
func TestOnceGapOfLeaderChange(t *testing.T) {
	g := startGroup(t, fleet.Options{Declare: "declare model spec"})
	k := ledgerClient(t, g.Fleet, filepath.Dir(g.Keepers()[0].Output()))
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
		var worst time.Duration
		for begin, i := time.Now(), 0; time.Since(begin) < 2*time.Second; i++ {
			at := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), waitLong)
			q := proto.OnceRequest{Step: proto.OnceBegin, Key: fmt.Sprint(c.name, i), Attempt: "1", Holder: "entry1/1"}
			if _, err := k.Once(ctx, q); err != nil {
				t.Error(err)
			}
			cancel()
			worst = max(worst, time.Since(at))
		}
		<-ended
		t.Logf("leader %s: longest call %s", c.name, worst)
		if worst > c.bound {
			t.Errorf("leader %s: a call took %s, at most %s allowed", c.name, worst, c.bound)
		}
		if err := old.Start(); err != nil {
			t.Fatal(err)
		}
	}
}
