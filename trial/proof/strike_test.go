package proof_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/caller"
	"verbenahaven.example/trial/fleet"
)

// TestStrikesLimitLostEngines repeatedly sends a request that crashes each
// engine it runs on, through all entry instances at once. It may crash at most
// two engines and is refused immediately after that. Other requests on the
// crashed engines still get their complete answers.
func TestStrikesLimitLostEngines(t *testing.T) {
	m := state.RoleMixed
	s := startDeployment(t, fleet.Options{
		Entries:       4,
		Engines:       fastEngines(m, m, m, m, m, m),
		EntrySettings: map[string]any{"retry": map[string]any{"silence": "300ms"}, "route": map[string]any{"report": "50ms"}},
	})
	start := time.Now()
	wait := s.startChats(t, 12, func(i int) caller.Chat {
		return caller.Chat{Prompt: fmt.Sprint("bystander ", i), Tokens: 200, Seed: int64(i)}
	})
	time.Sleep(200 * time.Millisecond)
	poison := caller.Chat{Prompt: "please crash-the-engine", Tokens: 10}
	for round := range 4 {
		var group sync.WaitGroup
		for i := range s.Entries() {
			group.Add(1)
			go func() {
				defer group.Done()
				if a, err := s.chat(poison, i); err == nil && a.Status() == 200 {
					t.Errorf("round %d: the crashing request was answered through instance %d", round, i)
				}
			}()
		}
		group.Wait()
	}
	wait()
	crashed := 0
	for i := range 6 {
		crashed += s.countRecords(t, fmt.Sprint("engine", i+1), inject.RecordCrash, start)
	}
	if crashed == 0 || crashed > 2 {
		t.Errorf("%d engines crashed, want 1 or 2", crashed)
	}
	for i := range s.Entries() {
		sent := time.Now()
		a, err := s.chat(poison, i)
		if err != nil || a.Code() != "strikes" || a.RetryAfter() == 0 {
			t.Errorf("instance %d: error %v, code %q, retry after %v, want code strikes and a retry time", i, err, a.Code(), a.RetryAfter())
		}
		if took := time.Since(sent); took > 500*time.Millisecond {
			t.Errorf("instance %d refused only after %v", i, took)
		}
	}
}
