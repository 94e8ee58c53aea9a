package infer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/conn/stream"
	"verbenahaven.example/core/request/admit"
	"verbenahaven.example/core/request/answer"
	"verbenahaven.example/core/request/retry"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/entryd/fault"
	"verbenahaven.example/entryd/guide"
)

const (
	maxDetail = 4096
	// firstFactor is how many times the expected time the first token may
	// take: the expectation rests on lagged reports.
	firstFactor = 3
)

var (
	errMoved  = errors.New("the engine is leaving")
	errGap    = errors.New("tokens are missing")
	errCut    = errors.New("the answer ended without its end mark")
	errOther  = errors.New("the answer belongs to another attempt")
	errStatus = errors.New("the engine answered with a failure")
)

// failure tells how an attempt failed.
type failure struct {
	reason retry.Reason
	server state.Engine
	err    error
	aboard bool // the engine may have begun to work on it
	final  bool // the request itself is at fault, or its caller is gone
}

// attempt carries the call to the engines of one plan.
func (c *carrying) attempt(ctx context.Context, l *guide.Lease, id string) *failure {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	ask := c.ask
	if !c.guide.Use(c.clock.Now(), id, &ask, l, func() { stop(errMoved) }) {
		return &failure{reason: retry.ReasonMoved, server: l.Plan.Decode, err: errMoved}
	}
	defer l.Return()
	c.assembly.Start(id)
	r := c.call.Request
	r.Attempt = id
	r.Stream = true
	r.Priority = admit.Priority(c.call.Service.Class)
	r.Adapter, r.Revision = c.call.Service.Adapter, c.call.Service.Revision
	r.Pieces, r.Tokens = c.ask.Pieces, c.ask.Tokens
	r.Resume, r.Prefix = c.assembly.Next(), c.assembly.Text()
	if l.Plan.Split() {
		p, f := c.prefill(ctx, l, &r)
		if f != nil {
			return f
		}
		r.Source, r.Handle = l.Plan.Prefill.URL, p.Handle
	}
	source := r.Source
	f := c.decode(ctx, l, &r)
	if f != nil && f.reason != retry.ReasonDial {
		c.giveUp(l.Plan.Decode.URL, id)
	}
	if f != nil && source != "" {
		c.giveUp(source, id) // it may hold the KV cache
	}
	return f
}

func (c *carrying) prefill(ctx context.Context, l *guide.Lease, r *engine.Request) (engine.Prefilled, *failure) {
	server := l.Plan.Prefill
	ctx, _, stop := pool.Watch(ctx, firstFactor*l.Plan.First+c.settings.Silence, c.settings.Silence)
	defer stop()
	var p engine.Prefilled
	a, f := c.post(ctx, server, engine.PathPrefill, r)
	if f != nil {
		return p, f
	}
	defer func() { _ = a.Body.Close() }()
	defer drain(a.Body)
	if err := json.NewDecoder(io.LimitReader(a.Body, stream.MaxEvent)).Decode(&p); err != nil {
		return p, broken(ctx, server, fmt.Errorf("read prefill answer: %w", err))
	}
	if p.Attempt != r.Attempt {
		c.meter.Count("event", string(answer.Crossed))
		return p, &failure{reason: retry.ReasonGap, server: server, err: errOther, aboard: true}
	}
	return p, nil
}

func (c *carrying) decode(ctx context.Context, l *guide.Lease, r *engine.Request) *failure {
	server := l.Plan.Decode
	ctx, progress, stop := pool.Watch(ctx, firstFactor*l.Plan.First+c.settings.Silence, c.settings.Silence)
	defer stop()
	a, f := c.post(ctx, server, c.call.Path, r)
	if f != nil {
		return f
	}
	defer func() { _ = a.Body.Close() }()
	events := stream.NewReader(a.Body)
	var held *engine.Event
	// An engine answers once it has taken the KV cache over, before it decodes.
	l.Prefilled()
	for {
		data, err := events.Next()
		if errors.Is(err, io.EOF) {
			return &failure{reason: retry.ReasonCut, server: server, err: errCut, aboard: true}
		}
		if err != nil {
			return broken(ctx, server, err)
		}
		progress.Mark(c.clock.Now())
		if string(data) == engine.Done {
			if !c.assembly.End() {
				return &failure{reason: retry.ReasonCut, server: server, err: errCut, aboard: true}
			}
			return c.last(held)
		}
		e, err := Decode(data)
		if err != nil {
			c.meter.Count("event", "garbled")
			return &failure{reason: retry.ReasonGap, server: server, err: fmt.Errorf("decode event: %w", err), aboard: true}
		}
		switch outcome := c.assembly.Add(e); outcome {
		case answer.Deliver:
			c.arrived(e)
			if err := c.sink.Token(e, events.More()); err != nil {
				return gone(server, err)
			}
		case answer.Hold:
			held = e
		case answer.Gap:
			c.meter.Count("event", string(outcome))
			return &failure{reason: retry.ReasonGap, server: server, err: errGap, aboard: true}
		default:
			c.meter.Count("event", string(outcome))
		}
		progress.Wait()
	}
}

// Decode reads what an answer is made of. The rest of an event is the same for
// all, and costs time to read.
func Decode(data []byte) (*engine.Event, error) {
	var in struct {
		Attempt string `json:"attempt"`
		Token   int    `json:"token"`
		Choices []struct {
			Index int `json:"index"`
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
			Text   string `json:"text"`
			Finish string `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &in); err != nil {
		return nil, err //nolint:wrapcheck // wrapped by the caller
	}
	e := &engine.Event{Attempt: in.Attempt, Token: in.Token, Choices: make([]engine.Choice, len(in.Choices))}
	for i, v := range in.Choices {
		e.Choices[i] = engine.Choice{Index: v.Index, Delta: engine.Message{Content: v.Delta.Content}, Text: v.Text, Finish: v.Finish}
	}
	return e, nil
}

func (c *carrying) last(held *engine.Event) *failure {
	if err := c.sink.Token(held, true); err != nil {
		return gone(state.Engine{}, err)
	}
	if err := c.sink.End(); err != nil {
		return gone(state.Engine{}, err)
	}
	return nil
}

func gone(server state.Engine, err error) *failure {
	return &failure{reason: retry.ReasonBroken, server: server, err: fmt.Errorf("write to caller: %w", err), final: true}
}

func broken(ctx context.Context, server state.Engine, err error) *failure {
	cause := context.Cause(ctx)
	if errors.Is(cause, errMoved) {
		return &failure{reason: retry.ReasonMoved, server: server, err: errMoved}
	}
	if cause != nil {
		err = fmt.Errorf("%w: %w", cause, err)
	}
	reason := pool.Reason(err)
	return &failure{reason: reason, server: server, err: err, aboard: reason != retry.ReasonDial}
}

// post sends a request to an engine and checks the status of the answer.
func (c *carrying) post(ctx context.Context, server state.Engine, path string, r *engine.Request) (*http.Response, *failure) {
	body, err := json.Marshal(r)
	if err != nil {
		panic("infer: request can't be encoded: " + err.Error())
	}
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, &failure{reason: retry.ReasonDial, server: server, err: fmt.Errorf("make request: %w", err)}
	}
	h.Header.Set("Content-Type", "application/json")
	a, err := c.pool.Do(h)
	if err != nil {
		return nil, broken(ctx, server, err)
	}
	if a.StatusCode == http.StatusOK {
		return a, nil
	}
	detail, _ := io.ReadAll(io.LimitReader(a.Body, maxDetail))
	drain(a.Body)
	_ = a.Body.Close()
	f := &failure{
		reason: retry.ReasonStatus,
		server: server,
		err:    fmt.Errorf("%w: %s: %s", errStatus, a.Status, strings.TrimSpace(string(detail))),
	}
	switch a.StatusCode {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		f.final, f.err = true, fault.New(fault.CodeRequest, f.err.Error())
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		f.reason = retry.ReasonRefused
	}
	return nil, f
}

// drain reads what is left of a short body, so that its connection can be
// used again.
func drain(body io.Reader) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDetail))
}

// Prompt returns the text that an engine computes.
func Prompt(r *engine.Request) string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	n := 0
	for _, m := range r.Messages {
		n += len(m.Role) + len(m.Content) + len(separators)
	}
	var b strings.Builder
	b.Grow(n)
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteString(separators[:1])
		b.WriteString(m.Content)
		b.WriteString(separators[1:])
	}
	return b.String()
}

const separators = "\t\n"

// Expected is the number of tokens that a request counts for in limits.
func Expected(r *engine.Request) int {
	out := r.MaxTokens
	if out == 0 {
		out = defaultOutput
	}
	return len(Prompt(r))/tokenBytes + out
}

const tokenBytes = 4
