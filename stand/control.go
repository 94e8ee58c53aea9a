package main

import (
	"net/http"
	"sort"

	"github.com/emicklei/go-restful/v3"

	"verbenahaven.example/core/conn/inject"
	"verbenahaven.example/stand/trace"
)

// faultInjector is a simulated server or proxy into which faults can be injected.
type faultInjector interface {
	InjectFault(f inject.Fault) error
}

// faultTarget is a named target with its records.
type faultTarget struct {
	inject.Target

	injector faultInjector
	history  *trace.History
}

// control is the HTTP API for fault injection and records.
type control struct {
	targets map[string]faultTarget
}

func newControl() *control {
	return &control{targets: make(map[string]faultTarget)}
}

// add registers a target. Without a history its records stay empty.
func (c *control) add(name, kind string, f faultInjector, h *trace.History) {
	if h == nil {
		h = &trace.History{}
	}
	c.targets[name] = faultTarget{inject.Target{Name: name, Type: kind}, f, h}
}

func (c *control) handler() http.Handler {
	s := new(restful.WebService)
	s.Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
	s.Route(s.POST(inject.PathFault).To(c.injectFault))
	s.Route(s.GET(inject.PathHistory).To(c.listRecords))
	s.Route(s.GET(inject.PathTargets).To(c.listTargets))
	h := restful.NewContainer()
	h.Add(s)
	return h
}

func writeError(w *restful.Response, status int, message string) {
	_ = w.WriteHeaderAndEntity(status, struct {
		Error string `json:"error"`
	}{message})
}

func (c *control) injectFault(r *restful.Request, w *restful.Response) {
	var f inject.Fault
	if err := r.ReadEntity(&f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	t, ok := c.targets[f.Target]
	if !ok {
		writeError(w, http.StatusNotFound, "no such target: "+f.Target)
		return
	}
	if err := t.injector.InjectFault(f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	_ = w.WriteAsJson(f)
}

func (c *control) listRecords(r *restful.Request, w *restful.Response) {
	t, ok := c.targets[r.QueryParameter("target")]
	if !ok {
		writeError(w, http.StatusNotFound, "no such target")
		return
	}
	_ = w.WriteAsJson(t.history.Records())
}

func (c *control) listTargets(_ *restful.Request, w *restful.Response) {
	targets := make([]inject.Target, 0, len(c.targets))
	for _, t := range c.targets {
		targets = append(targets, t.Target)
	}
	sort.Slice(targets, func(i, k int) bool { return targets[i].Name < targets[k].Name })
	_ = w.WriteAsJson(targets)
}
