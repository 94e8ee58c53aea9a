// Package pool makes HTTP requests to backend servers. It notices connections
// that went silent, and never tries one of them again.
package pool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"verbenahaven.example/core/request/retry"
)

const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
	maxIdle     = 256
)

// ErrSilent is the cause of a request that made no progress for too long.
var ErrSilent = errors.New("no progress")

// Pool holds the connections to all backend servers, apart for each of them.
type Pool struct {
	mutex sync.Mutex
	hosts map[string]*http.Transport
	alone *http.Transport
}

// New returns an empty pool and its clean-up.
func New() (*Pool, func()) {
	p := &Pool{hosts: make(map[string]*http.Transport), alone: transport()}
	p.alone.DisableKeepAlives = true
	return p, p.close
}

func transport() *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, fmt.Errorf("dial: %w", err)
			}
			return &conn{Conn: c}, nil
		},
		DisableCompression:  true,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
	}
}

// conn notes whether anything was ever given to the kernel to send.
type conn struct {
	net.Conn
	written atomic.Bool
}

// Write implements net.Conn. It notes the write before it is tried: a failed
// write may have sent a part.
func (c *conn) Write(b []byte) (int, error) {
	c.written.Store(true)
	return c.Conn.Write(b) //nolint:wrapcheck // net/http compares the errors of connections
}

func (p *Pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, t := range p.hosts {
		t.CloseIdleConnections()
	}
	p.alone.CloseIdleConnections()
}

func (p *Pool) host(name string) *http.Transport {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	t := p.hosts[name]
	if t == nil {
		t = transport()
		p.hosts[name] = t
	}
	return t
}

// Do sends a request over a pooled connection. Redirects aren't followed.
func (p *Pool) Do(r *http.Request) (*http.Response, error) {
	a, err := p.host(r.URL.Host).RoundTrip(r)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", r.URL.Host, cause(r.Context(), err))
	}
	return a, nil
}

// Fresh sends a request over a connection of its own. It reports whether
// anything of the request may have been sent.
func (p *Pool) Fresh(r *http.Request) (a *http.Response, written bool, err error) {
	var used atomic.Pointer[conn]
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c, ok := i.Conn.(*conn)
		if !ok || i.Reused {
			panic("pool: a run-once call got a connection that isn't new")
		}
		used.Store(c)
	}}
	a, err = p.alone.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	c := used.Load()
	written = c != nil && c.written.Load()
	if err != nil {
		return nil, written, fmt.Errorf("ask %s: %w", r.URL.Host, cause(r.Context(), err))
	}
	return a, written, nil
}

// Discard throws away all connections to a backend server after one of them
// went silent: the others may have been lost on the same way. Requests in
// progress notice by their own timeouts.
func (p *Pool) Discard(host string) {
	p.mutex.Lock()
	t := p.hosts[host]
	delete(p.hosts, host)
	p.mutex.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

func cause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return fmt.Errorf("%w: %w", c, err)
	}
	return err
}

// Reason classifies a failure of a request.
func Reason(err error) retry.Reason {
	var op *net.OpError
	switch {
	case errors.Is(err, ErrSilent), errors.Is(err, context.DeadlineExceeded):
		return retry.ReasonSilent
	case errors.As(err, &op) && op.Op == "dial":
		return retry.ReasonDial
	default:
		return retry.ReasonBroken
	}
}
