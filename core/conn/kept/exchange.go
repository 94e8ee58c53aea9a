package kept

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
)

const (
	// wholeBody is the size up to which a request is written before its answer
	// is read. The other end may answer a longer one before it has read it.
	wholeBody = 2 << 10
	// maxStray bounds the answers to other requests that are passed over.
	maxStray = 4
	// maxStrayBody bounds the body of such an answer, in bytes.
	maxStrayBody = 1 << 20
)

// ErrStray tells that only answers to other requests arrived.
var ErrStray = errors.New("the answer belongs to another request")

// Request is what is sent.
type Request struct {
	Method string
	Target string // as it stands in the request line
	Host   string
	Header http.Header // without fields that concern the connection
	Body   []byte
	// Own tells whether an answer belongs to this request. Others are passed
	// over. Nil takes any.
	Own func(*http.Response) bool
}

func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(len(r.Body) + bufferSize)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // a buffer takes all
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Do sends a request and returns the head of its answer. The body must be
// closed; the connection is kept if it was read to its end. When ctx ends, the
// connection is closed. A failure is a *Failure.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*http.Response, error) {
	c := p.take(address)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address); err != nil {
			return nil, err
		}
	}
	e := &exchange{conn: c, written: make(chan struct{}), cause: func() error { return context.Cause(ctx) }}
	e.stop = context.AfterFunc(ctx, c.close)
	a, err := e.run(r)
	if err != nil {
		e.abandon()
		return nil, &Failure{err: fmt.Errorf("ask %s: %w", address, err), sent: e.sent.Load()}
	}
	return a, nil
}

// exchange is one request with its answer.
type exchange struct {
	conn    *conn
	stop    func() bool
	sent    atomic.Bool
	written chan struct{} // closed once the request was written
	failed  error         // of the write
	cause   func() error  // of the end of the request's context, nil while it goes on
	once    sync.Once
}

func (e *exchange) run(r *Request) (*http.Response, error) {
	data := r.encode()
	if len(r.Body) <= wholeBody {
		e.write(data)
		if e.failed != nil {
			return nil, e.failed
		}
	} else {
		go e.write(data)
	}
	for range maxStray {
		a, err := e.read(r.Method)
		if err != nil {
			return nil, e.because(err)
		}
		if r.Own == nil || r.Own(a) {
			a.Body = &body{ReadCloser: a.Body, exchange: e, keep: keeps(a), life: life(a.Header.Get("Keep-Alive"))}
			return a, nil
		}
		e.conn.pool.counter.Count("conn", "stray")
		n, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxStrayBody))
		if err != nil || n == maxStrayBody || !keeps(a) {
			return nil, ErrStray
		}
	}
	return nil, ErrStray
}

func (e *exchange) write(data []byte) {
	defer close(e.written)
	e.sent.Store(true) // a failed write may have sent a part
	if _, err := e.conn.tcp.Write(data); err != nil {
		e.failed = fmt.Errorf("write request: %w", err)
	}
}

// because adds the reason of a failed read: the end of the request's context,
// or the failure of the write.
func (e *exchange) because(err error) error {
	if cause := e.cause(); cause != nil {
		return fmt.Errorf("%w: %w", cause, err)
	}
	select {
	case <-e.written:
		if e.failed != nil {
			return fmt.Errorf("%w: %w", e.failed, err)
		}
	default:
	}
	return err
}

func (e *exchange) read(method string) (*http.Response, error) {
	for {
		a, err := http.ReadResponse(e.conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if a.StatusCode >= http.StatusOK {
			return a, nil
		}
	}
}

// keeps tells whether the other end keeps the connection after an answer.
func keeps(a *http.Response) bool {
	framed := a.ContentLength >= 0 || len(a.TransferEncoding) > 0
	return !a.Close && framed && a.ProtoAtLeast(1, 1)
}

func (e *exchange) abandon() {
	e.once.Do(func() {
		e.stop()
		e.conn.close()
	})
}

// finish keeps the connection if the request was written whole and nothing
// more than its answer arrived.
func (e *exchange) finish(d time.Duration) {
	select {
	case <-e.written:
	default:
		e.abandon()
		return
	}
	e.once.Do(func() {
		if !e.stop() || e.failed != nil || e.conn.reader.Buffered() > 0 {
			e.conn.close()
			return
		}
		if d > 0 {
			e.conn.life = d
		}
		e.conn.pool.put(e.conn)
	})
}

// body gives the connection back at its end.
type body struct {
	io.ReadCloser
	exchange *exchange
	keep     bool
	life     time.Duration
	ended    bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended = true
		return n, io.EOF
	}
	if err != nil {
		return n, b.exchange.because(fmt.Errorf("read answer: %w", err))
	}
	return n, nil
}

// Close implements io.Closer.
func (b *body) Close() error {
	if !b.ended || !b.keep {
		b.exchange.abandon()
		return nil
	}
	b.exchange.finish(b.life)
	return nil
}
