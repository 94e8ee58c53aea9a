package plain

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/conn/pool"
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

// A server that had asked for a pause got calls during it.
func TestServerInPauseGetsNoCall(t *testing.T) {
	var asked, served atomic.Int32
	g, store, m := picker.New("entry1", "north", route.PolicyLoad), view.New(), meter.New()
	v := state.View{Version: 1}
	for i, h := range []http.HandlerFunc{
		func(w http.ResponseWriter, _ *http.Request) {
			asked.Add(1)
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		func(http.ResponseWriter, *http.Request) { served.Add(1) },
	} {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		v.Servers = append(v.Servers, state.Server{Name: fmt.Sprint("s", i), URL: s.URL, Service: "lookup", Phase: state.PhaseServing})
	}
	if err := store.Apply(v); err != nil {
		t.Fatal(err)
	}
	g.SetSnapshot(store.Current())
	p, cleanup := pool.New()
	t.Cleanup(cleanup)
	c := clock.System()
	s, stop := New(Settings{Holder: "h", Retry: retry.NewPolicy(0.1, time.Millisecond)}, g, p, nil,
		screen.New(nil, g, m, slog.New(slog.DiscardHandler), c), m, c)
	t.Cleanup(stop)
	start := time.Now()
	for i := range 40 {
		call := &Call{ID: fmt.Sprint("c", i), Service: state.Service{Name: "lookup"}, Method: http.MethodGet, Target: "/", Record: &trail.Record{}}
		if _, err := s.Do(t.Context(), call); err != nil {
			t.Fatal(err)
		}
	}
	if asked.Load() != 1 || served.Load() != 39 || time.Since(start) > 1900*time.Millisecond {
		t.Errorf("%d calls at the server that asked for a pause, %d at the other one, after %v", asked.Load(), served.Load(), time.Since(start))
	}
}
