package proof_test

import (
	"strings"
	"testing"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/trial/fleet"
)

// TestTokenAtLaggingKeeper declares an account while one keeper is partitioned.
// That keeper can't know the token yet and answers no_leader; only the leader
// may reject a token as wrong.
func TestTokenAtLaggingKeeper(t *testing.T) {
	g := startKeeperGroup(t, fleet.Options{ProxyLinks: true})
	leader := g.leader()
	lagging := g.Keepers()[0]
	if lagging == leader {
		lagging = g.Keepers()[1]
	}
	if err := g.SetPartition(t.Context(), lagging.Name(), "cut"); err != nil {
		t.Fatal(err)
	}
	if err := g.AddOperator(t.Context(), "fresh"); err != nil {
		t.Fatal(err)
	}
	request := proto.RunRequest{Operator: "fresh", Text: "ask engines"}
	_, err := g.RunAt(t.Context(), lagging, request)
	if err == nil || !strings.Contains(err.Error(), "no_leader") {
		t.Fatalf("lagging keeper answered %v, want no_leader", err)
	}
	if _, err := g.RunAs(t.Context(), request); err != nil {
		t.Fatalf("the keepers refused the new token: %v", err)
	}
	request.Operator = "nobody"
	if _, err := g.RunAt(t.Context(), leader, request); err == nil || !strings.Contains(err.Error(), "unauthorized") {
		t.Fatalf("leader answered %v to a wrong token, want unauthorized", err)
	}
}
