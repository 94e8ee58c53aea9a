package proof_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/trial/caller"
	"verbenahaven.example/trial/fleet"
)

// countRecords counts the records of one kind in an engine's history.
func (g *keeperGroup) countRecords(engine string, kind inject.RecordKind) int {
	g.t.Helper()
	var records []inject.Record
	if err := g.History(g.t.Context(), engine, &records); err != nil {
		g.t.Fatal(err)
	}
	n := 0
	for _, r := range records {
		if r.Kind == kind {
			n++
		}
	}
	return n
}

// startStream starts a chat that streams for a second or two, and returns the
// engine that runs it and a channel for its answer.
func (g *keeperGroup) startStream(engines []string) (engine string, answer <-chan *caller.Answer) {
	g.t.Helper()
	before := make(map[string]int)
	for _, e := range engines {
		before[e] = g.countRecords(e, inject.RecordStart)
	}
	done := make(chan *caller.Answer, 1)
	go func() {
		client := caller.New(g.CallerToken())
		defer client.Close()
		chat := caller.Chat{Service: "counter", Prompt: "hello", Tokens: 120, Seed: 1}
		a, err := client.Chat(g.t.Context(), g.Entries()[0].URL(), chat)
		if err != nil {
			g.t.Error(err)
		}
		done <- a
	}()
	g.waitFor("a stream", func() error {
		for _, e := range engines {
			if g.countRecords(e, inject.RecordStart) > before[e] {
				engine = e
				return nil
			}
		}
		return errors.New("no engine started a stream")
	})
	return engine, done
}

// phase returns the phase of an engine, "" for one that is gone.
func (g *keeperGroup) phase(engine string) state.Phase {
	g.t.Helper()
	r := g.runAt(g.leader(), "ask engines where name = %s show phase", engine)
	if len(r.Tables[0].Rows) == 0 {
		return ""
	}
	return state.Phase(r.Tables[0].Rows[0][0])
}

// TestOrderWaitsForStreams replaces, withdraws and reassigns an engine while a
// stream runs on it. Each change must wait for the stream's end and cut none.
func TestOrderWaitsForStreams(t *testing.T) {
	keep := fastKeeperSettings()
	keep["order"].(map[string]any)["drain"] = "10s"
	engines := []string{"engine1", "engine2", "engine3"}
	g := startKeeperGroup(t, fleet.Options{
		Entries: 2, KeeperSettings: keep, Commands: "declare service counter model spec first 5s deadline 20s",
		Engines:       []fleet.Engine{fastEngine(engines[0], true), fastEngine(engines[1], true), fastEngine(engines[2], false)},
		EntrySettings: map[string]any{"route": map[string]any{"report": "50ms"}},
	})
	available := slices.Clone(engines)
	changes := []struct {
		text   func(engine, other string) string
		during state.Phase
		after  state.Phase
	}{
		{func(e, o string) string { return fmt.Sprintf("replace engine %s with %s", e, o) }, state.PhaseLeaving, ""},
		{func(e, _ string) string { return "withdraw engine " + e }, state.PhaseLeaving, ""},
		{func(e, _ string) string { return "assign engine " + e + " role decode" }, state.PhaseChanging, state.PhaseServing},
	}
	for _, c := range changes {
		engine, answer := g.startStream(available)
		available = slices.DeleteFunc(available, func(e string) bool { return e == engine })
		other := ""
		if len(available) > 0 {
			other = available[0]
		}
		text := c.text(engine, other)
		g.runAt(g.leader(), "%s", text)
		time.Sleep(300 * time.Millisecond)
		select {
		case <-answer:
			t.Fatalf("%s: the stream ended before the check; it is too short", text)
		default:
		}
		if p := g.phase(engine); p != c.during || g.countRecords(engine, inject.RecordOrder) > 0 {
			t.Errorf("%s: engine's phase is %q while the stream runs, %d orders sent", text, p, g.countRecords(engine, inject.RecordOrder))
		}
		if a := <-answer; !a.Complete() || len(a.Tokens()) != 120 {
			t.Errorf("%s: %d tokens, complete %v", text, len(a.Tokens()), a.Complete())
		}
		g.waitFor(text, func() error {
			if p := g.phase(engine); p != c.after {
				return fmt.Errorf("phase of %s is %q", engine, p)
			}
			return nil
		})
		if n := g.countRecords(engine, inject.RecordAborted); n > 0 {
			t.Errorf("%s: %d streams cut", text, n)
		}
	}
}
