package front

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/emicklei/go-restful/v3"

	"verbenahaven.example/core/request/leave"
	"verbenahaven.example/core/version/state"
	"verbenahaven.example/entryd/fault"
	"verbenahaven.example/entryd/plain"
	"verbenahaven.example/entryd/trail"
)

const maxKeyBytes = 256 // of an Idempotency-Key

func (f *API) callService(r *restful.Request, w *restful.Response) {
	record := f.trail.Begin(f.newID(), f.clock.Now())
	w.Header().Set("Request-Id", record.Request())
	f.meter.Count("request", "plain")
	a, err := f.runCall(r, w.ResponseWriter, record)
	defer a.Release()
	if err != nil {
		record.SetRefusal(err)
	}
	if err != nil {
		fault.Write(w, f.meter, err)
		return
	}
	if a.Type != "" {
		w.Header().Set("Content-Type", a.Type)
	}
	if a.Replayed {
		w.Header().Set("Replayed", "true")
	}
	if len(a.Body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	_ = writeWhole(w.ResponseWriter, a.Body, writeStallTimeout) // the caller sees the missing part by the length
}

func (f *API) runCall(r *restful.Request, w http.ResponseWriter, record *trail.Record) (plain.Answer, error) {
	v, end := f.balancer.BeginRequest()
	defer end()
	record.SetVersion(v.Version())
	if err := f.checkReady(v); err != nil {
		return plain.Answer{}, err
	}
	caller, err := authenticate(r.Request, v)
	if err != nil {
		return plain.Answer{}, err
	}
	record.SetAccount(caller.Name)
	name := r.PathParameter("service")
	service, ok := v.Service(name)
	if !ok || service.Kind != state.KindPlain {
		return plain.Answer{}, fault.New(fault.CodeService, "no plain service has the name "+name)
	}
	record.SetService(name)
	key := r.HeaderParameter("Idempotency-Key")
	if service.AtMostOnce && r.Request.Method != http.MethodGet && key == "" {
		return plain.Answer{}, fault.New(fault.CodeMissingKey, "calls of "+name+" need an Idempotency-Key")
	}
	if len(key) > maxKeyBytes {
		return plain.Answer{}, fault.New(fault.CodeRequest, "the Idempotency-Key is too long")
	}
	deadline, err := timeLeft(r.Request, f.clock.Now())
	if err != nil {
		return plain.Answer{}, err
	}
	body, err := f.readBody(w, r.Request)
	if err != nil {
		return plain.Answer{}, err
	}
	if err := f.quota.Take(caller, 0); err != nil {
		return plain.Answer{}, err //nolint:wrapcheck // already a fault for the caller
	}
	if r.Request.Method == http.MethodGet {
		service.AtMostOnce = false
	}
	return f.plain.Do(r.Request.Context(), &plain.Call{ //nolint:wrapcheck // already a fault for the caller
		ID:        record.Request(),
		Account:   caller.Name,
		Service:   service,
		Key:       key,
		Method:    r.Request.Method,
		Target:    targetPath(r.Request, name),
		Type:      r.Request.Header.Get("Content-Type"),
		Body:      body,
		TimeLimit: minTimeout(service.Deadline, deadline),
		IsRetry:   isRetry(r.Request),
		Record:    record,
		MaySend:   func(timeLeft time.Duration) error { return f.checkLeaving(leave.Call{TimeLeft: timeLeft}) },
	})
}

// targetPath returns the path and query for the backend server, escaped as the
// caller sent them.
func targetPath(r *http.Request, service string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/s/"+service)
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}
