// Package proof_test brings failures about in deployments of real processes
// and checks that what is promised holds.
package proof_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/stand"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/caller"
	"verbenahaven.example/trial/fleet"
)

var builtPrograms = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "verbenahaven-proof-")
	if err != nil {
		return "", err
	}
	return fleet.Programs(context.Background(), folder)
})

// site is a running deployment with a caller.
type site struct {
	*fleet.Fleet
	caller *caller.Caller
}

const declareServices = `declare service counter kind model model spec revision 1 class first deadline 20s first 10s
declare service permit kind plain class first deadline 5s once true
declare service lookup kind plain class first deadline 5s
`

func startSite(t testing.TB, o fleet.Options) *site {
	t.Helper()
	bin, err := builtPrograms()
	if err != nil {
		t.Fatal(err)
	}
	o.Bin, o.Folder = bin, t.TempDir()
	if o.Keepers == 0 {
		o.Keepers = 1
	}
	if o.Centres == nil {
		o.Centres = []string{"north"}
	}
	o.Declare = declareServices
	f, cleanup, err := fleet.Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	s := &site{Fleet: f, caller: caller.New(f.CallerToken())}
	t.Cleanup(func() {
		s.caller.Close()
		cleanup()
		if t.Failed() {
			s.logs(t)
		}
	})
	return s
}

func (s *site) logs(t testing.TB) {
	for _, p := range append(s.Keepers(), s.Entries()...) {
		b, _ := os.ReadFile(p.Output())
		t.Logf("--- %s\n%s", p.Name(), b[max(0, len(b)-4000):])
	}
}

// quick engines decode a token in 5 ms.
func quick(roles ...state.Role) []fleet.Engine {
	list := make([]fleet.Engine, 0, len(roles))
	for i, r := range roles {
		list = append(list, fleet.Engine{
			Name: fmt.Sprintf("engine%d", i+1), Centre: "north", Model: "spec", Role: r, Fenced: true,
			Extra: map[string]any{"step": "5ms", "mark": "crash-the-engine", "change": "500ms", "lag": "50ms"},
		})
	}
	return list
}

func (s *site) fault(t *testing.T, target string, kind stand.Kind, count int) {
	t.Helper()
	if err := s.Fault(t.Context(), fleet.Fault{Target: target, Kind: string(kind), Count: count}); err != nil {
		t.Fatal(err)
	}
}

func (s *site) history(t *testing.T, target string) []stand.Record {
	t.Helper()
	var list []stand.Record
	if err := s.History(t.Context(), target, &list); err != nil {
		t.Fatal(err)
	}
	return list
}

// count counts the records of a kind after a time.
func (s *site) count(t *testing.T, target string, kind stand.RecordKind, after time.Time) int {
	t.Helper()
	n := 0
	for _, r := range s.history(t, target) {
		if r.Kind == kind && r.At.After(after) {
			n++
		}
	}
	return n
}

// started waits until one of the targets takes a request up and names it.
func (s *site) started(t *testing.T, after time.Time, targets ...string) string {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, name := range targets {
			if s.count(t, name, stand.RecordStart, after) > 0 {
				return name
			}
		}
	}
	t.Fatal("no engine took a request up")
	return ""
}

func (s *site) chat(c caller.Chat, entry int) (*caller.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if c.Service == "" {
		c.Service = "counter"
	}
	return s.caller.Chat(ctx, s.Entries()[entry].URL(), c)
}

// checkWhole compares an answer token by token with the one that an engine
// gives when nothing fails.
func checkWhole(c caller.Chat, a *caller.Answer, err error) error {
	if err != nil {
		return fmt.Errorf("request %s, code %q after %d tokens: %w", a.ID(), a.Code(), len(a.Tokens()), err)
	}
	if a.Status() != 200 || !a.Whole() {
		return fmt.Errorf("status %d, code %q, whole %v, %d tokens: %s", a.Status(), a.Code(), a.Whole(), len(a.Tokens()), a.Body())
	}
	want := make([]string, c.Tokens)
	for i := range want {
		want[i] = stand.Token("spec", c.Prompt+"\n", c.Seed, i)
	}
	if !slices.Equal(a.Tokens(), want) {
		return fmt.Errorf("got tokens %v, want %v", a.Tokens(), want)
	}
	return nil
}
