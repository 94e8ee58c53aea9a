// Package guard sends orders to engines under the leader's lease. An engine
// that doesn't check fencing numbers obeys whatever reaches it, so no byte of
// an order may leave, or wait in the kernel to be sent, after the lease.
package guard

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrLease tells that too little of the lease remained to write.
var ErrLease = errors.New("the lease doesn't cover the write")

// maxAnswer bounds the answer of an engine, in bytes.
const maxAnswer = 1 << 20

// Lease tells for how long this member is certain to lead.
type Lease func() time.Duration

// Writer sends one request on a connection of its own.
type Writer struct {
	lease  Lease
	margin time.Duration
	wait   time.Duration
}

// New returns a writer. Bytes that the engine hasn't acknowledged are given up
// the margin before the lease ends, and none are written after that; wait
// bounds one exchange.
func New(lease Lease, margin, wait time.Duration) *Writer {
	return &Writer{lease: lease, margin: margin, wait: wait}
}

// Post sends a JSON body and decodes the JSON answer. Wrote tells whether any
// byte may have left.
func (w *Writer) Post(ctx context.Context, url string, body, answer any) (wrote bool, err error) {
	b, err := json.Marshal(body)
	if err != nil {
		return false, fmt.Errorf("encode order: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return false, fmt.Errorf("make order request: %w", err)
	}
	r.Header.Set("Content-Type", "application/json")
	status, reply, wrote, err := w.Do(r)
	switch {
	case err != nil:
		return wrote, err
	case status >= http.StatusInternalServerError:
		return wrote, fmt.Errorf("answer to order: status %d", status)
	}
	if err := json.Unmarshal(reply, answer); err != nil {
		return wrote, fmt.Errorf("decode answer to order: %w", err)
	}
	return wrote, nil
}

// Do sends a request and reads the whole answer. Wrote tells whether any byte
// may have left.
func (w *Writer) Do(r *http.Request) (status int, answer []byte, wrote bool, err error) {
	remaining := w.lease()
	if remaining <= w.margin {
		return 0, nil, false, ErrLease
	}
	// The connection dies with the lease that was held before it was dialled.
	ctx, cancel := context.WithTimeout(r.Context(), min(remaining-w.margin, w.wait))
	defer cancel()
	deadline, _ := ctx.Deadline()
	var p progress
	transport := &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			// The transport dials under a context without the deadline.
			return w.dial(ctx, network, address, time.Until(deadline), &p)
		},
	}
	defer transport.CloseIdleConnections()
	status, answer, err = exchange(transport, r.WithContext(ctx))
	if p.refused.Load() {
		err = ErrLease
	}
	return status, answer, p.written.Load(), err
}

// progress is what became of the writes of one exchange.
type progress struct {
	written atomic.Bool // bytes may have left
	refused atomic.Bool // the lease didn't cover a write
}

func exchange(transport *http.Transport, r *http.Request) (int, []byte, error) {
	reply, err := transport.RoundTrip(r)
	if err != nil {
		return 0, nil, fmt.Errorf("send order: %w", err)
	}
	defer func() { _ = reply.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(reply.Body, maxAnswer))
	if err != nil {
		return 0, nil, fmt.Errorf("read answer to order: %w", err)
	}
	return reply.StatusCode, b, nil
}

func (w *Writer) dial(ctx context.Context, network, address string, left time.Duration, p *progress) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial engine: %w", err)
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		_ = c.Close()
		return nil, fmt.Errorf("dial engine: %T is no TCP connection", c)
	}
	// Closing drops what the kernel hasn't sent instead of sending it later.
	if err := tcp.SetLinger(0); err != nil {
		_ = c.Close()
		return nil, fmt.Errorf("set linger: %w", err)
	}
	g := &conn{TCPConn: tcp, writer: w, progress: p}
	g.timer = time.AfterFunc(left, func() { _ = tcp.Close() })
	return g, nil
}

// conn checks the lease immediately before each write.
type conn struct {
	*net.TCPConn
	writer   *Writer
	progress *progress
	timer    *time.Timer
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	remaining := c.writer.lease()
	if remaining <= c.writer.margin {
		return 0, c.refuse()
	}
	if err := c.expire(remaining - c.writer.margin); err != nil {
		return 0, err
	}
	if c.writer.lease() <= c.writer.margin {
		return 0, c.refuse()
	}
	c.progress.written.Store(true)
	n, err := c.TCPConn.Write(b)
	if err != nil {
		return n, fmt.Errorf("write order: %w", err)
	}
	return n, nil
}

func (c *conn) refuse() error {
	c.progress.refused.Store(true)
	return ErrLease
}

// expire makes the kernel give up unacknowledged bytes after a time,
// also while this process is stopped.
func (c *conn) expire(left time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return fmt.Errorf("reach socket: %w", err)
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, max(1, int(left.Milliseconds())))
	})
	if err = errors.Join(err, failed); err != nil {
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
