// Package proof_test injects faults into deployments of real processes and
// checks the guarantees to callers and operators: complete answers, calls that
// run at most once, no conflicting orders to engines, and no lost changes.
package proof_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/caller"
	"verbenahaven.example/trial/fleet"
)

var buildPrograms = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "verbenahaven-proof-")
	if err != nil {
		return "", err
	}
	return fleet.BuildPrograms(context.Background(), folder)
})

// deployment is a running set of keepers, entry instances and backend servers
// with a caller, for tests of the request path.
type deployment struct {
	*fleet.Fleet
	caller *caller.Caller
}

const serviceDeclarations = `declare service counter kind model model spec revision 1 class first deadline 20s first 10s
declare service permit kind plain class first deadline 5s once true
declare service lookup kind plain class first deadline 5s
`

func startDeployment(t testing.TB, o fleet.Options) *deployment {
	t.Helper()
	bin, err := buildPrograms()
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
	o.Commands = serviceDeclarations
	f, cleanup, err := fleet.Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	s := &deployment{Fleet: f, caller: caller.New(f.CallerToken())}
	t.Cleanup(func() {
		s.caller.Close()
		cleanup()
		if t.Failed() {
			s.logOutput(t)
		}
	})
	return s
}

func (s *deployment) logOutput(t testing.TB) {
	for _, p := range append(s.Keepers(), s.Entries()...) {
		b, _ := os.ReadFile(p.LogPath())
		t.Logf("--- %s\n%s", p.Name(), b[max(0, len(b)-4000):])
	}
}

// fastEngines returns one engine per role; each decodes a token in 5 ms.
func fastEngines(roles ...state.Role) []fleet.Engine {
	list := make([]fleet.Engine, 0, len(roles))
	for i, r := range roles {
		list = append(list, fleet.Engine{
			Name: fmt.Sprintf("engine%d", i+1), Centre: "north", Model: "spec", Role: r, Fenced: true,
			ExtraSettings: map[string]any{"step": "5ms", "mark": "crash-the-engine", "change": "500ms", "lag": "50ms"},
		})
	}
	return list
}

func (s *deployment) injectFault(t *testing.T, target string, kind inject.FaultKind, count int) {
	t.Helper()
	if err := s.InjectFault(t.Context(), fleet.Fault{Target: target, Kind: string(kind), Count: count}); err != nil {
		t.Fatal(err)
	}
}

func (s *deployment) history(t *testing.T, target string) []inject.Record {
	t.Helper()
	var list []inject.Record
	if err := s.History(t.Context(), target, &list); err != nil {
		t.Fatal(err)
	}
	return list
}

// countRecords counts a target's records of one kind after a time.
func (s *deployment) countRecords(t *testing.T, target string, kind inject.RecordKind, after time.Time) int {
	t.Helper()
	n := 0
	for _, r := range s.history(t, target) {
		if r.Kind == kind && r.At.After(after) {
			n++
		}
	}
	return n
}

// waitStarted waits until one of the targets starts a request and returns its
// name.
func (s *deployment) waitStarted(t *testing.T, after time.Time, targets ...string) string {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, name := range targets {
			if s.countRecords(t, name, inject.RecordStart, after) > 0 {
				return name
			}
		}
	}
	t.Fatal("no engine started a request")
	return ""
}

func (s *deployment) chat(c caller.Chat, entry int) (*caller.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if c.Service == "" {
		c.Service = "counter"
	}
	return s.caller.Chat(ctx, s.Entries()[entry].URL(), c)
}

// checkAnswer compares an answer token by token with the one that an engine
// gives without faults.
func checkAnswer(c caller.Chat, a *caller.Answer, err error) error {
	if err != nil {
		return fmt.Errorf("request %s failed with code %q after %d tokens: %w", a.ID(), a.Code(), len(a.Tokens()), err)
	}
	if a.Status() != 200 || !a.Complete() {
		return fmt.Errorf("got status %d, code %q, complete %v, %d tokens: %s", a.Status(), a.Code(), a.Complete(), len(a.Tokens()), a.Body())
	}
	want := make([]string, c.Tokens)
	for i := range want {
		want[i] = inject.Token("spec", c.Prompt+"\n", c.Seed, i)
	}
	if !slices.Equal(a.Tokens(), want) {
		return fmt.Errorf("got tokens %v, want %v", a.Tokens(), want)
	}
	return nil
}
