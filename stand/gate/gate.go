// Package gate wraps a listener so that its connections can be silenced,
// reset or refused on demand.
package gate

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Listener tracks the connections that it accepted.
type Listener struct {
	net.Listener

	mutex sync.Mutex
	conns map[*conn]struct{}
	down  bool
}

// New wraps l.
func New(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: make(map[*conn]struct{})}
}

// Accept returns the next connection. While the listener is down, arriving
// connections are reset at once.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, fmt.Errorf("accept: %w", err)
		}
		c := &conn{Conn: raw, owner: l, done: make(chan struct{})}
		if l.add(c) {
			return c, nil
		}
		c.reset()
	}
}

func (l *Listener) add(c *conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.down {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *Listener) remove(c *conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.conns, c)
}

func (l *Listener) open() []*conn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	open := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	return open
}

// Silence stops all open connections for good: nothing more is read or sent,
// and the peer isn't told. New connections work.
func (l *Listener) Silence() {
	for _, c := range l.open() {
		c.silence()
	}
}

// Reset closes all open connections with a reset.
func (l *Listener) Reset() {
	for _, c := range l.open() {
		c.reset()
	}
}

// Down refuses new connections, with a reset, until it is called with false.
func (l *Listener) Down(down bool) {
	l.mutex.Lock()
	l.down = down
	l.mutex.Unlock()
	if down {
		l.Reset()
	}
}

type conn struct {
	net.Conn

	owner  *Listener
	once   sync.Once
	mutex  sync.Mutex
	silent bool
	done   chan struct{}
}

func (c *conn) silence() {
	c.mutex.Lock()
	c.silent = true
	c.mutex.Unlock()
	// Wakes a blocked read or write, which then waits for the close.
	_ = c.SetDeadline(time.Unix(1, 0))
}

func (c *conn) quiet() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.silent
}

func (c *conn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.quiet() {
		<-c.done
		return 0, net.ErrClosed
	}
	return n, err //nolint:wrapcheck // callers compare errors of net.Conn
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.quiet() {
		<-c.done
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	if err != nil && c.quiet() {
		<-c.done
		return 0, net.ErrClosed
	}
	return n, err //nolint:wrapcheck // callers compare errors of net.Conn
}

// SetReadDeadline implements net.Conn. The HTTP server sets deadlines of its
// own, which must not wake a silent connection.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.quiet() {
		return nil
	}
	return c.Conn.SetReadDeadline(t) //nolint:wrapcheck // as net.Conn
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.owner.remove(c)
	})
	return c.Conn.Close() //nolint:wrapcheck // as net.Conn
}
