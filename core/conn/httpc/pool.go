// Package httpc is an HTTP/1.1 client with a pool of persistent connections. Unlike
// the standard library's transport it never retries a request, reports whether any
// byte of a request may have reached the server, and closes a connection as soon
// as it carries more data than the expected response.
package httpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// dialTimeout limits the time to connect. Three times the first SYN
	// retransmission would be too long to wait.
	dialTimeout = 700 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept when the server
	// announces no idle timeout.
	defaultIdleTimeout = 3 * time.Second
	// idleTimeoutFraction is the fraction of an announced idle timeout that is
	// used: the server counts from when it sent the response, in whole seconds.
	idleTimeoutFraction = 0.6
	// keepAliveInterval and keepAliveProbes let the kernel detect a connection that
	// went silent while a response is awaited. With unackedTimeout, the count
	// doesn't decide: the kernel gives up once so long has passed since the last
	// packet, so that the last probe before it must be answered.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// unackedTimeout is how long sent data, or a probe after silence, may stay
	// unacknowledged (TCP_USER_TIMEOUT). A path may lose everything for over two
	// seconds and come back before the probe of the third.
	unackedTimeout = 4 * time.Second
	// maxIdle limits the idle connections per address.
	maxIdle = 64
)

// ExchangeError is the error of a failed exchange.
type ExchangeError struct {
	err  error
	sent bool
}

// Error implements error.
func (f *ExchangeError) Error() string { return f.err.Error() }

// Unwrap returns the underlying error.
func (f *ExchangeError) Unwrap() error { return f.err }

// Sent reports whether any byte of the request may have reached the server.
func (f *ExchangeError) Sent() bool { return f.sent }

// MaybeSent reports whether any byte of a failed request may have reached the
// server. It returns true for errors that aren't of type *ExchangeError.
func MaybeSent(err error) bool {
	var f *ExchangeError
	return !errors.As(err, &f) || f.sent
}

// Counter counts events by name.
type Counter interface {
	Count(parts ...string)
}

// Pool holds idle connections by server address.
type Pool struct {
	counter  Counter
	observer Observer

	mutex  sync.Mutex
	idle   map[string][]*conn // newest last
	closed bool
}

// New returns an empty pool and a function that closes it.
func New(c Counter) (*Pool, func()) {
	p := &Pool{counter: c, observer: noObserver{}, idle: make(map[string][]*conn)}
	return p, p.close
}

// SetObserver sets who is told of connections. It must be called before the pool is
// used.
func (p *Pool) SetObserver(o Observer) { p.observer = o }

func (p *Pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	p.closeAllIdle()
}

// CloseIdle closes the idle connections to an address, for example after another
// connection to it went silent.
func (p *Pool) CloseIdle(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle[address] {
		c.close()
	}
	delete(p.idle, address)
}

// CloseExpired closes the connections whose idle timeout has passed at now.
func (p *Pool) CloseExpired(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if now.After(c.idleUntil) {
				c.close()
				continue
			}
			remaining = append(remaining, c)
		}
		if len(remaining) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = remaining
	}
}

// takeIdle removes and returns an idle connection that may carry a request, the newest
// first, or nil if there is none.
func (p *Pool) takeIdle(address string, r *Request) *conn {
	now := time.Now()
	for {
		c := p.removeIdle(address, r)
		if c == nil {
			return nil
		}
		if now.Before(c.idleUntil) && c.reusable() {
			return c
		}
		p.counter.Count("conn", "stale")
		c.close()
	}
}

// removeIdle removes and returns the newest idle connection that may carry a request.
func (p *Pool) removeIdle(address string, r *Request) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if c.carried.allows(r) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) putIdle(c *conn) {
	c.idleUntil = time.Now().Add(c.idleTimeout)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || len(p.idle[c.address]) >= maxIdle {
		c.close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// dial connects for an exchange.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	p.observer.Dialling(address)
	c, err := p.connect(ctx, address)
	switch {
	case err == nil:
		c.unproven = true
	case ctx.Err() != nil:
		p.observer.Abandoned(address)
	default:
		p.observer.Dialled(address, false)
	}
	return c, err
}

func (p *Pool) connect(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
	}
	p.counter.Count("conn", "dialled")
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		awaitEnd(ctx)
		p.counter.Count("conn", "dial_failed")
		return nil, &ExchangeError{err: fmt.Errorf("dial %s: %w", address, err)}
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		_ = c.Close()
		return nil, &ExchangeError{err: fmt.Errorf("dial %s: not TCP", address)}
	}
	return newConn(p, address, tcp), nil
}

// awaitEnd returns once ctx has ended if its deadline has passed: a dial that its
// deadline cut may return before that, and would look like one that the server failed.
func awaitEnd(ctx context.Context) {
	if deadline, found := ctx.Deadline(); found && !time.Now().Before(deadline) {
		<-ctx.Done()
	}
}

// keepAliveTimeout returns the usable part of the idle timeout in a Keep-Alive
// header, or 0 if it has none.
func keepAliveTimeout(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.Trim(value, `" `)); err == nil && n >= 0 {
			return time.Duration(idleTimeoutFraction * float64(n) * float64(time.Second))
		}
	}
	return 0
}
