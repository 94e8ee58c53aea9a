package proof_test

import (
	"strings"
	"testing"

	"verbenahaven.example/trial/caller"
	"verbenahaven.example/trial/fleet"
)

// TestExplainCall asks the entry instance that served two calls to explain
// them: "haven explain" names the engine of the first and the refusal code of
// the second, and fails for an unknown call.
func TestExplainCall(t *testing.T) {
	g := startKeeperGroup(t, fleet.Options{
		Entries: 1, Engines: []fleet.Engine{fastEngine("engine1", true)},
		Commands: "declare service counter kind model model spec revision 1 class first deadline 10s first 2s",
	})
	o := newOperator(t, g)
	c := caller.New(g.CallerToken())
	defer c.Close()
	entry := g.Entries()[0].URL()
	served, err := c.Chat(t.Context(), entry, caller.Chat{Service: "counter", Prompt: "why here", Tokens: 3})
	if err != nil || !served.Complete() {
		t.Fatalf("chat: complete %t, error %v", served.Complete(), err)
	}
	refused, err := c.Chat(t.Context(), entry, caller.Chat{Service: "nothing", Prompt: "why not", Tokens: 3})
	if err != nil || refused.Code() == "" {
		t.Fatalf("chat with an unknown service: code %q, error %v", refused.Code(), err)
	}
	for _, want := range []struct{ id, text string }{{served.ID(), "engine1"}, {refused.ID(), refused.Code()}} {
		code, out := o.runHaven(g.Keepers()[0].URL(), "explain", "-entry", entry, "call", want.id)
		if code != 0 || !strings.Contains(out, want.text) {
			t.Errorf("explain call %s: exit code %d, output %q, want %q in it", want.id, code, out, want.text)
		}
	}
	if code, out := o.runHaven(g.Keepers()[0].URL(), "explain", "-entry", entry, "call", "nobody"); code != 1 {
		t.Errorf("explain of an unknown call: exit code %d, want 1, output %q", code, out)
	}
}
