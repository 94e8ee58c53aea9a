// Package plain simulates a plain HTTP service whose calls aren't idempotent. It
// records each run of a call, so that tests can detect calls that ran twice.
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

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/stand/config"
	"verbenahaven.example/stand/gate"
	"verbenahaven.example/stand/trace"
)

const (
	maxBodyBytes      = 16 << 20
	recordedBodyBytes = 256 // start of a body that is kept in the records
)

var errUnknownFault = errors.New("fault kind not supported by this target")

// Server is a simulated server of a plain service.
type Server struct {
	config  config.Plain
	history *trace.History
	gate    *gate.Listener

	mutex       sync.Mutex
	runs        uint64
	serviceTime time.Duration
	dropsLeft   int
	hangsLeft   int
	stop        chan struct{}
}

// New returns a server; Listen starts it.
func New(c config.Plain) *Server {
	return &Server{
		config: c, history: &trace.History{}, serviceTime: time.Duration(c.ServiceTime), stop: make(chan struct{}),
	}
}

// History returns the server's records.
func (s *Server) History() *trace.History {
	return s.history
}

// Listen serves calls. The returned function stops the server and closes all
// connections.
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

// ServeHTTP runs a call and responds, unless a fault drops the response.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	number, drop, hang := s.recordRun(r, body)
	if !s.waitServiceTime() {
		panic(http.ErrAbortHandler)
	}
	if hang {
		<-s.stop
	}
	if drop || hang {
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

// recordRun records a run and returns its number and the fault for its response:
// drop closes the connection without one, hang keeps it open without one until
// the server stops.
func (s *Server) recordRun(r *http.Request, body []byte) (number uint64, drop, hang bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runs++
	s.history.Add(inject.Record{
		Kind: inject.RecordExecuted, Call: r.Header.Get(inject.HeaderCallID), Method: r.Method,
		Path: r.URL.RequestURI(), Body: string(body[:min(len(body), recordedBodyBytes)]),
	})
	if s.dropsLeft > 0 {
		s.dropsLeft--
		return s.runs, true, false
	}
	if s.hangsLeft > 0 {
		s.hangsLeft--
		return s.runs, false, true
	}
	return s.runs, false, false
}

// waitServiceTime waits for the duration of a call. It returns false if the
// server stops first.
func (s *Server) waitServiceTime() bool {
	s.mutex.Lock()
	d := s.serviceTime
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

// InjectFault injects or clears a fault.
func (s *Server) InjectFault(f inject.Fault) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch f.Kind {
	case inject.Crash:
		s.history.Add(inject.Record{Kind: inject.RecordCrash})
		s.gate.SetDown(true)
	case inject.Restart:
		s.history.Add(inject.Record{Kind: inject.RecordRestart})
		s.gate.SetDown(false)
	case inject.StallConns:
		s.gate.StallConns()
	case inject.ResetConns:
		s.gate.ResetConns()
	case inject.DropAnswer:
		s.dropsLeft += max(1, f.Count)
	case inject.NeverAnswer:
		s.hangsLeft += max(1, f.Count)
	case inject.Slow:
		d, err := time.ParseDuration(f.Value)
		if err != nil {
			return fmt.Errorf("slow: invalid duration %q: %w", f.Value, err)
		}
		s.serviceTime = d
	case inject.ClearFaults:
		s.dropsLeft, s.hangsLeft, s.serviceTime = 0, 0, time.Duration(s.config.ServiceTime)
	default:
		return fmt.Errorf("%s: %w", f.Kind, errUnknownFault)
	}
	return nil
}
