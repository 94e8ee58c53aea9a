package front

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/stream"
	"verbenahaven.example/entryd/fault"
	"verbenahaven.example/entryd/infer"
)

// sink writes one answer to a caller, as a stream or whole.
type sink struct {
	w         http.ResponseWriter
	control   *http.ResponseController
	id        string
	chat      bool
	model     string
	stream    bool
	begun     bool // the status was written
	delivered atomic.Bool
	tokens    int
	text      strings.Builder
	finish    string
	prompt    int
	bounded   time.Time // when the time to write was last limited
	out       engine.Event
	buffer    bytes.Buffer
	encoder   *json.Encoder
}

// stall is the least time that a caller may leave an answer unread.
const stall = 30 * time.Second

const (
	chunkObject = "chat.completion.chunk"
	textObject  = "text_completion"
	wholeObject = "chat.completion"
	assistant   = "assistant"
)

func newSink(w http.ResponseWriter, id, path string) *sink {
	s := &sink{w: w, control: http.NewResponseController(w), id: id, chat: path == engine.PathChat}
	s.encoder = json.NewEncoder(&s.buffer)
	s.encoder.SetEscapeHTML(false)
	return s
}

func (s *sink) begin(r *engine.Request) {
	s.stream, s.model = r.Stream, r.Model
	s.prompt = infer.Expected(&engine.Request{Messages: r.Messages, Prompt: r.Prompt, MaxTokens: 1}) - 1
}

// Token implements infer.Sink.
func (s *sink) Token(e *engine.Event, more bool) error {
	s.delivered.Store(true)
	s.tokens++
	if !s.stream {
		for _, c := range e.Choices {
			s.text.WriteString(c.Delta.Content)
			s.text.WriteString(c.Text)
			s.finish = c.Finish
		}
		return nil
	}
	s.out = *e
	s.out.ID, s.out.Model, s.out.Attempt, s.out.Object = s.id, s.model, "", textObject
	if s.chat {
		s.out.Object = chunkObject
		for i := range s.out.Choices {
			s.out.Choices[i].Delta.Role = assistant
		}
	}
	s.buffer.Reset()
	s.buffer.WriteString(stream.Head)
	if err := s.encoder.Encode(&s.out); err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	s.buffer.WriteByte('\n') // the encoder wrote the end of the line
	return s.write(more)
}

// write sends the event in the buffer.
func (s *sink) write(more bool) error {
	if !s.begun {
		s.begun = true
		h := s.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		s.w.WriteHeader(http.StatusOK)
	}
	s.bound()
	if _, err := s.w.Write(s.buffer.Bytes()); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if more {
		return nil
	}
	if err := s.control.Flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}

// bound limits how long a caller may keep an answer from being written: an
// engine holds room for it meanwhile. The limit is renewed once in a while.
func (s *sink) bound() {
	now := time.Now()
	if now.Sub(s.bounded) < stall/2 {
		return
	}
	s.bounded = now
	// Only real connections have deadlines.
	_ = s.control.SetWriteDeadline(now.Add(stall))
}

func (s *sink) event(data []byte) error {
	s.buffer.Reset()
	s.buffer.Write(stream.Append(nil, data))
	return s.write(false)
}

// End implements infer.Sink.
func (s *sink) End() error {
	if s.stream {
		defer func() { _ = s.control.SetWriteDeadline(time.Time{}) }()
		return s.event([]byte(engine.Done))
	}
	s.begun = true
	s.w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(s.w).Encode(s.whole()); err != nil {
		return fmt.Errorf("write answer: %w", err)
	}
	return nil
}

// Whole is an answer that isn't streamed.
type Whole struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []WholeChoice `json:"choices"`
	Usage   Usage         `json:"usage"`
}

// WholeChoice is one alternative of a whole answer.
type WholeChoice struct {
	Index   int             `json:"index"`
	Message *engine.Message `json:"message,omitempty"`
	Text    string          `json:"text,omitempty"`
	Finish  string          `json:"finish_reason"`
}

// Usage counts the tokens of a request.
type Usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

func (s *sink) whole() Whole {
	c := WholeChoice{Finish: s.finish}
	object := textObject
	if s.chat {
		object = wholeObject
		c.Message = &engine.Message{Role: assistant, Content: s.text.String()}
	} else {
		c.Text = s.text.String()
	}
	return Whole{
		ID:      s.id,
		Object:  object,
		Model:   s.model,
		Choices: []WholeChoice{c},
		Usage:   Usage{Prompt: s.prompt, Completion: s.tokens, Total: s.prompt + s.tokens},
	}
}

// fail tells the caller of an open stream why it ends without its end mark.
func (s *sink) fail(err error) {
	if s.stream {
		_ = s.event(fault.From(err).Body())
	}
}
