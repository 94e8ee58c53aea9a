package httpc

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"verbenahaven.example/core/conn/brief"
	"verbenahaven.example/core/conn/stream"
	"verbenahaven.example/core/conn/strict"
)

const (
	// maxSyncBody is the largest request body, in bytes, for which the request is
	// written before the response is read. A longer request is written
	// concurrently, since the server may respond before it has read all of it.
	maxSyncBody = 2 << 10
	// maxUnmatchedResponses limits the responses to other requests that are
	// skipped.
	maxUnmatchedResponses = 4
	// maxHeadBytes limits the head of a response, with all interim responses before
	// it, in bytes.
	maxHeadBytes = 64 << 10
	// maxHeadLines limits the lines of that. A parsed field takes some 130 bytes besides its
	// text, so that many short ones take far more than they have.
	maxHeadLines = 256
	// maxUnmatchedBody limits the body of a skipped response, in bytes.
	maxUnmatchedBody = 1 << 20
	// lateHead is how long a response is awaited after the deadline of its request, if OnHead
	// is set.
	lateHead = 50 * time.Millisecond
)

// ErrHeadTooLarge means that the head of a response is larger than an HTTP
// response needs, has too many fields or no end.
var ErrHeadTooLarge = errors.New("the head of the answer is too large")

// ErrUnmatchedResponse means that only responses to other requests arrived.
var ErrUnmatchedResponse = errors.New("the answer belongs to another request")

// Request is an HTTP request.
type Request struct {
	Method string
	Target string // request target, exactly as sent in the request line
	Host   string
	Header http.Header // without connection-level fields
	Body   []byte
	// Name identifies the call that the request belongs to, which may be sent more than
	// once. A connection that carried a request of that name isn't used again for it,
	// since a late copy of the first response would match. Empty for none.
	Name string
	// Matches reports whether a response belongs to this request. Other responses
	// are skipped. Nil accepts any response, for a request whose response isn't used.
	Matches func(*http.Response) bool
	// Unnamed reports whether a response doesn't say to which request it belongs. Such
	// a response is accepted as well, but only on a connection that brought none
	// before, and the connection isn't used again. Nil accepts none.
	Unnamed func(*http.Response) bool
	// OnSend is called before the first byte is sent on a connection, unless it is nil.
	// If it returns an error, nothing is sent, and the exchange fails with that error.
	OnSend func() error
	// OnHead is called with the head of the response, unless it is nil. It must not use the
	// body. A server that turns a request away at its deadline answers just after that, so
	// the head is awaited a little longer.
	OnHead func(*http.Response)
}

func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + bufferSize)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a bytes.Buffer never fails
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Do sends a request and returns its response, with the body still to be read. The
// caller must close the body; the connection is reused if the body was read to its
// end. Reading an event stream that ends inside an event fails with
// stream.ErrCutInsideEvent, however it is framed. If ctx ends first, the connection
// is closed. Errors are of type *ExchangeError.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*http.Response, error) {
	c := p.takeIdle(address, r)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address); err != nil {
			return nil, err
		}
	}
	return c.do(ctx, r, p.observer)
}

// do does the same on a connection.
func (c *conn) do(ctx context.Context, r *Request, o Observer) (*http.Response, error) {
	if err := c.announce(r, o); err != nil {
		return nil, err
	}
	e := &exchange{conn: c, observer: o, written: make(chan struct{}), contextCause: func() error { return context.Cause(ctx) }}
	e.awaitsHead.Store(r.OnHead != nil)
	e.stopWatching = context.AfterFunc(ctx, e.interrupt)
	o.Sent(c.address)
	resp, err := e.roundTrip(r)
	if err == nil && r.OnHead != nil {
		r.OnHead(resp)
		e.awaitsHead.Store(false)
		err = context.Cause(ctx) // the exchange may have been interrupted meanwhile
	}
	if err != nil {
		e.lost = !e.heard && e.connFailed()
		e.discard()
		return nil, &ExchangeError{err: fmt.Errorf("ask %s: %w", c.address, err), sent: e.sent.Load()}
	}
	return resp, nil
}

// interrupt ends the exchange after its context has ended, at once unless a late head is
// awaited.
func (e *exchange) interrupt() {
	cause := e.contextCause()
	if e.awaitsHead.Load() && errors.Is(cause, context.DeadlineExceeded) {
		now := time.Now()
		if e.conn.tcp.SetWriteDeadline(now) == nil && e.conn.tcp.SetReadDeadline(now.Add(lateHead)) == nil {
			return
		}
	}
	e.conn.close()
}

// announce calls OnSend, and closes the connection if nothing may be sent.
func (c *conn) announce(r *Request, o Observer) error {
	if r.OnSend == nil {
		return nil
	}
	err := r.OnSend()
	if err == nil {
		return nil
	}
	c.close()
	if c.unproven {
		o.Abandoned(c.address)
	}
	return &ExchangeError{err: fmt.Errorf("ask %s: %w", c.address, err)}
}

// exchange is one request and its response.
type exchange struct {
	conn         *conn
	observer     Observer
	stopWatching func() bool
	sent         atomic.Bool
	awaitsHead   atomic.Bool
	written      chan struct{} // closed when writeRequest has returned
	writeErr     error         // error of writeRequest
	contextCause func() error  // why the request's context ended, or nil
	heard        bool          // any byte of a response arrived
	lost         bool          // the connection failed before that
	once         sync.Once
}

func (e *exchange) roundTrip(r *Request) (*http.Response, error) {
	encoded := r.encode()
	e.conn.carried.begin(r)
	if len(r.Body) <= maxSyncBody {
		e.writeRequest(encoded)
		if e.writeErr != nil {
			return nil, e.writeErr
		}
	} else {
		go e.writeRequest(encoded)
	}
	for range maxUnmatchedResponses {
		resp, err := e.readResponse(r.Method)
		if err != nil {
			return nil, e.withCause(err)
		}
		if matches, unnamed := r.accepts(resp); matches || unnamed {
			resp.Body = &body{
				ReadCloser: stream.Whole(resp), exchange: e, framing: FramingOf(resp), keepConn: matches && keepsConn(resp),
				idleTimeout: keepAliveTimeout(resp.Header.Get("Keep-Alive")),
			}
			return resp, nil
		}
		e.conn.pool.counter.Count("conn", "stray")
		e.conn.carried.stray = true
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxUnmatchedBody))
		if err != nil || n == maxUnmatchedBody || !keepsConn(resp) {
			return nil, ErrUnmatchedResponse
		}
	}
	return nil, ErrUnmatchedResponse
}

func (e *exchange) writeRequest(encoded []byte) {
	defer close(e.written)
	e.sent.Store(true) // a failed write may have sent some bytes
	if _, err := e.conn.checked.Write(encoded); err != nil {
		e.writeErr = fmt.Errorf("write request: %w", err)
	}
}

// withCause adds the cause of a failed read: the end of the request's context, or
// the failed write.
func (e *exchange) withCause(err error) error {
	if cause := e.contextCause(); cause != nil {
		return fmt.Errorf("%w: %w", cause, err)
	}
	select {
	case <-e.written:
		if e.writeErr != nil {
			return fmt.Errorf("%w: %w", e.writeErr, err)
		}
	default:
	}
	return err
}

// connFailed reports whether an exchange failed because of its connection, or was
// given up since that was silent: not because the caller left or ran out of time.
func (e *exchange) connFailed() bool {
	cause := e.contextCause()
	return !errors.Is(cause, context.Canceled) && !errors.Is(cause, context.DeadlineExceeded)
}

func (e *exchange) observeBytes() {
	e.heard = true
	if e.conn.unproven {
		e.conn.unproven = false
		e.observer.Dialled(e.conn.address, true)
	}
	e.observer.Heard(e.conn.address)
}

func (e *exchange) readResponse(method string) (*http.Response, error) {
	buffered, _ := e.conn.reader.Peek(e.conn.reader.Buffered())
	if err := e.conn.checked.BeginAnswer(buffered); err != nil {
		e.countHeadError(err)
		return nil, fmt.Errorf("read answer: %w", err)
	}
	e.conn.source.beginHead()
	defer e.conn.source.endHead()
	for {
		if _, err := e.conn.reader.Peek(1); err == nil {
			e.observeBytes()
		}
		resp, err := http.ReadResponse(e.conn.reader, &http.Request{Method: method})
		if err == nil && len(resp.Header) > maxHeadLines {
			err = ErrHeadTooLarge
		}
		if err != nil {
			err = e.conn.checked.Cause(err)
			e.countHeadError(err)
			return nil, fmt.Errorf("read answer: %w", brief.Error(err))
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// countHeadError counts a head that was refused.
func (e *exchange) countHeadError(err error) {
	switch {
	case errors.Is(err, ErrHeadTooLarge):
		e.conn.pool.counter.Count("conn", "head_too_large")
	case errors.Is(err, strict.ErrStatus), errors.Is(err, strict.ErrField):
		e.conn.pool.counter.Count("conn", "malformed_head")
	}
}

// Framing is what marks the end of a response body.
type Framing string

// Framings of a response body.
const (
	FramedByLength     Framing = "length"
	FramedByChunks     Framing = "chunks"
	FramedByConnection Framing = "connection" // the end of the connection
)

// FramingOf returns the framing of a response.
func FramingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	case resp.ContentLength >= 0:
		return FramedByLength
	default:
		return FramedByConnection
	}
}

// keepsConn reports whether the server keeps the connection open after a response.
func keepsConn(resp *http.Response) bool {
	return !resp.Close && FramingOf(resp) != FramedByConnection && resp.ProtoAtLeast(1, 1)
}

func (e *exchange) discard() {
	e.once.Do(func() {
		e.stopWatching()
		e.conn.close()
		if e.conn.unproven {
			e.observer.Abandoned(e.conn.address)
		}
		e.observer.Ended(e.conn.address, e.lost)
	})
}

// release returns the connection to the pool if the request was fully written and
// nothing followed its response.
func (e *exchange) release(idleTimeout time.Duration) {
	select {
	case <-e.written:
	default:
		e.discard()
		return
	}
	e.once.Do(func() {
		e.observer.Ended(e.conn.address, false)
		if !e.stopWatching() || e.writeErr != nil || e.conn.reader.Buffered() > 0 || e.conn.carried.stray {
			e.conn.close()
			return
		}
		if idleTimeout > 0 {
			e.conn.idleTimeout = idleTimeout
		}
		e.conn.pool.putIdle(e.conn)
	})
}

// body is a response body that releases or closes the connection when closed.
type body struct {
	io.ReadCloser
	exchange    *exchange
	framing     Framing
	keepConn    bool
	idleTimeout time.Duration
	reachedEOF  bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.exchange.observeBytes()
	}
	if errors.Is(err, io.EOF) {
		b.reachedEOF = true
		return n, io.EOF
	}
	if err != nil {
		return n, b.exchange.withCause(fmt.Errorf("read answer framed by %s: %w", b.framing, err))
	}
	return n, nil
}

// Close implements io.Closer.
func (b *body) Close() error {
	if !b.reachedEOF || !b.keepConn {
		b.exchange.discard()
		return nil
	}
	b.exchange.release(b.idleTimeout)
	return nil
}
