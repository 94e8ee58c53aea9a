package proof_test

import (
	"fmt"
	"testing"
	"time"

	"verbenahaven.example/core/conn/stand"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/caller"
	"verbenahaven.example/trial/fleet"
)

// Equal questions, once one was answered, use all engines.
func TestAnswerSpreadsEqualQuestions(t *testing.T) {
	m := state.RoleMixed
	s := startSite(t, fleet.Options{Entries: 2, Engines: quick(m, m, m, m, m, m)})
	same := func(int) caller.Chat { return caller.Chat{Prompt: "the same question", Tokens: 10} }
	s.chats(t, 2, same)()
	begin := time.Now()
	s.chats(t, 60, same)()
	used := 0
	for i := range 6 {
		if s.count(t, fmt.Sprint("engine", i+1), stand.RecordStart, begin) > 0 {
			used++
		}
	}
	if used < 6 {
		t.Errorf("%d of 6 engines were used", used)
	}
}

// P4 without control: while nobody keeps the state, the instances go on, and
// answers are whole also when an engine crashes.
func TestAnswerIsWholeWithoutControl(t *testing.T) {
	m := state.RoleMixed
	s := startSite(t, fleet.Options{
		Entries: 2, Engines: quick(m, m, m),
		Entry: map[string]any{"route": map[string]any{"report": "50ms"}},
	})
	s.Keepers()[0].Kill()
	time.Sleep(4 * time.Second)
	begin := time.Now()
	wait := s.chats(t, 8, func(i int) caller.Chat {
		return caller.Chat{Prompt: fmt.Sprint("question ", i), Tokens: 200, Seed: int64(i)}
	})
	e := s.started(t, begin, "engine1", "engine2", "engine3")
	time.Sleep(100 * time.Millisecond)
	s.fault(t, e, stand.Crash, 0)
	wait()
}
