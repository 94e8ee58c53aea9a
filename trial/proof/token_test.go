package proof_test

import (
	"strings"
	"testing"

	"verbenahaven.example/core/conn/proto"
	"verbenahaven.example/trial/fleet"
)

// TestTokenAtLaggingKeeper declares an account that a cut off keeper can't
// know yet. It may not say for good that the token is wrong; the leader may.
func TestTokenAtLaggingKeeper(t *testing.T) {
	g := startGroup(t, fleet.Options{Links: true})
	leader := g.leader()
	late := g.Keepers()[0]
	if late == leader {
		late = g.Keepers()[1]
	}
	if err := g.Cut(t.Context(), late.Name(), "cut"); err != nil {
		t.Fatal(err)
	}
	if err := g.AddOperator(t.Context(), "fresh"); err != nil {
		t.Fatal(err)
	}
	ask := proto.RunRequest{Operator: "fresh", Text: "ask engines"}
	_, err := g.RunAt(t.Context(), late, ask)
	if err == nil || !strings.Contains(err.Error(), "no_leader") {
		t.Fatalf("keeper that lags answers %v, want no_leader", err)
	}
	if _, err := g.RunAs(t.Context(), ask); err != nil {
		t.Fatalf("group refuses the token: %v", err)
	}
	ask.Operator = "nobody"
	if _, err := g.RunAt(t.Context(), leader, ask); err == nil || !strings.Contains(err.Error(), "unauthorized") {
		t.Fatalf("leader answers %v to a wrong token, want unauthorized", err)
	}
}
