// Package pool is the HTTP client for backend servers. It keeps a connection
// pool for each server, detects stalled requests and never reuses a connection
// that stalled.
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
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"verbenahaven.example/core/conn/brief"
	"verbenahaven.example/core/conn/strict"
	"verbenahaven.example/core/request/retry"
)

const (
	dialTimeout  = time.Second
	idleTimeout  = 30 * time.Second
	maxIdleConns = 256
	// probeInterval and probeCount let the kernel detect a path that went silent
	// while an answer is awaited, and unackedTimeout one on which sent data stays
	// unacknowledged (TCP_USER_TIMEOUT). If that is set, the kernel ignores the
	// count: the last probe before the timeout must be answered.
	probeInterval  = time.Second
	probeCount     = 3
	unackedTimeout = 4 * time.Second
)

// MaxHeadBytes limits the head of a response, in bytes. A parsed head of short fields takes
// some twenty times as much.
const MaxHeadBytes = 16 << 10

// ErrStalled is the cause of a request that was cancelled because it made no
// progress within its stall timeout.
var ErrStalled = errors.New("no progress")

// Pool holds one connection pool for each backend server, and a transport that
// opens a new connection for every request.
type Pool struct {
	mutex      sync.Mutex
	transports map[string]*http.Transport
	naming     map[string]bool // servers whose last response named its exchange
	unpooled   *http.Transport
	exchanges  atomic.Uint64 // names them
}

// New returns an empty pool and a function that closes its idle connections.
func New() (*Pool, func()) {
	p := &Pool{transports: make(map[string]*http.Transport), naming: make(map[string]bool), unpooled: newTransport()}
	p.unpooled.DisableKeepAlives = true
	return p, p.close
}

func newTransport() *http.Transport {
	d := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control:         setUnackedTimeout,
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, fmt.Errorf("dial: %w", err)
			}
			return &conn{Conn: strict.NewConn(c)}, nil
		},
		DisableCompression:     true,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: MaxHeadBytes,
	}
}

// setUnackedTimeout bounds how long sent data may stay unacknowledged.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err = errors.Join(err, optErr); err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}

type checkKey struct{}

// WithSendCheck makes the request of a context ask check once it has a connection, for which
// it may have waited. If that returns an error, nothing is sent, the request fails and its
// context ends: the transport would try each kept connection, and close it. If it tries one
// nevertheless, that gets the same error.
func WithSendCheck(ctx context.Context, check func() error) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	var forbidden error
	return context.WithValue(ctx, checkKey{}, func() error {
		if forbidden == nil {
			if forbidden = check(); forbidden != nil {
				cancel(forbidden)
			}
		}
		return forbidden
	})
}

// conn records whether any byte was handed to the kernel for sending.
type conn struct {
	*strict.Conn
	written   atomic.Bool
	forbidden error // why the current request isn't sent, nil if it may be
}

// sendCheck returns the check of a request.
func sendCheck(ctx context.Context) func() error {
	if check, ok := ctx.Value(checkKey{}).(func() error); ok {
		return check
	}
	return func() error { return nil }
}

// cause returns why an exchange failed. c is nil if there was no connection.
func (c *conn) cause(err error) error {
	if c == nil {
		return err
	}
	return c.Cause(err) //nolint:wrapcheck // the caller adds the address
}

// begin prepares the connection for a request.
func (c *conn) begin(check func() error) {
	c.written.Store(false) // by an earlier request
	c.forbidden = check()
	_ = c.BeginAnswer(nil) // fails for buffered bytes only
}

// Write implements net.Conn. It sets written before the attempt because a
// failed write may have sent some of the bytes.
func (c *conn) Write(b []byte) (int, error) {
	if c.forbidden != nil {
		return 0, c.forbidden
	}
	c.written.Store(true)
	return c.Conn.Write(b) //nolint:wrapcheck // net/http compares connection errors by value
}

func (p *Pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, t := range p.transports {
		t.CloseIdleConnections()
	}
	p.unpooled.CloseIdleConnections()
}

// transport returns the transport of a backend server and creates it if needed.
func (p *Pool) transport(host string) *http.Transport {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	t := p.transports[host]
	if t == nil {
		t = newTransport()
		p.transports[host] = t
	}
	return t
}

// DoUnpooled sends a request over a new connection that serves only this
// request. written reports whether any byte of it may have been sent.
func (p *Pool) DoUnpooled(r *http.Request) (resp *http.Response, written bool, err error) {
	var gotConn atomic.Pointer[conn]
	check := sendCheck(r.Context())
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c, ok := i.Conn.(*conn)
		if !ok || i.Reused {
			panic("pool: request that needs a new connection got a reused one")
		}
		c.begin(check)
		gotConn.Store(c)
	}}
	resp, err = p.unpooled.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	c := gotConn.Load()
	written = c != nil && c.written.Load()
	if err != nil {
		return nil, written, fmt.Errorf("ask %s: %w", r.URL.Host, withCause(r.Context(), brief.Error(c.cause(err))))
	}
	return resp, written, nil
}

// Discard drops the connection pool of a backend server after one of its
// connections stalled: the same network fault may have broken the others.
// Requests in flight detect this by their own timeouts.
func (p *Pool) Discard(host string) {
	p.mutex.Lock()
	t := p.transports[host]
	delete(p.transports, host)
	p.mutex.Unlock()
	if t != nil {
		t.CloseIdleConnections()
	}
}

// withCause adds the cancellation cause of ctx, if any, to err.
func withCause(ctx context.Context, err error) error {
	if c := context.Cause(ctx); c != nil {
		return fmt.Errorf("%w: %w", c, err)
	}
	return err
}

// RetryReason returns the retry reason for a failed request.
func RetryReason(err error) retry.Reason {
	var op *net.OpError
	switch {
	case errors.Is(err, ErrStalled), errors.Is(err, context.DeadlineExceeded):
		return retry.ReasonStalled
	case errors.As(err, &op) && op.Op == "dial":
		return retry.ReasonDial
	default:
		return retry.ReasonConnLost
	}
}
