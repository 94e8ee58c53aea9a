package logger_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenahaven.example/core/process/logger"
	"verbenahaven.example/core/process/meter"
)

// blockingWriter is a writer that blocks while the mutex blocked is held.
type blockingWriter struct {
	blocked sync.Mutex
	buffer  bytes.Buffer
}

func (s *blockingWriter) Write(b []byte) (int, error) {
	s.blocked.Lock()
	defer s.blocked.Unlock()
	return s.buffer.Write(b)
}

// A flood of lines must not block the code that logs, grow the log without bound or
// displace warnings.
func TestFloodIsRateLimited(t *testing.T) {
	w, m := &blockingWriter{}, meter.New()
	w.blocked.Lock()
	l, cleanup := logger.New(w, m)
	began := time.Now()
	for range 20_000 {
		l.Info("request", "id", "x")
	}
	l.Warn("engine lost", "engine", "e1")
	if took := time.Since(began); took > 5*time.Second {
		t.Fatalf("logging took %s while nothing could be written", took)
	}
	w.blocked.Unlock()
	cleanup()
	lines := strings.Split(strings.TrimSpace(w.buffer.String()), "\n")
	if len(lines) > 5000 {
		t.Fatalf("%d lines", len(lines))
	}
	warned, dropsLogged := false, false
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
		dropsLogged = dropsLogged || v.Message == "log lines dropped" && v.Count > 0
	}
	if !warned || !dropsLogged {
		t.Fatalf("warning kept %v, drops logged %v", warned, dropsLogged)
	}
	if m.Value("log", "dropped", "rate") == 0 {
		t.Fatal("dropped lines aren't counted")
	}
}
