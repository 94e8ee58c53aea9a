package reach_test

import (
	"testing"
	"time"

	"verbenahaven.example/core/request/reach"
)

func TestAbandonedDialIsNoEvidence(t *testing.T) {
	servers := []string{"a:1", "b:1", "c:1"}
	d := reach.New()
	d.SetServers(servers)
	now := time.Unix(100, 0)
	for _, s := range servers {
		d.Dialling(now, s)
	}
	now = now.Add(time.Second)
	if !d.Suspicious(now) {
		t.Fatal("dials that are silent for a second raise no suspicion")
	}
	for _, s := range servers {
		d.Abandoned(now, s)
	}
	if d.Suspicious(now) {
		t.Error("dials that ended with their callers are still evidence")
	}
}
