package infer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/stand"
)

// writer writes server-sent events.
type writer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	request *engine.Request
	last    int // position of the last token
}

func newWriter(w http.ResponseWriter, q *engine.Request, last int) *writer {
	return &writer{w: w, control: http.NewResponseController(w), request: q, last: last}
}

func (w *writer) begin() {
	w.w.Header().Set(contentType, "text/event-stream")
	w.w.WriteHeader(http.StatusOK)
	_ = w.control.Flush()
}

func (w *writer) event(v event, flush bool) {
	c := engine.Choice{}
	object := "chat.completion.chunk"
	content := stand.TokenAt(v.base, v.token)
	if len(w.request.Messages) > 0 {
		c.Delta = engine.Message{Role: "assistant", Content: content}
	} else {
		c.Text = content
		object = "text_completion"
	}
	if v.token >= w.last && v.attempt == w.request.Attempt {
		c.Finish = "stop"
	}
	b, err := json.Marshal(engine.Event{
		ID: v.attempt, Object: object, Model: w.request.Model, Attempt: v.attempt,
		Token: v.token, Choices: []engine.Choice{c},
	})
	if err != nil {
		panic("infer: event can't be encoded: " + err.Error())
	}
	w.line(b)
	if flush {
		_ = w.control.Flush()
	}
}

func (w *writer) line(data []byte) {
	_, _ = w.w.Write([]byte("data: "))
	_, _ = w.w.Write(data)
	_, _ = w.w.Write([]byte("\n\n"))
}

func (w *writer) end() {
	w.line([]byte(engine.Done))
	_ = w.control.Flush()
}

const wireLimit = 64 << 10

// wireBytes is the size of the body that stands for a KV cache.
func wireBytes(tokens int) int {
	return min(tokens, wireLimit)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	handle := r.FormValue("handle")
	found, size := false, 0
	err := errDead
	e.do(func(time.Time) {
		if err = e.available(); err != nil {
			return
		}
		if j, ok := e.batch.held[handle]; ok {
			found, size = true, wireBytes(j.prompt)
			e.batch.leave(j, stand.RecordEnd)
		}
	})
	if err != nil {
		refuse(w, err)
		return
	}
	if !found {
		http.Error(w, "no such handle", http.StatusNotFound)
		return
	}
	_, _ = w.Write(make([]byte, size))
}

// transfer takes a KV cache over from another engine. If that fails the prompt
// is computed here.
func (e *Engine) transfer(ctx context.Context, source, handle string, tokens int) bool {
	start := time.Now()
	address := source + engine.PathExport + "?handle=" + url.QueryEscape(handle)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return false
	}
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = reply.Body.Close() }()
	n, err := io.Copy(io.Discard, reply.Body)
	if err != nil || reply.StatusCode != http.StatusOK || n == 0 {
		return false
	}
	need := time.Duration(float64(tokens) / e.config.Transfer * float64(time.Second))
	wait := time.NewTimer(need - time.Since(start))
	defer wait.Stop()
	select {
	case <-wait.C:
		return true
	case <-ctx.Done():
		return false
	}
}
