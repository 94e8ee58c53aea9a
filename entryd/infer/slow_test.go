package infer

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/conn/stream"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/core/request/retry"
	"verbenahaven.example/core/request/route"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
	"verbenahaven.example/entryd/picker"
	"verbenahaven.example/entryd/screen"
	"verbenahaven.example/entryd/trail"
)

// slowSink takes longer for its second token than an engine may be silent.
type slowSink struct{ tokens int }

func (s *slowSink) Token(*engine.Event, bool) error {
	s.tokens++
	if s.tokens == 2 {
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}

func (s *slowSink) End() error { return nil }

// Time in which the caller is slow to read must not count as silence of the
// engine: that would make the call leave a healthy engine.
func TestSlowCallerIsNotASilentEngine(t *testing.T) {
	var requests atomic.Int32
	engineServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request engine.Request
		if json.NewDecoder(r.Body).Decode(&request) != nil || r.URL.Path != engine.PathChat {
			return
		}
		requests.Add(1)
		for i := request.DeliveredTokens; i < 4; i++ {
			event := engine.Event{Attempt: request.Attempt, Token: i, Choices: []engine.Choice{{Text: "x"}}}
			if i == 3 {
				event.Choices[0].FinishReason = "stop"
			}
			b, _ := json.Marshal(event)
			_, _ = w.Write(stream.AppendEvent(nil, b))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = w.Write(stream.AppendEvent(nil, []byte(engine.EndOfStream)))
	}))
	defer engineServer.Close()
	p, cleanup := pool.New()
	defer cleanup()
	g, store, m := picker.New("entry1", "north", route.PolicyLoad), view.New(), meter.New()
	if err := store.Apply(state.View{Version: 1, Engines: []state.Engine{
		{Name: "e1", URL: engineServer.URL, Model: "spec", Role: state.RoleMixed, Phase: state.PhaseServing},
	}}); err != nil {
		t.Fatal(err)
	}
	g.SetSnapshot(store.Current())
	settings := Settings{SilenceTimeout: 50 * time.Millisecond, Retry: retry.NewPolicy(0.1, time.Millisecond)}
	s := New(settings, g, p, NewStrikes(nil, m, 2), screen.New(nil, g, m, slog.New(slog.DiscardHandler), clock.System()), m, clock.System())
	sink := &slowSink{}
	err := s.Complete(t.Context(), &Call{
		ID: "r1", Service: state.Service{Model: "spec"}, Path: engine.PathChat, Record: &trail.Record{},
		Request: engine.Request{Messages: []engine.Message{{Content: "x"}}}, Fingerprint: "f",
	}, sink)
	if err != nil || sink.tokens != 4 || requests.Load() != 1 {
		t.Fatalf("error %v, %d tokens, %d requests to the engine; want none, 4, 1", err, sink.tokens, requests.Load())
	}
}
