package audit_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/process/audit"
	"verbenahaven.example/core/process/meter"
)

// sink blocks while closed is held.
type sink struct {
	closed sync.Mutex
	buffer bytes.Buffer
}

func (s *sink) Write(b []byte) (int, error) {
	s.closed.Lock()
	defer s.closed.Unlock()
	return s.buffer.Write(b)
}

// A flood neither blocks, nor grows the log without bound, nor hides warnings.
func TestFloodIsBounded(t *testing.T) {
	w, m := &sink{}, meter.New()
	w.closed.Lock()
	l, cleanup := audit.New(w, m)
	began := time.Now()
	for range 20_000 {
		l.Info("request", "id", "x")
	}
	l.Warn("engine lost", "engine", "e1")
	if took := time.Since(began); took > 5*time.Second {
		t.Fatalf("logging took %s while nothing could be written", took)
	}
	w.closed.Unlock()
	cleanup()
	lines := strings.Split(strings.TrimSpace(w.buffer.String()), "\n")
	if len(lines) > 5000 {
		t.Fatalf("%d lines", len(lines))
	}
	warned, told := false, false
	for _, line := range lines {
		var v struct {
			Message string `json:"msg"`
			Level   string `json:"level"`
			Count   int    `json:"count"`
		}
		if err := json.Unmarshal([]byte(line), &v); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		warned = warned || v.Message == "engine lost" && v.Level == "WARN"
		told = told || v.Message == "log lines dropped" && v.Count > 0
	}
	if !warned || !told {
		t.Fatalf("warning kept %v, drops told %v", warned, told)
	}
	if m.Value("log", "dropped", "rate") == 0 {
		t.Fatal("drops aren't counted")
	}
}
