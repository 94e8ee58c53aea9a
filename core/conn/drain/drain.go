// Package drain ends an HTTP server without cutting off a request that has begun to
// arrive. The standard library's Shutdown closes connections on which the head of a
// request has arrived in part, or wasn't read yet, and resets those that the kernel has
// accepted but the server hasn't.
package drain

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// checkInterval is the time between two looks at the connections of a server that
	// stops.
	checkInterval = 2 * time.Millisecond
	// quietTime is how long a connection must have been idle before it is closed: a part of
	// the next request may already be in the server's buffer, and its goroutine be slow to
	// begin that. A longer time delays the hand-over of a keeper that stops.
	quietTime = 10 * time.Millisecond
	// newQuietTime is the same for a connection on which nothing has arrived yet. Callers
	// connect to send a request, which takes a round trip.
	newQuietTime = 500 * time.Millisecond
	// handshakeTime is how long the queue of accepted connections must have been empty
	// after new ones are dropped: handshakes that have begun take a round trip. 4 ms cut
	// connections on a loaded machine.
	handshakeTime = 30 * time.Millisecond
	// acceptTime bounds the wait for connections that the kernel has accepted.
	acceptTime = 100 * time.Millisecond
)

// Server is an HTTP server that can be stopped without cutting requests.
type Server struct {
	http     *http.Server
	refuse   atomic.Pointer[http.Handler]
	leaving  atomic.Bool
	wrap     func(net.Listener) net.Listener // nil for none
	mutex    sync.Mutex
	listener *net.TCPListener
	served   chan struct{} // closed when Serve has returned
	conns    map[*conn]struct{}
}

type connKey struct{}

// New returns a server around s, whose hooks for connections it extends. It must be
// called before s serves.
func New(s *http.Server) *Server {
	d := &Server{http: s, conns: make(map[*conn]struct{})}
	next, withConn, connState := s.Handler, s.ConnContext, s.ConnState
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(w, r, next) })
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if withConn != nil {
			ctx = withConn(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if connState != nil {
			connState(c, state)
		}
		if own, ok := unwrap(c); ok {
			d.setState(own, state)
		}
	}
	return d
}

// Wrap makes the server accept connections through another listener around its own. Wrapped
// connections need a method NetConn. It must be called before the server serves.
func (s *Server) Wrap(wrap func(net.Listener) net.Listener) { s.wrap = wrap }

// unwrap returns the server's own connection below others.
func unwrap(c any) (own *conn, ok bool) {
	for {
		if own, ok = c.(*conn); ok {
			return own, true
		}
		outer, wraps := c.(interface{ NetConn() net.Conn })
		if !wraps {
			return nil, false
		}
		c = outer.NetConn()
	}
}

// Serve serves the connections of a TCP listener until Stop or Close is called. It then
// returns http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("serve: got %T, want a TCP listener", l)
	}
	s.mutex.Lock()
	s.listener, s.served = tcp, make(chan struct{})
	s.mutex.Unlock()
	defer close(s.served)
	var accepting net.Listener = &listener{tcp, s}
	if s.wrap != nil {
		accepting = s.wrap(accepting)
	}
	err := s.http.Serve(accepting)
	if s.leaving.Load() && errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err //nolint:wrapcheck // compared by value
}

// Leave makes the server close each connection after its next response, unless another
// request has arrived on it.
func (s *Server) Leave() { s.leaving.Store(true) }

// Refuse makes a handler answer the requests that arrive from now on.
func (s *Server) Refuse(h http.Handler) { s.refuse.Store(&h) }

// Close closes all connections at once.
func (s *Server) Close() error { return s.http.Close() } //nolint:wrapcheck // as the server's

// Stop accepts no more connections, waits until no request runs or arrives, and closes
// the connections. It returns the context's error if that ends first.
func (s *Server) Stop(ctx context.Context) error {
	s.Leave()
	s.closeListener(ctx)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for s.closeQuiet(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return fmt.Errorf("stop serving: %w", ctx.Err())
		case <-ticker.C:
		}
	}
	if err := s.http.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("stop serving: %w", err)
	}
	return nil
}

// closeListener closes the listener once all connections are served that the kernel has
// accepted: closing it resets those in its queue.
func (s *Server) closeListener(ctx context.Context) {
	s.mutex.Lock()
	l, served := s.listener, s.served
	s.mutex.Unlock()
	if l == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	// Without the filter, or the length of the queue, a connection that is made just now
	// may be reset.
	_ = dropNewConnections(l)
	for emptyAt := time.Now(); ctx.Err() == nil && time.Since(emptyAt) < handshakeTime; {
		if n, err := queueLength(l); err != nil || n > 0 {
			emptyAt = time.Now()
		}
		select {
		case <-ctx.Done():
		case <-time.After(checkInterval):
		}
	}
	_ = l.Close()
	<-served // the last connection is among those of s
}

// closeQuiet closes the connections on which nothing runs or arrives, and returns the
// number of the others.
func (s *Server) closeQuiet(now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for c := range s.conns {
		if c.isQuiet(now) {
			delete(s.conns, c)
			_ = c.Close()
		}
	}
	return len(s.conns)
}

// setState records the state of a connection.
func (s *Server) setState(c *conn, state http.ConnState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
	c.setState(state)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	c, ok := unwrap(r.Context().Value(connKey{}))
	more := ok && c.begin(r.ContentLength)
	if s.leaving.Load() && !more {
		w.Header().Set("Connection", "close")
	}
	if refuse := s.refuse.Load(); refuse != nil {
		next = *refuse
	}
	next.ServeHTTP(w, r)
}

// listener wraps the connections that it accepts.
type listener struct {
	*net.TCPListener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err //nolint:wrapcheck // net/http looks at its type
	}
	own := &conn{TCPConn: c}
	own.setState(http.StateNew)
	l.server.mutex.Lock()
	defer l.server.mutex.Unlock()
	l.server.conns[own] = struct{}{}
	return own, nil
}

// dropNewConnections makes the kernel drop the packets that begin new connections;
// those that have begun are still accepted.
func dropNewConnections(l *net.TCPListener) error {
	const flagsOffset, syn, ack = 13, 0x02, 0x10
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: syn | ack},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: syn},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: 1 << 18},
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	return withSocket(l, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
}

// queueLength returns the number of connections that the kernel has accepted and the
// server hasn't.
func queueLength(l *net.TCPListener) (n uint32, err error) {
	err = withSocket(l, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			n = info.Unacked
		}
		return err //nolint:wrapcheck // wrapped by withSocket
	})
	return n, err
}
