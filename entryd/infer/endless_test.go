package infer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"verbenahaven.example/core/conn/body"
	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/version/state"
)

// A failure whose body goes on for good held the call of the only engine for good.
func TestFailureWithoutEndEndsCall(t *testing.T) {
	for path, role := range map[string]state.Role{engine.PathChat: state.RoleMixed, engine.PathPrefill: state.RolePrefill} {
		t.Run(path, func(t *testing.T) {
			var asked atomic.Int32
			s := startEngines(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != path {
					return
				}
				asked.Add(1)
				if path == engine.PathChat {
					w.WriteHeader(http.StatusServiceUnavailable)
				} else {
					_, _ = io.WriteString(w, `{"attempt":"r1-1","handle":"h"}`)
				}
				for r.Context().Err() == nil {
					_, _ = io.WriteString(w, " ")
					_ = http.NewResponseController(w).Flush()
					time.Sleep(10 * time.Millisecond)
				}
			}), role, state.RoleDecode)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			call := testCall()
			call.Request.Messages[0].Content = strings.Repeat("x", 100_000)
			if err := s.Complete(ctx, call, &textSink{}); err == nil || ctx.Err() != nil || asked.Load() == 0 {
				t.Errorf("error %v after %d requests", err, asked.Load())
			}
		})
	}
}

// A broken engine may answer without end: what is kept of that must be bounded, and the call
// must end.
func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	const memory = 4 << 20
	token := func(i int, text string) string {
		return fmt.Sprintf(`data: {"attempt":"r1-1","token":%d,"choices":[{"text":%q}]}`+"\n\n", i, text)
	}
	for name, part := range map[string]func(i int) string{
		"an event":          func(int) string { return "data: " + strings.Repeat("x", 8<<10) },
		"lines of an event": func(int) string { return "data: x\n" },
		"comments":          func(int) string { return ": x\n\n" },
		"other answers":     func(int) string { return `data: {"attempt":"r9-1","token":0,"choices":[{"text":"x"}]}` + "\n\n" },
		"choices":           func(int) string { return `data: {"choices":[` + strings.Repeat("{},", 20_000) + "{}]}\n\n" },
		"tokens":            func(i int) string { return token(i, "x") },
		"long tokens":       func(i int) string { return token(i, strings.Repeat("x", 8<<10)) },
		"prefill":           func(int) string { return `{"handle":"` + strings.Repeat("x", 8<<10) },
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			sink, call := &textSink{}, testCall()
			role := []state.Role{state.RoleMixed}
			if name == "prefill" {
				role = []state.Role{state.RolePrefill, state.RoleDecode}
				call.Request.Messages[0].Content = strings.Repeat("x", 100_000)
			}
			s := startEngines(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var q engine.Request
				if r.URL.Path == engine.PathState || name == "prefill" && r.URL.Path != engine.PathPrefill || json.NewDecoder(r.Body).Decode(&q) != nil {
					return
				}
				for i := 0; ; i++ {
					n, err := io.WriteString(w, part(i))
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
			}), role...)
			s.settings.Answers = body.NewBudget(memory)
			if name == "tokens" {
				call.Request.MaxTokens = 1000
			}
			began := time.Now()
			err := s.Complete(t.Context(), call, sink)
			if _, peak := s.settings.Answers.Used(); err == nil || time.Since(began) > 5*time.Second || sink.text.Len() > memory || peak > memory*9/8 {
				t.Errorf("error %v after %s, %d bytes delivered, %d held", err, time.Since(began), sink.text.Len(), peak)
			}
			if now, _ := s.settings.Answers.Used(); now != 0 || sent.Load() == 0 || sent.Load() > 128<<20 {
				t.Errorf("%d bytes still held, %d sent", now, sent.Load())
			}
		})
	}
}
