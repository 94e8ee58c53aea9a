// Package plain is a stand-in for a plain HTTP service whose calls are not
// idempotent: each arrival is a run, and the history tells all of them.
package plain

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"verbenahaven.example/core/conn/stand"
	"verbenahaven.example/stand/config"
	"verbenahaven.example/stand/gate"
	"verbenahaven.example/stand/trace"
)

const (
	bodyLimit = 16 << 20
	bodyKept  = 256 // bytes of a body in the history
)

var errFault = errors.New("unknown kind of fault for this target")

// Server is one server of a plain service.
type Server struct {
	config  config.Plain
	history *trace.History
	gate    *gate.Listener

	mutex sync.Mutex
	runs  uint64
	time  time.Duration
	lose  int
	mute  int
	stop  chan struct{}
}

// New returns a server that doesn't listen yet.
func New(c config.Plain) *Server {
	return &Server{
		config: c, history: &trace.History{}, time: time.Duration(c.Time), stop: make(chan struct{}),
	}
}

// History tells the runs.
func (s *Server) History() *trace.History {
	return s.history
}

// Listen serves calls. The clean-up closes all connections.
func (s *Server) Listen(ctx context.Context) (func(), error) {
	l, cleanup, err := gate.Serve(ctx, s.config.Listen, s)
	if err != nil {
		return nil, fmt.Errorf("plain service %s: %w", s.config.Name, err)
	}
	s.gate = l
	return func() {
		close(s.stop)
		cleanup()
	}, nil
}

// ServeHTTP runs a call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	number, lose, mute := s.run(r, body)
	if !s.work() {
		panic(http.ErrAbortHandler)
	}
	if mute {
		<-s.stop
	}
	if lose || mute {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Service string `json:"service"`
		Server  string `json:"server"`
		Number  uint64 `json:"number"`
		Body    string `json:"body"`
	}{s.config.Service, s.config.Name, number, string(body)})
}

// run records a run and tells which faults meet it.
func (s *Server) run(r *http.Request, body []byte) (number uint64, lose, mute bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runs++
	s.history.Add(stand.Record{
		Kind: stand.RecordRun, Call: r.Header.Get(stand.HeaderCall), Method: r.Method,
		Path: r.URL.RequestURI(), Body: string(body[:min(len(body), bodyKept)]),
	})
	if s.lose > 0 {
		s.lose--
		return s.runs, true, false
	}
	if s.mute > 0 {
		s.mute--
		return s.runs, false, true
	}
	return s.runs, false, false
}

// work takes the time of a call; false when the server stops meanwhile.
func (s *Server) work() bool {
	s.mutex.Lock()
	d := s.time
	s.mutex.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.stop:
		return false
	}
}

// Fault brings a fault about.
func (s *Server) Fault(f stand.Fault) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch f.Kind {
	case stand.Crash:
		s.history.Add(stand.Record{Kind: stand.RecordCrash})
		s.gate.Down(true)
	case stand.Revive:
		s.history.Add(stand.Record{Kind: stand.RecordRevive})
		s.gate.Down(false)
	case stand.Silence:
		s.gate.Silence()
	case stand.Reset:
		s.gate.Reset()
	case stand.Lose:
		s.lose += max(1, f.Count)
	case stand.Mute:
		s.mute += max(1, f.Count)
	case stand.Slow:
		d, err := time.ParseDuration(f.Value)
		if err != nil {
			return fmt.Errorf("slow by %q: %w", f.Value, err)
		}
		s.time = d
	case stand.Heal:
		s.lose, s.mute, s.time = 0, 0, time.Duration(s.config.Time)
	default:
		return fmt.Errorf("%s: %w", f.Kind, errFault)
	}
	return nil
}
