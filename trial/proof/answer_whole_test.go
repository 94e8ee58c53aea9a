package proof_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/caller"
	"verbenahaven.example/trial/fleet"
)

// TestAnswerIsWhole injects faults into engines and into the connections to
// them. Each caller still gets the complete answer to its own request, token
// for token.
func TestAnswerIsWhole(t *testing.T) {
	s := startDeployment(t, fleet.Options{
		Entries:       2,
		ProxyBackends: true,
		Engines:       fastEngines(state.RolePrefill, state.RolePrefill, state.RoleDecode, state.RoleDecode, state.RoleDecode),
		EntrySettings: map[string]any{"retry": map[string]any{"silence": "300ms"}, "route": map[string]any{"report": "50ms"}},
	})
	prefillers, decoders := []string{"engine1", "engine2"}, []string{"engine3", "engine4", "engine5"}
	longPrefix := strings.Repeat("clause ", 900)
	cases := []struct {
		name   string
		before func()
		at     []string // candidates; the first to start a request gets the fault
		after  time.Duration
		during func(engine string)
	}{
		{name: "no fault"},
		{name: "engine crashes", at: decoders, after: 150 * time.Millisecond, during: func(e string) { s.injectFault(t, e, inject.Crash, 0) }},
		{name: "prefill engine crashes", at: prefillers, after: 20 * time.Millisecond, during: func(e string) { s.injectFault(t, e, inject.Crash, 0) }},
		{name: "connection stalls", at: decoders, after: 150 * time.Millisecond, during: func(e string) { s.injectFault(t, fleet.BackendProxyName(e), inject.StallConns, 0) }},
		{name: "connection reset", at: decoders, after: 150 * time.Millisecond, during: func(e string) { s.injectFault(t, fleet.BackendProxyName(e), inject.ResetConns, 0) }},
		{name: "answers truncated", before: func() { s.injectFaults(t, decoders, inject.Truncate, 2) }},
		{name: "events swapped between streams", before: func() { s.injectFaults(t, decoders, inject.SwapEvents, 6) }},
		{name: "stale events", before: func() { s.injectFaults(t, decoders, inject.StaleEvent, 6) }},
		{name: "events duplicated", before: func() { s.injectFaults(t, decoders, inject.Duplicate, 6) }},
	}
	for n, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.before != nil {
				c.before()
			}
			start := time.Now()
			wait := s.startChats(t, 8, func(i int) caller.Chat {
				return caller.Chat{Prompt: fmt.Sprint(longPrefix, n, i), Tokens: 100, Seed: int64(i)}
			})
			if c.during != nil {
				e := s.waitStarted(t, start, c.at...)
				time.Sleep(c.after)
				c.during(e)
			}
			wait()
			s.heal(t, append(prefillers, decoders...))
		})
	}
}

func (s *deployment) injectFaults(t *testing.T, targets []string, kind inject.FaultKind, count int) {
	for _, name := range targets {
		s.injectFault(t, name, kind, count)
	}
}

// heal restarts engines, ends the faults on them and gives the entry instances
// 200 ms to use them again.
func (s *deployment) heal(t *testing.T, targets []string) {
	s.injectFaults(t, targets, inject.Restart, 0)
	s.injectFaults(t, targets, inject.ClearFaults, 0)
	time.Sleep(200 * time.Millisecond)
}

// startChats starts chats concurrently, spread over all entry instances. Each
// answer is checked as it arrives; the returned function waits for all.
func (s *deployment) startChats(t *testing.T, count int, chat func(i int) caller.Chat) func() {
	var group sync.WaitGroup
	for i := range count {
		group.Add(1)
		go func() {
			defer group.Done()
			c := chat(i)
			a, err := s.chat(c, i%len(s.Entries()))
			if err := checkAnswer(c, a, err); err != nil {
				t.Errorf("chat %d: %v", i, err)
				s.logExplanation(t, a)
			}
		}()
	}
	return group.Wait
}

// logExplanation logs each entry instance's record of how it routed a request.
func (s *deployment) logExplanation(t *testing.T, a *caller.Answer) {
	for _, p := range s.Entries() {
		var record struct {
			Steps   any
			Refused string
		}
		if s.Get(t.Context(), p.URL()+"/explain?request="+a.ID(), &record) == nil {
			t.Logf("%s: %+v", a.ID(), record)
		}
	}
}
