package infer

import (
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/entryd/picker"
)

// pausedEngines turn completions away and ask for a pause.
type pausedEngines struct {
	mutex   sync.Mutex
	arrived map[string][]time.Time // by engine
	paused  map[string]bool
	served  pausingEngines
}

func (e *pausedEngines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != engine.PathChat {
		return
	}
	e.mutex.Lock()
	e.arrived[r.Host] = append(e.arrived[r.Host], time.Now())
	if len(e.paused) == 0 {
		e.paused[r.Host] = true // the first that is asked
	}
	paused := e.paused[r.Host] || e.paused["all"]
	e.mutex.Unlock()
	if paused {
		w.Header().Set("Retry-After", "1.5")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.served.ServeHTTP(w, r)
}

// An engine that had asked for a pause got completions during it, and callers weren't told when
// all engines in a pause take requests again.
func TestEngineInPauseGetsNoCompletion(t *testing.T) {
	e := &pausedEngines{arrived: make(map[string][]time.Time), paused: make(map[string]bool), served: pausingEngines{pauseAt: -1}}
	s := startEngines(t, e, state.RoleMixed, state.RoleMixed)
	start := time.Now()
	for n := range 30 {
		if err := s.Complete(t.Context(), testCall(), &textSink{}); err != nil && n > 0 { // the first may have no retry
			t.Fatal(err)
		}
	}
	for host := range e.paused {
		if n := len(e.arrived[host]); n != 1 || time.Since(start) > 1400*time.Millisecond {
			t.Errorf("%d completions at the engine that asked for a pause, after %v", n, time.Since(start))
		}
	}
	e.paused["all"] = true
	_ = s.Complete(t.Context(), testCall(), &textSink{}) // the other engine is heard
	asked := func() int {
		n := 0
		for _, list := range e.arrived {
			n += len(list)
		}
		return n
	}
	before, began := asked(), time.Now()
	_, err := s.balancer.Choose(s.clock.Now(), &s.begin(testCall(), &textSink{}).routeRequest)
	var paused *picker.PausedError
	if wait := picker.RetryAfter(err, 0); !errors.As(err, &paused) || wait < 200*time.Millisecond || wait > 2*time.Second {
		t.Errorf("all engines are in a pause: %v, to come back after %v", err, wait)
	}
	if err := s.Complete(t.Context(), testCall(), &textSink{}); err == nil || asked() != before || time.Since(began) > 500*time.Millisecond {
		t.Errorf("error %v after %v, %d completions at engines in a pause", err, time.Since(began), asked()-before)
	}
}
