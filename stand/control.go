package main

import (
	"net/http"
	"sort"

	"github.com/emicklei/go-restful/v3"

	"verbenahaven.example/core/conn/stand"
	"verbenahaven.example/stand/trace"
)

// faulter is a stand-in that can break.
type faulter interface {
	Fault(f stand.Fault) error
}

type target struct {
	stand.Target

	faulter faulter
	history *trace.History
}

// control serves faults and histories.
type control struct {
	targets map[string]target
}

func newControl() *control {
	return &control{targets: make(map[string]target)}
}

func (c *control) add(name, kind string, f faulter, h *trace.History) {
	if h == nil {
		h = &trace.History{}
	}
	c.targets[name] = target{stand.Target{Name: name, Type: kind}, f, h}
}

func (c *control) handler() http.Handler {
	s := new(restful.WebService)
	s.Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
	s.Route(s.POST(stand.PathFault).To(c.fault))
	s.Route(s.GET(stand.PathHistory).To(c.records))
	s.Route(s.GET(stand.PathTargets).To(c.list))
	h := restful.NewContainer()
	h.Add(s)
	return h
}

func fail(w *restful.Response, status int, text string) {
	_ = w.WriteHeaderAndEntity(status, struct {
		Error string `json:"error"`
	}{text})
}

func (c *control) fault(r *restful.Request, w *restful.Response) {
	var f stand.Fault
	if err := r.ReadEntity(&f); err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	t, ok := c.targets[f.Target]
	if !ok {
		fail(w, http.StatusNotFound, "no such target: "+f.Target)
		return
	}
	if err := t.faulter.Fault(f); err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	_ = w.WriteAsJson(f)
}

func (c *control) records(r *restful.Request, w *restful.Response) {
	t, ok := c.targets[r.QueryParameter("target")]
	if !ok {
		fail(w, http.StatusNotFound, "no such target")
		return
	}
	_ = w.WriteAsJson(t.history.Records())
}

func (c *control) list(_ *restful.Request, w *restful.Response) {
	all := make([]stand.Target, 0, len(c.targets))
	for _, t := range c.targets {
		all = append(all, t.Target)
	}
	sort.Slice(all, func(i, k int) bool { return all[i].Name < all[k].Name })
	_ = w.WriteAsJson(all)
}
