// Package gate wraps a listener for fault injection: its connections can be
// stalled, reset or refused.
package gate

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Listener tracks its open connections.
type Listener struct {
	net.Listener

	mutex sync.Mutex
	conns map[*trackedConn]struct{}
	down  bool
}

// New wraps l.
func New(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: make(map[*trackedConn]struct{})}
}

// Accept returns the next connection. While the listener is down, it resets new
// connections.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, fmt.Errorf("accept: %w", err)
		}
		c := &trackedConn{Conn: raw, owner: l, done: make(chan struct{})}
		if l.add(c) {
			return c, nil
		}
		c.reset()
	}
}

// add registers a connection. It returns false while the listener is down.
func (l *Listener) add(c *trackedConn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.down {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *Listener) remove(c *trackedConn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.conns, c)
}

func (l *Listener) openConns() []*trackedConn {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	open := make([]*trackedConn, 0, len(l.conns))
	for c := range l.conns {
		open = append(open, c)
	}
	return open
}

// StallConns stalls all open connections for good: nothing more is read or sent,
// and the peer sees no error. New connections work.
func (l *Listener) StallConns() {
	for _, c := range l.openConns() {
		c.stall()
	}
}

// ResetConns closes all open connections with a TCP reset.
func (l *Listener) ResetConns() {
	for _, c := range l.openConns() {
		c.reset()
	}
}

// SetDown sets whether the listener is down. While it is, all connections are
// reset, open and new ones.
func (l *Listener) SetDown(down bool) {
	l.mutex.Lock()
	l.down = down
	l.mutex.Unlock()
	if down {
		l.ResetConns()
	}
}

// trackedConn is an accepted connection that can be stalled or reset.
type trackedConn struct {
	net.Conn

	owner   *Listener
	once    sync.Once
	mutex   sync.Mutex
	stalled bool
	done    chan struct{}
}

func (c *trackedConn) stall() {
	c.mutex.Lock()
	c.stalled = true
	c.mutex.Unlock()
	// Interrupts a blocked read or write; it then waits until c is closed.
	_ = c.SetDeadline(time.Unix(1, 0))
}

func (c *trackedConn) isStalled() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.stalled
}

func (c *trackedConn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isStalled() {
		<-c.done
		return 0, net.ErrClosed
	}
	return n, err //nolint:wrapcheck // callers compare errors of net.Conn
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	if c.isStalled() {
		<-c.done
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(b)
	if err != nil && c.isStalled() {
		<-c.done
		return 0, net.ErrClosed
	}
	return n, err //nolint:wrapcheck // callers compare errors of net.Conn
}

// SetReadDeadline implements net.Conn. It ignores the deadlines that the HTTP
// server sets on a stalled connection, which must stay stalled.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	if c.isStalled() {
		return nil
	}
	return c.Conn.SetReadDeadline(t) //nolint:wrapcheck // callers compare errors of net.Conn
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.owner.remove(c)
	})
	return c.Conn.Close() //nolint:wrapcheck // callers compare errors of net.Conn
}
