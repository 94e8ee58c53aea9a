package infer

import (
	"encoding/json"
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
	"verbenahaven.example/entryd/guide"
	"verbenahaven.example/entryd/trail"
)

// slowSink takes longer over a token than an engine may be silent.
type slowSink struct{ tokens int }

func (s *slowSink) Token(*engine.Event, bool) error {
	s.tokens++
	if s.tokens == 2 {
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}

func (s *slowSink) End() error { return nil }

func TestSlowCallerIsNotASilentEngine(t *testing.T) {
	var asked atomic.Int32
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q engine.Request
		if json.NewDecoder(r.Body).Decode(&q) != nil || r.URL.Path != engine.PathChat {
			return
		}
		asked.Add(1)
		for i := q.Resume; i < 4; i++ {
			v := engine.Event{Attempt: q.Attempt, Token: i, Choices: []engine.Choice{{Text: "x"}}}
			if i == 3 {
				v.Choices[0].Finish = "stop"
			}
			b, _ := json.Marshal(v)
			_, _ = w.Write(stream.Append(nil, b))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
		_, _ = w.Write(stream.Append(nil, []byte(engine.Done)))
	}))
	defer e.Close()
	p, cleanup := pool.New()
	defer cleanup()
	g, store, m := guide.New("entry1", "north", route.PolicyLoad), view.New(), meter.New()
	if err := store.Apply(state.View{Version: 1, Engines: []state.Engine{
		{Name: "e1", URL: e.URL, Model: "spec", Role: state.RoleMixed, Phase: state.PhaseServing},
	}}); err != nil {
		t.Fatal(err)
	}
	g.Enforce(store.Current())
	settings := Settings{Silence: 50 * time.Millisecond, Retry: retry.NewPolicy(0.1, time.Millisecond)}
	s := New(settings, g, p, NewStrikes(nil, m, 2), m, clock.System())
	sink := &slowSink{}
	err := s.Complete(t.Context(), &Call{
		ID: "r1", Service: state.Service{Model: "spec"}, Path: engine.PathChat, Record: &trail.Record{},
		Request: engine.Request{Messages: []engine.Message{{Content: "x"}}}, Fingerprint: "f",
	}, sink)
	if err != nil || sink.tokens != 4 || asked.Load() != 1 {
		t.Fatalf("%v, %d tokens, engine asked %d times", err, sink.tokens, asked.Load())
	}
}
