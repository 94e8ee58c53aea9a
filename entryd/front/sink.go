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

// sink writes one answer to a caller, as a stream of server-sent events or as
// one JSON body.
type sink struct {
	w             http.ResponseWriter
	control       *http.ResponseController
	requestID     string
	chat          bool
	model         string
	stream        bool
	statusWritten bool
	delivered     atomic.Bool
	tokens        int
	text          strings.Builder
	finishReason  string
	promptTokens  int
	deadlineSet   time.Time // when the write deadline was last set
	event         engine.Event
	buffer        bytes.Buffer
	encoder       *json.Encoder
}

// writeStallTimeout is how long a caller may leave a stream unread before the
// write fails. The deadline is renewed only every half of it, so at least half
// of it always remains.
const writeStallTimeout = 30 * time.Second

const (
	chunkObject      = "chat.completion.chunk"
	textObject       = "text_completion"
	completionObject = "chat.completion"
	assistant        = "assistant"
)

func newSink(w http.ResponseWriter, id, path string) *sink {
	s := &sink{w: w, control: http.NewResponseController(w), requestID: id, chat: path == engine.PathChat}
	s.encoder = json.NewEncoder(&s.buffer)
	s.encoder.SetEscapeHTML(false)
	return s
}

func (s *sink) setRequest(r *engine.Request) {
	s.stream, s.model = r.Stream, r.Model
	// Leaves out the output: MaxTokens 1 counts as one token, 0 as a default.
	s.promptTokens = infer.EstimateTokens(&engine.Request{Messages: r.Messages, Prompt: r.Prompt, MaxTokens: 1}) - 1
}

// Token implements infer.Sink.
func (s *sink) Token(e *engine.Event, more bool) error {
	s.delivered.Store(true)
	s.tokens++
	if !s.stream {
		for _, c := range e.Choices {
			s.text.WriteString(c.Delta.Content)
			s.text.WriteString(c.Text)
			s.finishReason = c.FinishReason
		}
		return nil
	}
	s.event = *e
	s.event.ID, s.event.Model, s.event.Attempt, s.event.Object = s.requestID, s.model, "", textObject
	if s.chat {
		s.event.Object = chunkObject
		for i := range s.event.Choices {
			s.event.Choices[i].Delta.Role = assistant
		}
	}
	s.buffer.Reset()
	s.buffer.WriteString(stream.DataPrefix)
	if err := s.encoder.Encode(&s.event); err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	s.buffer.WriteByte('\n') // the encoder has ended the line; this ends the event
	return s.writeEvent(more)
}

// writeEvent writes the buffered event, and flushes unless more events follow.
func (s *sink) writeEvent(more bool) error {
	if !s.statusWritten {
		s.statusWritten = true
		h := s.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
		s.w.WriteHeader(http.StatusOK)
	}
	s.extendWriteDeadline()
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

// extendWriteDeadline bounds how long a slow caller may block the writing of an
// answer, since an engine keeps capacity reserved meanwhile. The deadline is
// renewed at most once per half of writeStallTimeout.
func (s *sink) extendWriteDeadline() {
	now := time.Now()
	if now.Sub(s.deadlineSet) < writeStallTimeout/2 {
		return
	}
	s.deadlineSet = now
	// The error is ignored: response writers without a connection have no
	// deadlines.
	_ = s.control.SetWriteDeadline(now.Add(writeStallTimeout))
}

func (s *sink) writeData(data []byte) error {
	s.buffer.Reset()
	s.buffer.Write(stream.AppendEvent(nil, data))
	return s.writeEvent(false)
}

// End implements infer.Sink.
func (s *sink) End() error {
	if s.stream {
		defer func() { _ = s.control.SetWriteDeadline(time.Time{}) }()
		return s.writeData([]byte(engine.EndOfStream))
	}
	s.statusWritten = true
	s.w.Header().Set("Content-Type", "application/json")
	b, err := json.Marshal(s.completion())
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	return writeWhole(s.w, append(b, '\n'), writeStallTimeout)
}

// Completion is the JSON body of an answer that isn't streamed.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   Usage              `json:"usage"`
}

// CompletionChoice is one alternative of a Completion.
type CompletionChoice struct {
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

func (s *sink) completion() Completion {
	c := CompletionChoice{Finish: s.finishReason}
	object := textObject
	if s.chat {
		object = completionObject
		c.Message = &engine.Message{Role: assistant, Content: s.text.String()}
	} else {
		c.Text = s.text.String()
	}
	return Completion{
		ID:      s.requestID,
		Object:  object,
		Model:   s.model,
		Choices: []CompletionChoice{c},
		Usage:   Usage{Prompt: s.promptTokens, Completion: s.tokens, Total: s.promptTokens + s.tokens},
	}
}

// writeError sends the error as the last event of a stream, which ends without
// [DONE].
func (s *sink) writeError(err error) {
	if s.stream {
		_ = s.writeData(fault.FromError(err).Body())
	}
}
