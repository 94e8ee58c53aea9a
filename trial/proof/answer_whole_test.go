package proof_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/stand"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/caller"
	"verbenahaven.example/trial/fleet"
)

// P4: whatever an engine or the way to it does, each caller gets the whole
// answer to its own request, token for token.
func TestAnswerIsWhole(t *testing.T) {
	s := startSite(t, fleet.Options{
		Entries: 2,
		Wires:   true,
		Engines: quick(state.RolePrefill, state.RolePrefill, state.RoleDecode, state.RoleDecode, state.RoleDecode),
		Entry:   map[string]any{"retry": map[string]any{"silence": "300ms"}, "route": map[string]any{"report": "50ms"}},
	})
	prefillers, decoders := []string{"engine1", "engine2"}, []string{"engine3", "engine4", "engine5"}
	long := strings.Repeat("clause ", 900)
	cases := []struct {
		name   string
		before func()
		at     []string // engines of which one is broken
		after  time.Duration
		during func(engine string)
	}{
		{name: "no fault"},
		{name: "engine crashes", at: decoders, after: 150 * time.Millisecond, during: func(e string) { s.fault(t, e, stand.Crash, 0) }},
		{name: "prefill engine crashes", at: prefillers, after: 20 * time.Millisecond, during: func(e string) { s.fault(t, e, stand.Crash, 0) }},
		{name: "connection silent for good", at: decoders, after: 150 * time.Millisecond, during: func(e string) { s.fault(t, fleet.WireName(e), stand.Silence, 0) }},
		{name: "connection reset", at: decoders, after: 150 * time.Millisecond, during: func(e string) { s.fault(t, fleet.WireName(e), stand.Reset, 0) }},
		{name: "answers truncated", before: func() { s.faults(t, decoders, stand.Truncate, 2) }},
		{name: "answers crossed", before: func() { s.faults(t, decoders, stand.Cross, 6) }},
		{name: "events late", before: func() { s.faults(t, decoders, stand.Late, 6) }},
		{name: "events doubled", before: func() { s.faults(t, decoders, stand.Duplicate, 6) }},
	}
	for n, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.before != nil {
				c.before()
			}
			begin := time.Now()
			wait := s.chats(t, 8, func(i int) caller.Chat {
				return caller.Chat{Prompt: fmt.Sprint(long, n, i), Tokens: 100, Seed: int64(i)}
			})
			if c.during != nil {
				e := s.started(t, begin, c.at...)
				time.Sleep(c.after)
				c.during(e)
			}
			wait()
			s.heal(t, append(prefillers, decoders...))
		})
	}
}

func (s *site) faults(t *testing.T, targets []string, kind stand.Kind, count int) {
	for _, name := range targets {
		s.fault(t, name, kind, count)
	}
}

// heal revives engines and waits until the entry instances use them again.
func (s *site) heal(t *testing.T, targets []string) {
	s.faults(t, targets, stand.Revive, 0)
	s.faults(t, targets, stand.Heal, 0)
	time.Sleep(200 * time.Millisecond)
}

// chats starts chats through all entry instances at once and returns a
// function that waits and checks that each is whole.
func (s *site) chats(t *testing.T, count int, chat func(i int) caller.Chat) func() {
	var group sync.WaitGroup
	for i := range count {
		group.Add(1)
		go func() {
			defer group.Done()
			c := chat(i)
			a, err := s.chat(c, i%len(s.Entries()))
			if err := checkWhole(c, a, err); err != nil {
				t.Errorf("chat %d: %v", i, err)
				s.explain(t, a)
			}
		}()
	}
	return group.Wait
}

// explain logs what the instances know of a request.
func (s *site) explain(t *testing.T, a *caller.Answer) {
	for _, p := range s.Entries() {
		var steps struct {
			Steps   any
			Refused string
		}
		if s.Get(t.Context(), p.URL()+"/explain?request="+a.ID(), &steps) == nil {
			t.Logf("%s: %+v", a.ID(), steps)
		}
	}
}
