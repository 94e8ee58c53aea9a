// Package front is the callers' HTTP interface of an entry instance.
package front

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/emicklei/go-restful/v3"

	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/entryd/fault"
	"verbenahaven.example/entryd/guide"
	"verbenahaven.example/entryd/infer"
	"verbenahaven.example/entryd/plain"
	"verbenahaven.example/entryd/quota"
	"verbenahaven.example/entryd/trail"
	"verbenahaven.example/entryd/watch"
)

const (
	maxHeaders  = 100 // fields in a request
	idleTimeout = 2 * time.Minute
)

// Settings shape the interface.
type Settings struct {
	Name   string
	Centre string
	Life   time.Duration // of an address answer
	Count  int           // addresses in an answer
	Bytes  int64         // of a body
	Header int           // bytes of a header
	Read   time.Duration // to read a request
}

// Lease tells whether the other instances wait for this one to know of a
// change. Without it, what this one knows of them may have passed.
type Lease interface {
	Current() bool
}

// Front serves callers.
type Front struct {
	lease    Lease
	settings Settings
	guide    *guide.Guide
	watch    *watch.Watch
	infer    *infer.Server
	plain    *plain.Server
	quota    *quota.Quota
	trail    *trail.Trail
	meter    *meter.Registry
	clock    clock.Clock
	start    string // makes request identifiers unique between runs
	serial   atomic.Uint64
	turn     atomic.Uint64
	leaving  atomic.Bool
}

// New returns the interface.
func New(
	s Settings, g *guide.Guide, w *watch.Watch, i *infer.Server, p *plain.Server,
	q *quota.Quota, t *trail.Trail, m *meter.Registry, c clock.Clock, l Lease,
) *Front {
	return &Front{
		lease:    l,
		settings: s, guide: g, watch: w, infer: i, plain: p, quota: q, trail: t, meter: m, clock: c,
		start: startMark(c.Now()),
	}
}

// Leave marks the instance as leaving: connections are closed after their
// next answer.
func (f *Front) Leave() {
	f.leaving.Store(true)
}

// Server returns the HTTP server.
func (f *Front) Server() *http.Server {
	return &http.Server{
		Handler:           f.handler(),
		ReadHeaderTimeout: f.settings.Read,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    f.settings.Header,
		ConnState:         f.connState,
	}
}

func (f *Front) connState(_ net.Conn, s http.ConnState) {
	if s == http.StateNew {
		f.meter.Count("connections")
	}
}

func (f *Front) handler() http.Handler {
	c := restful.NewContainer()
	c.Filter(f.check)
	c.ServiceErrorHandler(f.unknown)
	w := new(restful.WebService)
	w.Path("/")
	w.Route(w.POST("/v1/chat/completions").To(f.chat))
	w.Route(w.POST("/v1/completions").To(f.complete))
	w.Route(w.GET("/v1/models").To(f.models))
	w.Route(w.POST("/s/{service}").To(f.call))
	w.Route(w.POST("/s/{service}/{path:*}").To(f.call))
	w.Route(w.GET("/s/{service}/{path:*}").To(f.call))
	w.Route(w.GET("/address").To(f.address))
	w.Route(w.GET("/healthz").To(f.health))
	w.Route(w.GET("/metrics").To(f.metrics))
	w.Route(w.GET("/status").To(f.status))
	w.Route(w.GET("/explain").To(f.explain))
	c.Add(w)
	return c
}

// check refuses header floods and tells connections to close when the
// instance is leaving.
func (f *Front) check(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if len(r.Request.Header) > maxHeaders {
		fault.Write(w, f.meter, fault.New(fault.CodeHeaders, "too many header fields"))
		return
	}
	chain.ProcessFilter(r, w)
}

func (f *Front) unknown(e restful.ServiceError, r *restful.Request, w *restful.Response) {
	code := fault.CodePath
	if e.Code == http.StatusMethodNotAllowed {
		code = fault.CodeMethod
	}
	fault.Write(w, f.meter, fault.New(code, r.Request.Method+" "+r.Request.URL.Path+" is not served here"))
}
