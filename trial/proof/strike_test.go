package proof_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/stand"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/caller"
	"verbenahaven.example/trial/fleet"
)

// F1: a request that crashes each engine that runs it is sent through all
// instances at once, again and again. It costs two engines at most and is
// then refused at once; those who shared an engine with it get their answers.
func TestStrikesBoundTheEnginesLost(t *testing.T) {
	m := state.RoleMixed
	s := startSite(t, fleet.Options{
		Entries: 4,
		Engines: quick(m, m, m, m, m, m),
		Entry:   map[string]any{"retry": map[string]any{"silence": "300ms"}, "route": map[string]any{"report": "50ms"}},
	})
	begin := time.Now()
	wait := s.chats(t, 12, func(i int) caller.Chat {
		return caller.Chat{Prompt: fmt.Sprint("bystander ", i), Tokens: 200, Seed: int64(i)}
	})
	time.Sleep(200 * time.Millisecond)
	bad := caller.Chat{Prompt: "please crash-the-engine", Tokens: 10}
	for round := range 4 {
		var group sync.WaitGroup
		for i := range s.Entries() {
			group.Add(1)
			go func() {
				defer group.Done()
				if a, err := s.chat(bad, i); err == nil && a.Status() == 200 {
					t.Errorf("round %d: answered through instance %d", round, i)
				}
			}()
		}
		group.Wait()
	}
	wait()
	lost := 0
	for i := range 6 {
		lost += s.count(t, fmt.Sprint("engine", i+1), stand.RecordCrash, begin)
	}
	if lost == 0 || lost > 2 {
		t.Errorf("%d engines lost, want 1 or 2", lost)
	}
	for i := range s.Entries() {
		at := time.Now()
		a, err := s.chat(bad, i)
		if err != nil || a.Code() != "strikes" || a.Retry() == 0 {
			t.Errorf("instance %d: %v, code %q, retry after %v", i, err, a.Code(), a.Retry())
		}
		if took := time.Since(at); took > 500*time.Millisecond {
			t.Errorf("instance %d refused after %v", i, took)
		}
	}
}
