package proof_test

import (
	"testing"

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/trial/caller"
	"verbenahaven.example/trial/fleet"
)

// TestAccountsDontShareAnswers sends the same call with the same idempotency
// key from two client accounts: each gets the answer of its own run. A wrong
// token is rejected before the call runs.
func TestAccountsDontShareAnswers(t *testing.T) {
	g := startKeeperGroup(t, fleet.Options{
		Entries: 2, PlainServers: []fleet.PlainServer{{Name: "permit1", Centre: "north", Service: "permit"}}, Operators: []string{"other"},
		Commands: "declare service permit kind plain class first deadline 5s once true",
	})
	call := caller.PlainCall{Service: "permit", Path: "stamps", Key: "guessed", Body: "{}"}
	answers := make(map[string]string)
	for i, token := range []string{g.CallerToken(), g.OperatorToken("other"), "wrong"} {
		c := caller.New(token)
		defer c.Close()
		a, err := c.CallPlain(t.Context(), g.Entries()[i%2].URL(), call)
		if err != nil {
			t.Fatal(err)
		}
		if token == "wrong" {
			if a.Status() != 401 || a.Execution() != "not_run" {
				t.Fatalf("wrong token: status %d, %q", a.Status(), a.Body())
			}
			continue
		}
		if a.Status() != 200 || answers[string(a.Body())] != "" {
			t.Fatalf("status %d, answer %q belongs to another account", a.Status(), a.Body())
		}
		answers[string(a.Body())] = token
	}
	var runs []inject.Record
	if err := g.History(t.Context(), "permit1", &runs); err != nil || len(runs) != 2 {
		t.Fatalf("got %d runs, want one per account: %v", len(runs), err)
	}
}
