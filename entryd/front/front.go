// Package front is the public HTTP API of an entry instance: inference requests
// in OpenAI format, calls of plain services, and the discovery, health, metrics
// and status endpoints.
package front

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/emicklei/go-restful/v3"

	"verbenahaven.example/core/conn/abort"
	"verbenahaven.example/core/process/clock"
	"verbenahaven.example/core/process/meter"
	"verbenahaven.example/entryd/fault"
	"verbenahaven.example/entryd/infer"
	"verbenahaven.example/entryd/picker"
	"verbenahaven.example/entryd/plain"
	"verbenahaven.example/entryd/quota"
	"verbenahaven.example/entryd/trail"
	"verbenahaven.example/entryd/watch"
)

const (
	maxHeaderFields = 100
	idleTimeout     = 2 * time.Minute
)

// Settings configures the API.
type Settings struct {
	Name           string
	Centre         string
	AddressTTL     time.Duration // how long callers may cache an address answer
	MaxAddresses   int           // maximum addresses in an answer
	MaxBodyBytes   int64         // maximum size of a request body
	MaxHeaderBytes int           // maximum size of a request header, in bytes
	ReadTimeout    time.Duration // timeout for reading a request header or body
}

// Lease reports whether this instance holds its membership lease. While it
// does, other instances wait for it to learn of a change before they leave;
// without it, its view of them may be out of date.
type Lease interface {
	HoldsLease() bool
}

// API is the HTTP API.
type API struct {
	lease       Lease
	settings    Settings
	balancer    *picker.Balancer
	watch       *watch.Watch
	infer       *infer.Dispatcher
	plain       *plain.Dispatcher
	quota       *quota.Quota
	trail       *trail.Trail
	meter       *meter.Registry
	clock       clock.Clock
	startStamp  string // makes request identifiers unique across restarts
	lastID      atomic.Uint64
	addressTurn atomic.Uint64
	cutAt       atomic.Pointer[time.Time] // running calls are cut then, nil unless the instance is shutting down
}

// New returns the API.
func New(
	s Settings, b *picker.Balancer, w *watch.Watch, i *infer.Dispatcher, p *plain.Dispatcher,
	q *quota.Quota, t *trail.Trail, m *meter.Registry, c clock.Clock, l Lease,
) *API {
	return &API{
		lease:    l,
		settings: s, balancer: b, watch: w, infer: i, plain: p, quota: q, trail: t, meter: m, clock: c,
		startStamp: startStamp(c.Now()),
	}
}

// Server returns the HTTP server. Its calls end with ctx.
func (f *API) Server(ctx context.Context) *http.Server {
	s := &http.Server{
		BaseContext:       func(net.Listener) context.Context { return ctx },
		Handler:           f.handler(),
		ReadHeaderTimeout: f.settings.ReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    f.settings.MaxHeaderBytes,
		ConnState:         f.connState,
	}
	abort.Install(s)
	return s
}

func (f *API) connState(_ net.Conn, s http.ConnState) {
	if s == http.StateNew {
		f.meter.Count("connections")
	}
}

func (f *API) handler() http.Handler {
	c := restful.NewContainer()
	c.Filter(f.filter)
	c.ServiceErrorHandler(f.writeRoutingError)
	w := new(restful.WebService)
	w.Path("/")
	w.Route(w.POST("/v1/chat/completions").To(f.chat))
	w.Route(w.POST("/v1/completions").To(f.complete))
	w.Route(w.GET("/v1/models").To(f.models))
	w.Route(w.POST("/s/{service}").To(f.callService))
	w.Route(w.POST("/s/{service}/{path:*}").To(f.callService))
	w.Route(w.GET("/s/{service}/{path:*}").To(f.callService))
	w.Route(w.GET("/address").To(f.address))
	w.Route(w.GET("/healthz").To(f.health))
	w.Route(w.GET("/metrics").To(f.metrics))
	w.Route(w.GET("/status").To(f.status))
	w.Route(w.GET("/explain").To(f.explain))
	c.Add(w)
	return c
}

// filter refuses requests with too many header fields.
func (f *API) filter(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	if len(r.Request.Header) > maxHeaderFields {
		fault.Write(w, f.meter, fault.New(fault.CodeHeaders, "too many header fields"))
		return
	}
	chain.ProcessFilter(r, w)
}

func (f *API) writeRoutingError(e restful.ServiceError, r *restful.Request, w *restful.Response) {
	code := fault.CodePath
	if e.Code == http.StatusMethodNotAllowed {
		code = fault.CodeMethod
	}
	fault.Write(w, f.meter, fault.New(code, r.Request.Method+" "+r.Request.URL.Path+" is not served here"))
}
