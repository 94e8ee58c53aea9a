package infer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/inject"
)

// eventWriter writes the tokens of a stream as server-sent events.
type eventWriter struct {
	response  http.ResponseWriter
	control   *http.ResponseController
	request   *engine.Request
	lastToken int // position of the answer's last token
}

func newEventWriter(w http.ResponseWriter, req *engine.Request, last int) *eventWriter {
	return &eventWriter{response: w, control: http.NewResponseController(w), request: req, lastToken: last}
}

func (w *eventWriter) writeHeader() {
	w.response.Header().Set(contentType, "text/event-stream")
	w.response.WriteHeader(http.StatusOK)
	_ = w.control.Flush()
}

func (w *eventWriter) writeEvent(v tokenEvent, flush bool) {
	c := engine.Choice{}
	object := "chat.completion.chunk"
	content := inject.TokenFromHash(v.base, v.token)
	if len(w.request.Messages) > 0 {
		c.Delta = engine.Message{Role: "assistant", Content: content}
	} else {
		c.Text = content
		object = "text_completion"
	}
	if v.token >= w.lastToken && v.attempt == w.request.Attempt {
		c.FinishReason = "stop"
	}
	b, err := json.Marshal(engine.Event{
		ID: v.attempt, Object: object, Model: w.request.Model, Attempt: v.attempt,
		Token: v.token, Choices: []engine.Choice{c},
	})
	if err != nil {
		panic("infer: can't encode event: " + err.Error())
	}
	w.writeData(b)
	if flush {
		_ = w.control.Flush()
	}
}

func (w *eventWriter) writeData(data []byte) {
	_, _ = w.response.Write([]byte("data: "))
	_, _ = w.response.Write(data)
	_, _ = w.response.Write([]byte("\n\n"))
}

func (w *eventWriter) writeDone() {
	w.writeData([]byte(engine.EndOfStream))
	_ = w.control.Flush()
}

const maxExportBytes = 64 << 10

// exportBytes returns the size of the response that stands for a KV cache.
func exportBytes(tokens int) int {
	return min(tokens, maxExportBytes)
}

// serveExport hands a held KV cache over and frees it.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	handle := r.FormValue("handle")
	found, size := false, 0
	err := errCrashed
	e.runOnLoop(func(time.Time) {
		if err = e.available(); err != nil {
			return
		}
		if j, ok := e.batch.held[handle]; ok {
			found, size = true, exportBytes(j.contextTokens)
			e.batch.end(j, inject.RecordEnd)
		}
	})
	if err != nil {
		writeError(w, err)
		return
	}
	if !found {
		http.Error(w, "no KV cache is held for this handle", http.StatusNotFound)
		return
	}
	_, _ = w.Write(make([]byte, size))
}

// fetchKVCache fetches a KV cache from another engine and reports whether it
// succeeded. On failure the prompt is prefilled on this engine.
func (e *Engine) fetchKVCache(ctx context.Context, source, handle string, tokens int) bool {
	start := time.Now()
	address := source + engine.PathExport + "?handle=" + url.QueryEscape(handle)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	n, err := io.Copy(io.Discard, response.Body)
	if err != nil || response.StatusCode != http.StatusOK || n == 0 {
		return false
	}
	duration := time.Duration(float64(tokens) / e.config.TransferRate * float64(time.Second))
	wait := time.NewTimer(duration - time.Since(start))
	defer wait.Stop()
	select {
	case <-wait.C:
		return true
	case <-ctx.Done():
		return false
	}
}
