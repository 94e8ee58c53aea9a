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
	"verbenahaven.example/core/conn/stand"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/stand/gate"
)

const (
	bodyLimit     = 64 << 20
	defaultTokens = 16
	contentType   = "Content-Type"
	typeJSON      = "application/json"
)

// Listen serves the engine interface. The clean-up closes all connections.
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

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set(contentType, typeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func refuse(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, errDead):
		panic(http.ErrAbortHandler)
	case errors.Is(err, errRole):
		status = http.StatusConflict
	case errors.Is(err, errSize):
		status = http.StatusRequestEntityTooLarge
	}
	answer(w, status, struct {
		Error string `json:"error"`
	}{err.Error()})
}

func decode[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(&v)
	if err != nil {
		answer(w, http.StatusBadRequest, struct {
			Error string `json:"error"`
		}{err.Error()})
	}
	return v, err == nil
}

// text is the whole prompt of a request.
func text(q *engine.Request) string {
	if len(q.Messages) == 0 {
		return q.Prompt
	}
	var b strings.Builder
	for _, m := range q.Messages {
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// job makes the job of a request. It may crash the engine.
func (e *Engine) job(q *engine.Request) *job {
	prompt := text(q)
	if e.config.Mark != "" && strings.Contains(prompt, e.config.Mark) {
		e.do(func(now time.Time) { e.crash(now, "mark") })
	}
	tokens := q.Tokens
	if tokens <= 0 {
		tokens = len(strings.Fields(prompt))
	}
	end := q.MaxTokens
	if end <= 0 {
		end = defaultTokens
	}
	return &job{
		attempt:  q.Attempt,
		priority: q.Priority,
		base:     stand.Base(q.Model, prompt, q.Seed),
		prompt:   max(1, tokens) + q.Resume,
		pieces:   q.Pieces,
		next:     q.Resume,
		first:    q.Resume,
		end:      max(end, q.Resume),
		out:      make(chan event, outRing),
		done:     make(chan struct{}),
	}
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	q, ok := decode[engine.Request](w, r)
	if !ok {
		return
	}
	j := e.job(&q)
	if q.Handle != "" {
		j.imported = e.transfer(r.Context(), q.Source, q.Handle, j.prompt)
	}
	if j.next >= j.end {
		newWriter(w, &q, j.end-1).end()
		return
	}
	if err := e.submit(j); err != nil {
		refuse(w, err)
		return
	}
	e.stream(r, newWriter(w, &q, j.end-1), j)
}

// stream passes the tokens of a job on until it ends or the caller leaves.
func (e *Engine) stream(r *http.Request, w *writer, j *job) {
	gone := r.Context().Done()
	w.begin()
	for {
		select {
		case v := <-j.out:
			if j.half > 0 && v.token >= j.half {
				e.cancel(j.attempt)
				return
			}
			w.event(v, len(j.out) == 0)
			continue
		case <-gone:
			e.cancel(j.attempt)
			return
		case <-j.done:
		}
		break
	}
	if j.reason != stand.RecordEnd {
		panic(http.ErrAbortHandler)
	}
	for len(j.out) > 0 {
		v := <-j.out
		if j.half > 0 && v.token >= j.half {
			return
		}
		w.event(v, false)
	}
	w.end()
}

func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request) {
	q, ok := decode[engine.Request](w, r)
	if !ok {
		return
	}
	j := e.job(&q)
	j.hold = true
	j.end = j.next
	if err := e.submit(j); err != nil {
		refuse(w, err)
		return
	}
	select {
	case <-j.done:
	case <-r.Context().Done():
		e.cancel(j.attempt)
		return
	}
	if j.reason != stand.RecordEnd {
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, engine.Prefilled{
		Attempt: q.Attempt, Handle: j.attempt, Cached: j.cached, Bytes: int64(wireBytes(j.prompt)),
	})
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	var l engine.Load
	err := errDead
	e.do(func(now time.Time) {
		err = e.available()
		l = e.report(now)
	})
	if err != nil {
		refuse(w, err)
		return
	}
	answer(w, http.StatusOK, l)
}

func (e *Engine) serveCache(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.FormValue("since"), 10, 64)
	var page engine.CacheEvents
	err := errDead
	e.do(func(now time.Time) {
		err = e.available()
		page = e.batch.cache.page(since, now.Add(-e.lag))
	})
	if err != nil {
		refuse(w, err)
		return
	}
	answer(w, http.StatusOK, page)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if c, ok := decode[engine.Cancel](w, r); ok {
		e.cancel(c.Attempt)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	o, ok := decode[state.Order](w, r)
	if !ok {
		return
	}
	result := e.order(o)
	if result.Reason == reasonDead {
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, result)
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	var s engine.Status
	err := errDead
	e.do(func(time.Time) {
		s = e.status
		s.Running = len(e.jobs)
		if !e.dead {
			err = nil
		}
	})
	if err != nil {
		refuse(w, err)
		return
	}
	answer(w, http.StatusOK, s)
}
