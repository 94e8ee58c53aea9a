package infer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/stand/gate"
)

const (
	maxBodyBytes     = 64 << 20
	defaultMaxTokens = 16
	contentType      = "Content-Type"
	typeJSON         = "application/json"
)

// Listen serves the engine's HTTP API. The returned function stops the server
// and closes all connections.
func (e *Engine) Listen(ctx context.Context) (func(), error) {
	m := http.NewServeMux()
	m.HandleFunc("POST "+engine.PathChat, e.serveChat)
	m.HandleFunc("POST "+engine.PathComplete, e.serveChat)
	m.HandleFunc("POST "+engine.PathPrefill, e.servePrefill)
	m.HandleFunc("GET "+engine.PathExport, e.serveExport)
	m.HandleFunc("GET "+engine.PathLoad, e.serveLoad)
	m.HandleFunc("GET "+engine.PathCache, e.serveCache)
	m.HandleFunc("POST "+engine.PathCancel, e.serveCancel)
	m.HandleFunc("POST "+engine.PathOrder, e.serveOrder)
	m.HandleFunc("GET "+engine.PathState, e.serveState)
	l, cleanup, err := gate.Serve(ctx, e.config.Listen, m)
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", e.config.Name, err)
	}
	e.gate = l
	return cleanup, nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set(contentType, typeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeError rejects a request with the status for err. A crashed engine drops
// the connection without a response.
func writeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, errCrashed):
		panic(http.ErrAbortHandler)
	case errors.Is(err, errWrongRole):
		status = http.StatusConflict
	case errors.Is(err, errPromptTooLong):
		status = http.StatusRequestEntityTooLarge
	}
	writeJSON(w, status, struct {
		Error string `json:"error"`
	}{err.Error()})
}

// decodeBody decodes the request body. If that fails it responds with an error
// and returns false.
func decodeBody[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&v)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, struct {
			Error string `json:"error"`
		}{err.Error()})
	}
	return v, err == nil
}

// promptText returns the prompt, or all messages of a chat.
func promptText(req *engine.Request) string {
	if len(req.Messages) == 0 {
		return req.Prompt
	}
	var b strings.Builder
	for _, m := range req.Messages {
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// newJob returns a job for a request. A prompt with the configured mark crashes
// the engine.
func (e *Engine) newJob(req *engine.Request) *job {
	prompt := promptText(req)
	if e.config.CrashMark != "" && strings.Contains(prompt, e.config.CrashMark) {
		e.runOnLoop(func(now time.Time) { e.crash(now, "mark") })
	}
	tokens := req.PromptTokens
	if tokens <= 0 {
		tokens = len(strings.Fields(prompt))
	}
	end := req.MaxTokens
	if end <= 0 {
		end = defaultMaxTokens
	}
	return &job{
		attempt:       req.Attempt,
		priority:      req.Priority,
		base:          inject.AnswerHash(req.Model, prompt, req.Seed),
		contextTokens: max(1, tokens) + req.DeliveredTokens,
		blocks:        req.BlockHashes,
		nextToken:     req.DeliveredTokens,
		firstToken:    req.DeliveredTokens,
		endToken:      max(end, req.DeliveredTokens),
		events:        make(chan tokenEvent, eventBuffer),
		done:          make(chan struct{}),
	}
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	req, ok := decodeBody[engine.Request](w, r)
	if !ok {
		return
	}
	j := e.newJob(&req)
	if req.KVHandle != "" {
		j.imported = e.fetchKVCache(r.Context(), req.KVSource, req.KVHandle, j.contextTokens)
	}
	if j.nextToken >= j.endToken {
		newEventWriter(w, &req, j.endToken-1).writeDone()
		return
	}
	if err := e.submit(j); err != nil {
		writeError(w, err)
		return
	}
	e.streamTokens(r, newEventWriter(w, &req, j.endToken-1), j)
}

// streamTokens writes the tokens of a job until it ends or the client
// disconnects.
func (e *Engine) streamTokens(r *http.Request, w *eventWriter, j *job) {
	disconnected := r.Context().Done()
	w.writeHeader()
	for {
		select {
		case event := <-j.events:
			if j.truncateAt > 0 && event.token >= j.truncateAt {
				e.cancel(j.attempt)
				return
			}
			w.writeEvent(event, len(j.events) == 0)
			continue
		case <-disconnected:
			e.cancel(j.attempt)
			return
		case <-j.done:
		}
		break
	}
	if j.reason != inject.RecordEnd {
		panic(http.ErrAbortHandler)
	}
	for len(j.events) > 0 {
		event := <-j.events
		if j.truncateAt > 0 && event.token >= j.truncateAt {
			return
		}
		w.writeEvent(event, false)
	}
	w.writeDone()
}

func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request) {
	req, ok := decodeBody[engine.Request](w, r)
	if !ok {
		return
	}
	j := e.newJob(&req)
	j.prefillOnly = true
	j.endToken = j.nextToken
	if err := e.submit(j); err != nil {
		writeError(w, err)
		return
	}
	select {
	case <-j.done:
	case <-r.Context().Done():
		e.cancel(j.attempt)
		return
	}
	if j.reason != inject.RecordEnd {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, engine.PrefillResult{
		Attempt: req.Attempt, KVHandle: j.attempt, CachedTokens: j.cachedTokens, KVBytes: int64(exportBytes(j.contextTokens)),
	})
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	var l engine.LoadReport
	err := errCrashed
	e.runOnLoop(func(now time.Time) {
		err = e.available()
		l = e.laggedLoad(now)
	})
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, l)
}

func (e *Engine) serveCache(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.FormValue("since"), 10, 64)
	var page engine.CacheEvents
	err := errCrashed
	e.runOnLoop(func(now time.Time) {
		err = e.available()
		page = e.batch.cache.eventPage(since, now.Add(-e.reportLag))
	})
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, page)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if c, ok := decodeBody[engine.Cancel](w, r); ok {
		e.cancel(c.Attempt)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	o, ok := decodeBody[state.Order](w, r)
	if !ok {
		return
	}
	result := e.submitOrder(o)
	if result.Reason == reasonCrashed {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, result)
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	var s engine.Status
	err := errCrashed
	e.runOnLoop(func(time.Time) {
		s = e.status
		s.Running = len(e.jobs)
		if !e.crashed {
			err = nil
		}
	})
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, s)
}
