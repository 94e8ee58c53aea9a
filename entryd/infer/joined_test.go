package infer

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/stream"
	"verbenahaven.example/core/version/state"
)

// textSink keeps the text of an answer.
type textSink struct {
	text  strings.Builder
	ended bool
}

func (s *textSink) Token(e *engine.Event, _ bool) error {
	for _, c := range e.Choices {
		s.text.WriteString(c.Text)
	}
	return nil
}

func (s *textSink) End() error {
	s.ended = true
	return nil
}

// Guards against the error of a second engine in the middle of an answer that the first one
// broke off, and against such an answer that ends as if it were complete.
func TestAnswerIsNotJoinedToAnError(t *testing.T) {
	events := func(request *engine.Request, from, to int) string {
		var b strings.Builder
		for i := from; i < to; i++ {
			event, _ := json.Marshal(engine.Event{Attempt: request.Attempt, Token: i, Choices: []engine.Choice{{Text: fmt.Sprint(i)}}})
			b.Write(stream.AppendEvent(nil, event))
		}
		return b.String()
	}
	for name, second := range map[string]func(w http.ResponseWriter, r *engine.Request){
		"failure":        func(w http.ResponseWriter, _ *engine.Request) { http.Error(w, "the engine's error", 500) },
		"error as 200":   func(w http.ResponseWriter, _ *engine.Request) { _, _ = io.WriteString(w, `{"error":"no room"}`) },
		"empty":          func(http.ResponseWriter, *engine.Request) {},
		"error as event": func(w http.ResponseWriter, _ *engine.Request) { _, _ = io.WriteString(w, "data: no room\n\n") },
		"head in the stream": func(w http.ResponseWriter, r *engine.Request) {
			_, _ = io.WriteString(w, events(r, 2, 3)+"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror")
		},
		"another answer": func(w http.ResponseWriter, _ *engine.Request) {
			_, _ = io.WriteString(w, events(&engine.Request{Attempt: "r9-1"}, 2, 4)+string(stream.AppendEvent(nil, []byte(engine.EndOfStream))))
		},
	} {
		t.Run(name, func(t *testing.T) {
			var began atomic.Bool
			s := startEngines(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var request engine.Request
				if r.URL.Path != engine.PathChat || json.NewDecoder(r.Body).Decode(&request) != nil {
					return
				}
				if !began.Swap(true) {
					_, _ = io.WriteString(w, events(&request, 0, 2))
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
				second(w, &request)
			}), state.RoleMixed, state.RoleMixed)
			sink := &textSink{}
			err := s.Complete(t.Context(), testCall(), sink)
			if got := sink.text.String(); err == nil || sink.ended || got != "01" && got != "012" {
				t.Errorf("error %v, ended %v, text %q", err, sink.ended, got)
			}
		})
	}
}
