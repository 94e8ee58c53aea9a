// Package kept makes HTTP/1.1 exchanges over kept connections. Unlike the
// standard library's transport it never sends a request a second time, tells
// whether any of a request may have reached the other end, and throws a
// connection away as soon as more arrives on it than was asked for.
package kept

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// dialTimeout is the time that the other end has to accept: three times
	// the first retransmission of an opening packet would be too long to wait.
	dialTimeout = 700 * time.Millisecond
	// idleLife is how long a connection is kept when the other end doesn't
	// tell its idle timeout.
	idleLife = 3 * time.Second
	// idleShare is the share of a told idle timeout that is used: the other
	// end counts from when it sent, in whole seconds.
	idleShare = 0.6
	// probeIdle and probeCount make the kernel notice a connection that went
	// silent while an answer is awaited.
	probeIdle  = time.Second
	probeCount = 3
	// unacked is how long sent bytes may stay unacknowledged.
	unacked = 3 * time.Second
	// maxIdle bounds the idle connections to one address.
	maxIdle = 64
)

// Failure is the error of an exchange.
type Failure struct {
	err  error
	sent bool
}

// Error implements error.
func (f *Failure) Error() string { return f.err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.err }

// Sent tells whether any byte of the request may have reached the other end.
func (f *Failure) Sent() bool { return f.sent }

// Sent tells whether any byte of a failed exchange's request may have reached
// the other end. Errors of other origin count as sent.
func Sent(err error) bool {
	var f *Failure
	return !errors.As(err, &f) || f.sent
}

// Counter counts by name.
type Counter interface {
	Count(parts ...string)
}

// Pool holds idle connections by address.
type Pool struct {
	counter Counter

	mutex  sync.Mutex
	idle   map[string][]*conn // newest last
	closed bool
}

// New returns an empty pool and its clean-up.
func New(c Counter) (*Pool, func()) {
	p := &Pool{counter: c, idle: make(map[string][]*conn)}
	return p, p.close
}

func (p *Pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for address, list := range p.idle {
		for _, c := range list {
			c.close()
		}
		delete(p.idle, address)
	}
}

// Discard closes the idle connections to an address, for example after one to
// it went silent.
func (p *Pool) Discard(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle[address] {
		c.close()
	}
	delete(p.idle, address)
}

// Sweep closes the connections that were idle for too long at an instant.
func (p *Pool) Sweep(now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, list := range p.idle {
		fresh := list[:0]
		for _, c := range list {
			if now.After(c.until) {
				c.close()
				continue
			}
			fresh = append(fresh, c)
		}
		if len(fresh) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = fresh
	}
}

// take returns an idle connection that is still good, or nil.
func (p *Pool) take(address string) *conn {
	now := time.Now()
	for {
		p.mutex.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mutex.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mutex.Unlock()
		if now.Before(c.until) && c.quiet() {
			return c
		}
		p.counter.Count("conn", "stale")
		c.close()
	}
}

func (p *Pool) put(c *conn) {
	c.until = time.Now().Add(c.life)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || len(p.idle[c.address]) >= maxIdle {
		c.close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeIdle, Count: probeCount},
	}
	p.counter.Count("conn", "dialled")
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		p.counter.Count("conn", "dial_failed")
		return nil, &Failure{err: fmt.Errorf("dial %s: %w", address, err)}
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		_ = c.Close()
		return nil, &Failure{err: fmt.Errorf("dial %s: not TCP", address)}
	}
	return newConn(p, address, tcp), nil
}

// life reads the idle timeout of a Keep-Alive header.
func life(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.Trim(value, `" `)); err == nil && n >= 0 {
			return time.Duration(idleShare * float64(n) * float64(time.Second))
		}
	}
	return 0
}
