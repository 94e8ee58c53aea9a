// Package intake bounds what the HTTP servers of a process hold for callers of whom they don't
// know yet what they want: open connections and the heads of requests. The standard library
// bounds the bytes of one head only, but a field takes many times its bytes in memory, and
// nothing bounds all heads together.
package intake

import (
	"bytes"
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"verbenahaven.example/core/conn/body"
	"verbenahaven.example/core/process/meter"
)

const (
	// headCopies is how many times a byte of a head is held: in the server's buffers, in its
	// fields, and encoded for a backend server.
	headCopies = 3
	// lineBytes is the memory of a header field besides its bytes, in the maps that hold it.
	lineBytes = 384
	// connBytes is the memory of an open connection: its goroutine and buffers.
	connBytes = 20 << 10
	// memoryShare is the part of a process's memory for connections, and again for heads.
	memoryShare = 8
	// defaultMemory is assumed if the process doesn't know its memory.
	defaultMemory = memoryShare * body.DefaultSize
	// reservedDescriptors aren't for connections of callers, nor is half of the others.
	reservedDescriptors = 200
	minConns            = 64
	// maxBuffered is the most that a server reads ahead.
	maxBuffered = 4 << 10
	// refusalTimeout bounds the time to write a refusal.
	refusalTimeout = 100 * time.Millisecond
)

// refusal promises that the request hasn't run.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"

// ErrNoRoom reports that a head was refused for lack of memory.
var ErrNoRoom = errors.New("no memory for the head of a request")

// Limits bound an intake.
type Limits struct {
	conns int
	heads int64
}

// NewLimits returns the limits for a process with so much memory in bytes, and so many
// descriptors. Zero stands for an unknown number.
func NewLimits(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	l := Limits{conns: int(memory / memoryShare / connBytes), heads: memory / memoryShare}
	if descriptors > 0 {
		l.conns = min(l.conns, (descriptors-reservedDescriptors)/2)
	}
	l.conns = max(l.conns, minConns)
	return l
}

// Conns returns the number of connections that may be open at a time.
func (l Limits) Conns() int { return l.conns }

// Intake bounds the connections and heads of all servers that share it.
type Intake struct {
	limits Limits
	heads  *body.Budget
	meter  *meter.Registry

	mutex   sync.Mutex
	open    int
	waiting *list.List // connections without a whole request, that for longest first
}

// New returns an intake.
func New(l Limits, m *meter.Registry) *Intake {
	return &Intake{limits: l, heads: body.NewBudget(l.heads), meter: m, waiting: list.New()}
}

type connKey struct{}

// Install makes a server report its requests and the states of its connections to the intake,
// through whose listeners it must accept them. It must be called before the server serves.
func (i *Intake) Install(s *http.Server) {
	handler, withConn, connState := s.Handler, s.ConnContext, s.ConnState
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.begin(r)
		}
		handler.ServeHTTP(w, r)
	})
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
		if own, ok := c.(*conn); ok {
			own.setState(state)
		}
	}
}

// Server is an HTTP server whose connections count towards an intake.
type Server struct {
	*http.Server
	intake *Intake
}

// Guard installs the intake at a server and returns one that accepts its connections through it.
func (i *Intake) Guard(s *http.Server) *Server {
	i.Install(s)
	return &Server{s, i}
}

// Serve serves the connections of a listener.
func (s *Server) Serve(l net.Listener) error {
	return s.Server.Serve(s.intake.Listener(l)) //nolint:wrapcheck // compared by value
}

// Listener returns a listener whose connections count towards the intake.
func (i *Intake) Listener(l net.Listener) net.Listener { return &listener{l, i} }

func (i *Intake) setMemoryGauge() {
	used, _ := i.heads.Used()
	i.meter.Set(used, "intake", "memory")
}

type listener struct {
	net.Listener
	intake *Intake
}

// Accept implements net.Listener. Where too many connections are open it closes the one that
// has been without a whole request for longest, or else the new one.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // net/http looks at its type
		}
		if c, ok := l.intake.admit(inner); ok {
			return c, nil
		}
		_ = inner.Close()
	}
}

// admit makes room for a connection and counts it.
func (i *Intake) admit(inner net.Conn) (*conn, bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.open >= i.limits.conns {
		oldest := i.waiting.Front()
		if oldest == nil {
			i.meter.Count("intake", "refused", "connections")
			return nil, false
		}
		i.meter.Count("intake", "closed", "waiting")
		c, _ := oldest.Value.(*conn)
		i.leave(c)
		_ = c.Close()
	}
	c := &conn{Conn: inner, intake: i, head: i.heads.Hold(0)}
	i.wait(c)
	i.open++
	i.meter.Set(int64(i.open), "intake", "connections")
	return c, true
}

// leave removes a connection from those that count. The caller holds the mutex.
func (i *Intake) leave(c *conn) {
	if c.left {
		return
	}
	c.left = true
	i.stopWaiting(c)
	i.open--
	i.meter.Set(int64(i.open), "intake", "connections")
}

// change calls a function that changes what is known of a connection.
func (i *Intake) change(c *conn, f func(*Intake, *conn)) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	f(i, c)
}

// wait records that a connection waits for the next head. The caller holds the mutex.
func (i *Intake) wait(c *conn) {
	if c.place == nil && !c.left {
		c.place = i.waiting.PushBack(c)
	}
}

// stopWaiting records that a connection has a whole request. The caller holds the mutex.
func (i *Intake) stopWaiting(c *conn) {
	if c.place != nil {
		i.waiting.Remove(c.place)
		c.place = nil
	}
}

// conn counts the bytes and lines of heads while they arrive.
type conn struct {
	net.Conn
	intake *Intake
	place  *list.Element // in the list of waiting connections, owned by the intake
	left   bool          // owned by the intake

	mutex   sync.Mutex
	head    *body.Hold // memory of the head
	running bool       // the server has a whole head
	begun   bool       // the head has more than empty lines
	ended   bool       // the head is complete
	text    bool       // the current line isn't empty
	length  int64      // of the request's body, negative if it isn't known
	behind  int64      // bytes that were read behind the head
	tail    int64      // memory for what was read last behind the head, were it a head
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side, as net/http does before it closes a connection on which
// more may arrive.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite() //nolint:wrapcheck // as the connection's
	}
	return nil
}

// SetLinger implements what package abort needs.
func (c *conn) SetLinger(sec int) error {
	if inner, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return inner.SetLinger(sec) //nolint:wrapcheck // as the connection's
	}
	return nil
}

// Read implements net.Conn. What it reads of a head is given to the server only if there is
// memory for it.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.hold(b[:n]) {
		c.intake.meter.Count("intake", "refused", "heads")
		_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.WriteString(c.Conn, refusal) // the connection ends anyway
		return 0, ErrNoRoom
	}
	return n, err //nolint:wrapcheck // io.EOF is compared by value
}

// hold takes memory for a part of a head, and reports whether there is enough.
func (c *conn) hold(b []byte) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.ended && !c.running {
		n := c.follow(b)
		if !c.grow(memoryOf(b[:n])) {
			return false
		}
		b = b[n:]
	}
	if len(b) > 0 {
		c.behind += int64(len(b))
		c.tail = memoryOf(b[max(0, len(b)-maxBuffered):])
	}
	return true
}

// grow takes memory for the head. The caller holds the mutex.
func (c *conn) grow(n int64) bool {
	defer c.intake.setMemoryGauge()
	return c.head.Grow(n)
}

// drop returns the memory of the head. The caller holds the mutex.
func (c *conn) drop() {
	c.head.Release()
	c.intake.setMemoryGauge()
}

// memoryOf returns the memory for a part of a head.
func memoryOf(b []byte) int64 {
	return int64(len(b))*headCopies + int64(bytes.Count(b, []byte{'\n'}))*lineBytes
}

// follow returns the number of bytes that belong to the head. Empty lines before it do. The
// caller holds the mutex.
func (c *conn) follow(b []byte) int {
	for n, v := range b {
		switch {
		case v == '\n' && !c.text && c.begun:
			c.ended = true
			return n + 1
		case v == '\n':
			c.text = false
		case v != '\r':
			c.text, c.begun = true, true
		}
	}
	return len(b)
}

// begin records that a request begins. The connection waits until its body has arrived.
func (c *conn) begin(r *http.Request) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.length = r.ContentLength
	if r.Body == nil || r.Body == http.NoBody {
		c.arrive()
		return
	}
	r.Body = &requestBody{r.Body, c}
}

// arrive records that all of a request has arrived.
func (c *conn) arrive() { c.intake.change(c, (*Intake).stopWaiting) }

// requestBody notices the end of a body.
type requestBody struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.arrive()
	}
	return n, err //nolint:wrapcheck // io.EOF is compared by value
}

// setState follows the server's use of the connection. The memory of a head is held until the
// response to it is written.
func (c *conn) setState(state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateActive:
		c.running = true
	case http.StateIdle:
		c.next()
		c.intake.change(c, (*Intake).wait)
	case http.StateClosed, http.StateHijacked:
		c.drop()
		c.intake.change(c, (*Intake).leave)
	}
}

// next prepares for the next head, part of which the server may have read with the request
// before. The caller holds the mutex.
func (c *conn) next() {
	c.drop()
	c.head = c.intake.heads.Hold(0)
	if (c.length < 0 || c.behind > c.length) && !c.grow(c.tail) {
		c.intake.meter.Count("intake", "refused", "heads")
		_ = c.Close()
	}
	c.running, c.begun, c.ended, c.text = false, false, false, false
	c.length, c.behind, c.tail = 0, 0, 0
}
