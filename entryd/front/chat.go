package front

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"

	"verbenahaven.example/core/conn/engine"
	"verbenahaven.example/core/request/leave"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/core/version/view"
	"verbenahaven.example/entryd/fault"
	"verbenahaven.example/entryd/infer"
	"verbenahaven.example/entryd/trail"
)

const (
	maxOutputTokens  = 1 << 20
	fingerprintBytes = 16
)

func (f *API) chat(r *restful.Request, w *restful.Response) {
	f.serveCompletion(r.Request, w.ResponseWriter, engine.PathChat)
}

func (f *API) complete(r *restful.Request, w *restful.Response) {
	f.serveCompletion(r.Request, w.ResponseWriter, engine.PathComplete)
}

func (f *API) serveCompletion(r *http.Request, w http.ResponseWriter, path string) {
	record := f.trail.Begin(f.newID(), f.clock.Now())
	w.Header().Set("Request-Id", record.Request())
	f.meter.Count("request", "model")
	sink := newSink(w, record.Request(), path)
	err := f.runCompletion(r, w, path, record, sink)
	if err != nil {
		record.SetRefusal(err)
	}
	if err == nil {
		return
	}
	if !sink.statusWritten {
		fault.Write(w, f.meter, err)
		return
	}
	// The status has been sent, so the error is reported as an event in the
	// stream, which then ends without [DONE].
	f.meter.Count("stream", "given_up", string(fault.FromError(err).Code()))
	sink.writeError(err)
	panic(http.ErrAbortHandler)
}

func (f *API) runCompletion(r *http.Request, w http.ResponseWriter, path string, record *trail.Record, sink *sink) error {
	v, end := f.balancer.BeginRequest()
	defer end()
	record.SetVersion(v.Version())
	if err := f.checkReady(v); err != nil {
		return err
	}
	caller, err := authenticate(r, v)
	if err != nil {
		return err
	}
	record.SetAccount(caller.Name)
	body, err := f.readBody(w, r)
	if err != nil {
		return err
	}
	request, err := DecodeRequest(body, path)
	if err != nil {
		return err
	}
	service, err := resolveService(v, request.Model)
	if err != nil {
		return err
	}
	record.SetService(service.Name)
	deadline, err := timeLeft(r, f.clock.Now())
	if err != nil {
		return err
	}
	if err := f.quota.Take(caller, infer.EstimateTokens(&request)); err != nil {
		return err //nolint:wrapcheck // already a fault for the caller
	}
	sink.setRequest(&request)
	call := &infer.Call{
		ID:              record.Request(),
		Service:         service,
		Request:         request,
		Path:            path,
		Fingerprint:     fingerprint(caller.Name, &request),
		FirstTokenLimit: minTimeout(service.FirstTokenDeadline, deadline),
		AnswerLimit:     minTimeout(service.Deadline, deadline),
		IsRetry:         isRetry(r),
		Record:          record,
	}
	call.Request.Model = service.Model
	call.MaySend = func(expectedFirst time.Duration) error {
		// The deadline doesn't end an answer that has begun.
		return f.checkLeaving(leave.Call{
			TimeLeft: unbounded, Start: expectedFirst, Events: request.MaxTokens, Gap: cmp.Or(f.balancer.LongestStep(service.Model), unknownStep),
		})
	}
	ctx, stop := f.withDeadline(r, deadline, sink)
	defer stop()
	return f.infer.Complete(ctx, call, sink) //nolint:wrapcheck // already a fault for the caller
}

// withDeadline cancels a call at the caller's deadline, unless tokens were
// already delivered: an answer that has begun is never cut.
func (f *API) withDeadline(r *http.Request, deadline time.Duration, s *sink) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(r.Context())
	if deadline == 0 {
		return ctx, func() { cancel(nil) }
	}
	t := time.AfterFunc(deadline, func() {
		if !s.delivered.Load() {
			cancel(context.DeadlineExceeded)
		}
	})
	return ctx, func() {
		t.Stop()
		cancel(nil)
	}
}

// DecodeRequest parses and validates a completion request. It reads only the
// public fields: callers can't set those that the system sends to engines.
func DecodeRequest(body []byte, path string) (engine.Request, error) {
	var in struct {
		Model     string           `json:"model"`
		Messages  []engine.Message `json:"messages"`
		Prompt    string           `json:"prompt"`
		MaxTokens int              `json:"max_tokens"`
		Stream    bool             `json:"stream"`
		Seed      int64            `json:"seed"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return engine.Request{}, fault.New(fault.CodeJSON, err.Error())
	}
	r := engine.Request{
		Model: in.Model, Messages: in.Messages, Prompt: in.Prompt, MaxTokens: in.MaxTokens, Stream: in.Stream, Seed: in.Seed,
	}
	switch {
	case r.Model == "":
		return r, fault.New(fault.CodeRequest, "model is missing")
	case path == engine.PathChat && len(r.Messages) == 0:
		return r, fault.New(fault.CodeRequest, "messages are missing")
	case path == engine.PathComplete && r.Prompt == "":
		return r, fault.New(fault.CodeRequest, "prompt is missing")
	case r.MaxTokens < 0 || r.MaxTokens > maxOutputTokens:
		return r, fault.New(fault.CodeRequest, "max_tokens is out of range")
	}
	if path == engine.PathChat {
		r.Prompt = ""
	} else {
		r.Messages = nil
	}
	return r, nil
}

// resolveService returns the service that a request names. The name of a model
// selects an implicit batch service of that model.
func resolveService(v *view.Snapshot, name string) (state.Service, error) {
	if s, ok := v.Service(name); ok && s.Kind == state.KindModel {
		return s, nil
	}
	if m, ok := v.Model(name); ok {
		return state.Service{Name: m.Name, Kind: state.KindModel, Model: m.Name, Class: state.ClassBatch}, nil
	}
	return state.Service{}, fault.New(fault.CodeModel, "no service or model has the name "+name)
}

// fingerprint returns a hash that is equal for equal requests of one account.
func fingerprint(account string, r *engine.Request) string {
	b, err := json.Marshal(r)
	if err != nil {
		panic("front: request can't be encoded: " + err.Error())
	}
	h := sha256.New()
	h.Write([]byte(account))
	h.Write([]byte{0})
	h.Write(b)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
