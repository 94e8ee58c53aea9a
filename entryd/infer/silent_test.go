package infer

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/conn/proto"
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

const (
	testSilenceTimeout = 50 * time.Millisecond
	testSilence        = 6 * testSilenceTimeout
)

// pausingEngines are engines that fall silent once in each answer and go on.
type pausingEngines struct {
	pauseAt   int // token
	pause     time.Duration
	deaf      bool         // they answer no probe
	comments  bool         // they send comments meanwhile
	pausing   atomic.Int32 // engines that are silent
	decodes   atomic.Int32 // requests for an answer
	abandoned atomic.Int32 // answers that were cancelled
}

func (e *pausingEngines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request engine.Request
	switch r.URL.Path {
	case engine.PathState:
		if e.deaf && e.pausing.Load() > 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case engine.PathPrefill:
		_ = json.NewDecoder(r.Body).Decode(&request)
		e.fallSilent(r.Context(), 5*e.pause)
		_ = json.NewEncoder(w).Encode(engine.PrefillResult{Attempt: request.Attempt, KVHandle: "h"})
		return
	case engine.PathChat:
	default:
		return
	}
	_ = json.NewDecoder(r.Body).Decode(&request)
	e.decodes.Add(1)
	for i := request.DeliveredTokens; i < 4; i++ {
		if i == e.pauseAt {
			e.sendComments(w)
			e.fallSilent(r.Context(), e.pause)
		}
		event := engine.Event{Attempt: request.Attempt, Token: i, Choices: []engine.Choice{{Text: "x"}}}
		if i == 3 {
			event.Choices[0].FinishReason = "stop"
		}
		b, _ := json.Marshal(event)
		_, _ = w.Write(stream.AppendEvent(nil, b))
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = w.Write(stream.AppendEvent(nil, []byte(engine.EndOfStream)))
}

// sendComments sends comments for as long as the engines fall silent.
func (e *pausingEngines) sendComments(w http.ResponseWriter) {
	for end := time.Now().Add(e.pause); e.comments && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if _, err := w.Write([]byte(":\n\n")); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

func (e *pausingEngines) fallSilent(ctx context.Context, pause time.Duration) {
	e.pausing.Add(1)
	defer e.pausing.Add(-1)
	select {
	case <-ctx.Done():
		e.abandoned.Add(1)
	case <-time.After(pause):
	}
}

// noKeeper is a keeper that can't be reached.
type noKeeper struct{ proto.Keeper }

func (noKeeper) Strike(context.Context, proto.StrikeRequest) (proto.StrikeReply, error) {
	return proto.StrikeReply{}, context.DeadlineExceeded
}

func (noKeeper) Screen(context.Context, state.Screening) (state.Permission, error) {
	return state.Permission{}, context.DeadlineExceeded
}

// startEngines returns a dispatcher for engines with the given roles.
func startEngines(t *testing.T, e http.Handler, roles ...state.Role) *Dispatcher {
	t.Helper()
	p, cleanup := pool.New()
	t.Cleanup(cleanup)
	g, store, m := picker.New("entry1", "north", route.PolicyLoad), view.New(), meter.New()
	v := state.View{Version: 1}
	for i, role := range roles {
		s := httptest.NewServer(e)
		t.Cleanup(s.Close)
		v.Engines = append(v.Engines, state.Engine{Name: fmt.Sprint("e", i), URL: s.URL, Model: "spec", Role: role, Phase: state.PhaseServing})
	}
	if err := store.Apply(v); err != nil {
		t.Fatal(err)
	}
	g.SetSnapshot(store.Current())
	settings := Settings{SilenceTimeout: testSilenceTimeout, Retry: retry.NewPolicy(0.1, time.Millisecond)}
	k := noKeeper{}
	return New(settings, g, p, NewStrikes(k, m, 2), screen.New(k, g, m, slog.New(slog.DiscardHandler), clock.System()), m, clock.System())
}

func testCall() *Call {
	return &Call{
		ID: "r1", Service: state.Service{Model: "spec"}, Path: engine.PathChat, Record: &trail.Record{},
		Request: engine.Request{Messages: []engine.Message{{Content: "x"}}}, Fingerprint: "f",
	}
}

// An engine that falls silent and goes on must not end an answer that no other
// attempt can finish.
func TestSilentEngineIsKeptWithoutAnotherAttempt(t *testing.T) {
	mixed := []state.Role{state.RoleMixed, state.RoleMixed}
	for _, c := range []struct {
		name        string
		pauseAt     int
		deaf        bool
		promptBytes int
		roles       []state.Role
		change      func(*Dispatcher, *completion)
	}{
		{name: "a caller's own retry", roles: mixed, change: func(_ *Dispatcher, c *completion) { c.call.IsRetry = true }},
		{name: "no retry in the budget", roles: mixed, change: func(s *Dispatcher, _ *completion) {
			for _, name := range []string{"e0", "e1"} {
				for s.takeRetry(name, false) {
				}
			}
		}},
		{name: "no other engine", roles: mixed[:1]},
		{name: "no other engine within the answer", roles: mixed[:1], pauseAt: 2},
		{name: "no other engine and no answer to probes", roles: mixed[:1], pauseAt: 2, deaf: true},
		{name: "no tries left", roles: mixed, pauseAt: 2, change: func(_ *Dispatcher, c *completion) { c.attemptsSinceMove = maxAttempts - 1 }},
		{name: "strikes", roles: mixed, pauseAt: 2, deaf: true, change: func(s *Dispatcher, c *completion) {
			s.strikes.local.Add(s.clock.Now(), c.call.Fingerprint, "e9")
			c.suspect = true
		}},
		{
			name: "prefill of a caller's own retry", roles: []state.Role{state.RolePrefill, state.RoleDecode}, pauseAt: -1, promptBytes: 1 << 14,
			change: func(_ *Dispatcher, c *completion) { c.call.IsRetry = true },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			engines := &pausingEngines{pauseAt: c.pauseAt, pause: testSilence, deaf: c.deaf}
			s := startEngines(t, engines, c.roles...)
			sink, call := &slowSink{tokens: 2}, testCall()
			call.Request.Messages[0].Content = strings.Repeat("x", c.promptBytes)
			run := s.begin(call, sink)
			if c.change != nil {
				c.change(s, run)
			}
			err := run.run(t.Context())
			if err != nil || sink.tokens != 6 || engines.decodes.Load() != 1 || engines.abandoned.Load() != 0 {
				t.Fatalf("error %v, %d tokens, %d requests to engines, %d of them abandoned; want none, 4, 1, 0",
					err, sink.tokens-2, engines.decodes.Load(), engines.abandoned.Load())
			}
		})
	}
}

// With a retry and another engine at hand, an engine that is silent is left.
func TestSilentEngineIsLeftForAnother(t *testing.T) {
	for _, deaf := range []bool{false, true} {
		for _, pauseAt := range []int{0, 2} {
			e := &pausingEngines{pauseAt: pauseAt, pause: 3 * time.Second, deaf: deaf}
			var first atomic.Bool
			s := startEngines(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == engine.PathChat && first.Swap(true) {
					(&pausingEngines{pauseAt: -1}).ServeHTTP(w, r)
					return
				}
				e.ServeHTTP(w, r)
			}), state.RoleMixed, state.RoleMixed)
			sink := &slowSink{tokens: 2}
			start := time.Now()
			if err := s.Complete(t.Context(), testCall(), sink); err != nil || sink.tokens != 6 || time.Since(start) > 2500*time.Millisecond {
				t.Errorf("silent at token %d, deaf %v: error %v, %d tokens after %v", pauseAt, deaf, err, sink.tokens-2, time.Since(start))
			}
		}
	}
}

// An answer that has begun must not wait without end for a connection that stays silent, even
// if no other engine could go on with it.
func TestBegunAnswerLeavesConnectionThatStaysSilent(t *testing.T) {
	for _, c := range []struct {
		name          string
		silentDecodes int32 // that never go on
		noTries       bool
		comments      bool // bytes arrive that complete no event
		whole         bool
	}{
		{name: "one silent connection", silentDecodes: 1, whole: true},
		{name: "bytes without an event", silentDecodes: 1, comments: true, whole: true},
		{name: "all connections silent", silentDecodes: maxAttempts + 1},
		{name: "no tries left", silentDecodes: 1, noTries: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var decodes atomic.Int32
			s := startEngines(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				e := &pausingEngines{pauseAt: -1}
				if r.URL.Path == engine.PathChat && decodes.Add(1) <= c.silentDecodes {
					e.pauseAt, e.pause, e.comments = 2, time.Minute, c.comments
				}
				e.ServeHTTP(w, r)
			}), state.RoleMixed)
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			sink := &slowSink{tokens: 2}
			run := s.begin(testCall(), sink)
			if c.noTries {
				run.attemptsSinceMove = maxAttempts - 1
			}
			err := run.run(ctx)
			switch {
			case ctx.Err() != nil:
				t.Fatalf("%d tokens and no end: %v", sink.tokens-2, err)
			case c.whole && (err != nil || sink.tokens != 6):
				t.Fatalf("%d tokens of 4, error %v", sink.tokens-2, err)
			case !c.whole && err == nil:
				t.Fatalf("%d tokens and no error", sink.tokens-2)
			}
		})
	}
}

// Calls of one silent engine hold a retry each while its budget lasts, and give it
// back if they don't need it.
func TestHeldRetriesStayWithinBudget(t *testing.T) {
	s := startEngines(t, http.NotFoundHandler())
	for range 2 {
		var held []*completion
		for {
			c := s.begin(testCall(), nil)
			if !c.holdRetry("e0") {
				break
			}
			if !c.holdRetry("e0") {
				t.Fatal("a held retry is lost")
			}
			held = append(held, c)
		}
		if len(held) != 3 {
			t.Fatalf("%d calls hold a retry, 3 in the budget", len(held))
		}
		for _, c := range held {
			c.returnHeldRetry()
			c.returnHeldRetry()
		}
	}
}
