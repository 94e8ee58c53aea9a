// Package guard is an HTTP client that sends the leader's orders to engines
// only while its leader lease holds. An engine that doesn't check fencing
// tokens executes every order it receives, so no byte of an order may be sent,
// or stay in the kernel's send buffer, after the lease has expired.
package guard

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"verbenahaven.example/core/conn/body"
	"verbenahaven.example/core/conn/brief"
	"verbenahaven.example/core/conn/pool"
	"verbenahaven.example/core/conn/strict"
)

// ErrLeaseTooShort reports that too little of the lease remained to write.
var ErrLeaseTooShort = errors.New("remaining lease is too short for the write")

// maxResponseBytes limits the body of an engine's response.
const maxResponseBytes = 1 << 20

// Lease returns for how long this instance is certain to remain the leader.
type Lease func() time.Duration

// Writer sends each request on a new connection and checks the lease before
// every write.
type Writer struct {
	lease   Lease
	margin  time.Duration
	timeout time.Duration
}

// New returns a Writer. It stops writing margin before the lease ends, and the
// kernel then drops the bytes that the engine hasn't acknowledged. timeout
// limits one request with its response.
func New(lease Lease, margin, timeout time.Duration) *Writer {
	return &Writer{lease: lease, margin: margin, timeout: timeout}
}

// PostJSON sends body as JSON and decodes the JSON that the engine returns into
// response. wrote reports whether any byte may have been sent.
func (w *Writer) PostJSON(ctx context.Context, url string, body, response any) (wrote bool, err error) {
	b, err := json.Marshal(body)
	if err != nil {
		return false, fmt.Errorf("encode order: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return false, fmt.Errorf("create order request: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	status, respBody, wrote, err := w.Do(r)
	switch {
	case err != nil:
		return wrote, err
	case status >= http.StatusInternalServerError:
		return wrote, fmt.Errorf("response to order: status %d", status)
	}
	if err := json.Unmarshal(respBody, response); err != nil {
		return wrote, fmt.Errorf("decode response to order: %w", err)
	}
	return wrote, nil
}

// Do sends a request and reads the whole response body. wrote reports whether
// any byte may have been sent.
func (w *Writer) Do(r *http.Request) (status int, respBody []byte, wrote bool, err error) {
	remaining := w.lease()
	if remaining <= w.margin {
		return 0, nil, false, ErrLeaseTooShort
	}
	// The connection is closed margin before the end of the lease as read before
	// dialling, even if the lease is extended meanwhile.
	ctx, cancel := context.WithTimeout(r.Context(), min(remaining-w.margin, w.timeout))
	defer cancel()
	deadline, _ := ctx.Deadline()
	var state writeState
	transport := strict.NewTransport(&http.Transport{
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: pool.MaxHeadBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			// The transport's dial context doesn't carry the deadline.
			return w.dial(ctx, network, address, time.Until(deadline), &state)
		},
	})
	defer transport.CloseIdleConnections()
	status, respBody, err = roundTrip(transport, r.WithContext(ctx))
	if state.rejected.Load() {
		err = ErrLeaseTooShort
	}
	return status, respBody, state.written.Load(), err
}

// writeState records the outcome of the writes of one request.
type writeState struct {
	written  atomic.Bool // bytes may have been sent
	rejected atomic.Bool // a write was rejected because the lease was too short
}

// roundTrip sends r and returns the status and body of the response.
func roundTrip(transport *strict.Transport, r *http.Request) (int, []byte, error) {
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return 0, nil, fmt.Errorf("send order: %w", brief.Error(err))
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := body.Read(resp.Body, maxResponseBytes)
	if err != nil {
		return 0, nil, fmt.Errorf("read response to order: %w", err)
	}
	return resp.StatusCode, b, nil
}

// dial opens a connection that is closed after lifetime.
func (w *Writer) dial(ctx context.Context, network, address string, lifetime time.Duration, state *writeState) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial engine: %w", err)
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		_ = c.Close()
		return nil, fmt.Errorf("dial engine: got %T, want a TCP connection", c)
	}
	// With linger 0, Close discards unsent data instead of sending it in the
	// background.
	if err := tcp.SetLinger(0); err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("set linger: %w", err)
	}
	g := &conn{TCPConn: tcp, writer: w, state: state}
	g.timer = time.AfterFunc(lifetime, func() { _ = tcp.Close() })
	return g, nil
}

// conn checks the lease immediately before each write.
type conn struct {
	*net.TCPConn
	writer *Writer
	state  *writeState
	timer  *time.Timer // closes the connection at the end of its lifetime
}

// Write implements net.Conn. It checks the lease once more just before the
// bytes are written.
func (c *conn) Write(b []byte) (int, error) {
	remaining := c.writer.lease()
	if remaining <= c.writer.margin {
		return 0, c.rejectWrite()
	}
	if err := c.setUserTimeout(remaining - c.writer.margin); err != nil {
		return 0, err
	}
	if c.writer.lease() <= c.writer.margin {
		return 0, c.rejectWrite()
	}
	c.state.written.Store(true)
	n, err := c.TCPConn.Write(b)
	if err != nil {
		return n, fmt.Errorf("write order: %w", err)
	}
	return n, nil
}

func (c *conn) rejectWrite() error {
	c.state.rejected.Store(true)
	return ErrLeaseTooShort
}

// setUserTimeout makes the kernel drop unacknowledged bytes after a timeout,
// even while this process is stopped.
func (c *conn) setUserTimeout(timeout time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("access socket: %w", err)
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, max(1, int(timeout.Milliseconds())))
	})
	if err = errors.Join(err, optErr); err != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", err)
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.timer.Stop()
	if err := c.TCPConn.Close(); err != nil {
		return fmt.Errorf("close connection to engine: %w", err)
	}
	return nil
}
