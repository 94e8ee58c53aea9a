package proof_test

import (
	"fmt"
	"testing"
	"time"

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/caller"
	"verbenahaven.example/trial/fleet"
)

// TestAnswerSpreadsEqualPrompts sends many copies of a prompt that an engine
// has already answered. They must use all engines, not just those that have
// the prompt cached.
func TestAnswerSpreadsEqualPrompts(t *testing.T) {
	m := state.RoleMixed
	s := startDeployment(t, fleet.Options{Entries: 2, Engines: fastEngines(m, m, m, m, m, m)})
	same := func(int) caller.Chat { return caller.Chat{Prompt: "the same question", Tokens: 10} }
	s.startChats(t, 2, same)()
	start := time.Now()
	s.startChats(t, 60, same)()
	used := 0
	for i := range 6 {
		if s.countRecords(t, fmt.Sprint("engine", i+1), inject.RecordStart, start) > 0 {
			used++
		}
	}
	if used < 6 {
		t.Errorf("%d of 6 engines were used, want all", used)
	}
}

// TestAnswerIsWholeWithoutKeepers kills the only keeper, then crashes an engine
// under load. The entry instances keep serving with the last state that they
// received, and each answer is complete.
func TestAnswerIsWholeWithoutKeepers(t *testing.T) {
	m := state.RoleMixed
	s := startDeployment(t, fleet.Options{
		Entries: 2, Engines: fastEngines(m, m, m),
		EntrySettings: map[string]any{"route": map[string]any{"report": "50ms"}},
	})
	s.Keepers()[0].Kill()
	time.Sleep(4 * time.Second)
	start := time.Now()
	wait := s.startChats(t, 8, func(i int) caller.Chat {
		return caller.Chat{Prompt: fmt.Sprint("question ", i), Tokens: 200, Seed: int64(i)}
	})
	e := s.waitStarted(t, start, "engine1", "engine2", "engine3")
	time.Sleep(100 * time.Millisecond)
	s.injectFault(t, e, inject.Crash, 0)
	wait()
}
